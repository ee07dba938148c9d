"""Links to instances that are discovered at run time, named by address."""

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
from cuminstack.listeners import (
    ConnectionOptions,
    Listeners,
    MachineLimits,
)
from cuminstack.logs import log_event
from cuminstack.settings import Address, LogLevel

#: Longest delay before a peer is dialled again, in seconds.  A third of the
#: heartbeat time-out would open more connections than the faster reconnect
#: saves.
_MAX_RETRY_SECONDS: Final = 0.25
#: Time-out for opening a link, in seconds.  A lost packet of the handshake is
#: retransmitted only after seconds, so a new attempt is faster.
_OPEN_SECONDS: Final = 0.4
#: Interval and time-out of the pings that detect a silent link, in seconds;
#: twice the heartbeat time-out.
_PING_SECONDS: Final = 0.7


def _ignore_refusal() -> None:
    """Do nothing, since heartbeats detect the loss of an instance."""


class Mesh:
    """The links of one instance to its peers, named by their peer address.

    Args:
        own: The address of this instance's peer listener.
        incarnation: The incarnation of this process; increases with each
            start.
        receive: Called with the sender and each message.
        reject: Called with the sender, if known, and the error when a link
            is closed because of an invalid frame or an unexpected peer.
        listeners: Listeners of the process, which bound what clients use; by
            default with the default limits.
    """

    def __init__(
        self,
        own: InstanceId,
        *,
        incarnation: int,
        receive: Receiver,
        reject: Rejecter,
        listeners: Listeners | None = None,
    ) -> None:
        self._own = own
        self._hello = Hello(own, incarnation)
        self._links: dict[InstanceId, PeerLink] = {}
        self._tasks: dict[InstanceId, asyncio.Task[None]] = {}
        self._receive = receive
        self._sent = 0
        self._received = 0
        # Whoever passes listeners stops them.
        self._default_listeners: Listeners | None = None
        if listeners is None:
            listeners = Listeners(MachineLimits(), ConnectionOptions())
            self._default_listeners = listeners
        self._listener = PeerListener(
            None,
            receive=self._count_and_receive,
            reject=reject,
            listeners=listeners,
        )

    @property
    def frames_sent(self) -> int:
        """The number of frames passed to links since the start."""
        return self._sent

    @property
    def frames_received(self) -> int:
        """The number of frames received from peers since the start."""
        return self._received

    @property
    def peers(self) -> tuple[InstanceId, ...]:
        """The instances that links are kept open to."""
        return tuple(self._links)

    async def start(self) -> None:
        """Listen for links of peers until `stop` is called."""
        await self._listener.start(Address.parse(self._own))

    async def stop(self) -> None:
        """Close all links and stop listening."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await self._listener.stop()
        if self._default_listeners is not None:
            self._default_listeners.stop()

    def add_peers(self, peers: Iterable[InstanceId]) -> None:
        """Open links to instances and keep them open."""
        for peer in peers:
            if peer != self._own and peer not in self._links:
                self._dial(peer)

    def leave(self, peer: InstanceId) -> None:
        """Close the link to an instance that has left."""
        self._links.pop(peer, None)
        task = self._tasks.pop(peer, None)
        if task is not None:
            task.cancel()

    def send(self, peer: InstanceId, message: Any) -> None:
        """Send a message; it is dropped if there is no open link."""
        self.send_all((peer,), message)

    def send_all(self, peers: Iterable[InstanceId], message: Any) -> None:
        """Send a message to several instances.

        A message to this instance is delivered in a later iteration of the
        event loop.
        """
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

    def _count_and_receive(self, sender: InstanceId, message: Any) -> None:
        self._received += 1
        self._receive(sender, message)

    def _dial(self, peer: InstanceId) -> None:
        link = PeerLink(
            Address.parse(peer),
            self._hello,
            max_retry_seconds=_MAX_RETRY_SECONDS,
            on_refused=_ignore_refusal,
            open_seconds=_OPEN_SECONDS,
            ping_seconds=_PING_SECONDS,
        )
        self._links[peer] = link
        task = asyncio.create_task(link.run(), name=peer)
        task.add_done_callback(_log_task_end)
        self._tasks[peer] = task


def _log_task_end(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled():
        log_event(
            'link.task_ended',
            LogLevel.error,
            peer=task.get_name(),
            error=task.exception(),
        )
