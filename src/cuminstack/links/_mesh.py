"""Links to instances that are met at run time, named by their address."""

import asyncio
from collections.abc import Iterable
from typing import Any, Final

from cuminstack import wire
from cuminstack.core import InstanceId
from cuminstack.links._links import (
    Hello,
    PeerLink,
    PeerListener,
    Receiver,
    Rejecter,
)
from cuminstack.logs import log_event
from cuminstack.settings import Address, LogLevel

#: Longest pause between two tries to dial, in seconds: a third of the
#: silence after which an instance counts as lost would cost more channels
#: than it saves.
_LONGEST_PAUSE: Final = 0.25
#: A packet that opens a link and gets lost is sent again after seconds, so
#: a new try is quicker.
_OPEN_SECONDS: Final = 0.4
#: Pings tell a link that went silent; twice the heartbeats' time-out.
_PING_SECONDS: Final = 0.7


def _ignore_refusal() -> None:
    """Leave it to heartbeats to tell that an instance is lost."""


class Mesh:
    """The links of one instance; an instance is named by its peer address.

    Args:
        own: Address of this instance's peer listener.
        incarnation: Grows with each start of the process.
        receive: Called with each message.
        reject: Called when a link is closed because of what came on it.
    """

    def __init__(
        self,
        own: InstanceId,
        *,
        incarnation: int,
        receive: Receiver,
        reject: Rejecter,
    ) -> None:
        self._own = own
        self._hello = Hello(own, incarnation)
        self._links: dict[InstanceId, PeerLink] = {}
        self._tasks: dict[InstanceId, asyncio.Task[None]] = {}
        self._receive = receive
        self._sent = 0
        self._received = 0
        self._listener = PeerListener(
            None,
            receive=self._take,
            reject=reject,
        )

    @property
    def frames_sent(self) -> int:
        """Frames that were given to links since the start."""
        return self._sent

    @property
    def frames_received(self) -> int:
        """Frames that other instances' links brought since the start."""
        return self._received

    @property
    def peers(self) -> tuple[InstanceId, ...]:
        """Instances that a link is kept to."""
        return tuple(self._links)

    async def start(self) -> None:
        """Listen for links until `stop`."""
        await self._listener.start(Address.parse(self._own))

    async def stop(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await self._listener.stop()

    def meet(self, peers: Iterable[InstanceId]) -> None:
        """Keep links to instances from now on."""
        for peer in peers:
            if peer != self._own and peer not in self._links:
                self._dial(peer)

    def leave(self, peer: InstanceId) -> None:
        """Close the link to an instance that is gone."""
        self._links.pop(peer, None)
        task = self._tasks.pop(peer, None)
        if task is not None:
            task.cancel()

    def send(self, peer: InstanceId, message: Any) -> None:
        """Send a message; it is dropped if there is no open link."""
        self.send_all((peer,), message)

    def send_all(self, peers: Iterable[InstanceId], message: Any) -> None:
        """Send a message to several instances, this one perhaps included."""
        frame: bytes | None = None
        for peer in peers:
            if peer == self._own:
                loop = asyncio.get_running_loop()
                loop.call_soon(self._receive, peer, message)
            link = self._links.get(peer)
            if link is not None:
                frame = frame or wire.encode(message)
                self._sent += 1
                link.send(frame)

    def _take(self, sender: InstanceId, message: Any) -> None:
        self._received += 1
        self._receive(sender, message)

    def _dial(self, peer: InstanceId) -> None:
        link = PeerLink(
            Address.parse(peer),
            self._hello,
            longest_pause=_LONGEST_PAUSE,
            refused=_ignore_refusal,
            open_seconds=_OPEN_SECONDS,
            ping_seconds=_PING_SECONDS,
        )
        self._links[peer] = link
        task = asyncio.create_task(link.run(), name=peer)
        task.add_done_callback(_log_end)
        self._tasks[peer] = task


def _log_end(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled():
        log_event(
            'link.task_ended',
            LogLevel.error,
            peer=task.get_name(),
            error=task.exception(),
        )
