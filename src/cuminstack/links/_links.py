"""Links to and from other instances: websockets that carry CBOR frames.

Each instance sends on links that it dialled and receives on those that it
accepted, so a link that went silent in one direction is noticed by the one
who needs it.  A frame may get lost; every protocol above expects that.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Final

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake
from websockets.frames import CloseCode

from cuminstack import wire
from cuminstack.core import InstanceId
from cuminstack.settings import Address

#: Frames that wait for a link at most; the oldest are dropped.
_MAX_WAITING_FRAMES: Final = 20_000

#: Longest time to open a link, in seconds.
_OPEN_SECONDS: Final = 2.0

#: First pause before a peer is dialled again, in seconds; doubles.
_FIRST_PAUSE_SECONDS: Final = 0.05

#: Longest time to say good-bye to a peer, in seconds.
_CLOSE_SECONDS: Final = 0.5

#: Pause between two pings of an idle link, and the wait for an answer.
_PING_SECONDS: Final = 10.0

_DIAL_ERRORS: Final = (OSError, TimeoutError, InvalidHandshake, EOFError)

Receiver = Callable[[InstanceId, Any], None]
Rejecter = Callable[[InstanceId | None, Exception], None]


@wire.message('link.hello')
@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of a link: who dialled."""

    instance: InstanceId
    incarnation: int


class UnexpectedPeer(Exception):
    """A link was opened by an instance that the settings don't list."""


class PeerLink:
    """The link that this instance dialled to one peer.

    Args:
        address: Where the peer listens.
        hello: The first frame.
        longest_pause: Seconds between two tries to dial, at most.
        refused: Called when the peer's address refuses a connection, as
            that of a process that has ended does.
        open_seconds: Longest time to open it.
        ping_seconds: Pause between two pings of an idle link, and the wait
            for an answer.
    """

    def __init__(
        self,
        address: Address,
        hello: Hello,
        *,
        longest_pause: float,
        refused: Callable[[], None],
        open_seconds: float = _OPEN_SECONDS,
        ping_seconds: float = _PING_SECONDS,
    ) -> None:
        self._open_seconds = open_seconds
        self._ping_seconds = ping_seconds
        self._refused = refused
        self._address = address
        self._hello = hello
        self._longest_pause = longest_pause
        self._waiting: deque[bytes] = deque(maxlen=_MAX_WAITING_FRAMES)
        self._wake = asyncio.Event()
        self._connection: ClientConnection | None = None

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent now."""
        return self._connection is not None

    def send(self, frame: bytes) -> None:
        """Queue a frame; it is dropped if the link is down."""
        if self._connection is None:
            return
        self._waiting.append(frame)
        self._wake.set()

    def reset(self) -> None:
        """Drop the connection, to dial a new one at once."""
        if self._connection is not None:
            self._connection.transport.abort()

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        pause = _FIRST_PAUSE_SECONDS
        while True:
            if await self._hold():
                pause = _FIRST_PAUSE_SECONDS
            await asyncio.sleep(pause)
            pause = min(pause * 2, self._longest_pause)

    async def _hold(self) -> bool:
        """Open the link and send until it breaks; tell whether it opened."""
        try:
            connection = await connect(
                f'ws://{self._address}',
                compression=None,
                proxy=None,
                open_timeout=self._open_seconds,
                close_timeout=_CLOSE_SECONDS,
                ping_interval=self._ping_seconds,
                ping_timeout=self._ping_seconds,
                max_size=wire.MAX_FRAME_BYTES,
            )
        except ConnectionRefusedError:
            self._refused()
            return False
        except _DIAL_ERRORS:
            return False
        try:
            await self._send_all(connection)
        finally:
            await self._leave(connection)
        return True

    async def _leave(self, connection: ClientConnection) -> None:
        self._connection = None
        self._waiting.clear()
        with suppress(ConnectionClosed, OSError):
            await connection.close()

    async def _send_all(self, connection: ClientConnection) -> None:
        with suppress(ConnectionClosed, OSError):
            await connection.send(wire.encode(self._hello))
            self._connection = connection
            closed = asyncio.ensure_future(connection.wait_closed())
            closed.add_done_callback(lambda _: self._wake.set())
            while not closed.done():
                await self._send_waiting(connection)

    async def _send_waiting(self, connection: ClientConnection) -> None:
        self._wake.clear()
        while self._waiting:
            await connection.send(self._waiting.popleft())
        await self._wake.wait()


class PeerListener:
    """Accepts links of peers and hands on their messages.

    Args:
        known: Instances that may open a link; None for any.
        receive: Called with each message.
        reject: Called when a link is closed because of what came on it.
    """

    def __init__(
        self,
        known: frozenset[InstanceId] | None,
        *,
        receive: Receiver,
        reject: Rejecter,
    ) -> None:
        self._known = known
        self._receive = receive
        self._reject = reject
        self._server: Server | None = None

    async def start(self, address: Address) -> None:
        """Listen until `stop`."""
        self._server = await serve(
            self._serve,
            address.host,
            address.port,
            compression=None,
            close_timeout=_CLOSE_SECONDS,
            ping_interval=None,
            max_size=wire.MAX_FRAME_BYTES,
        )

    async def stop(self) -> None:
        """Close all links."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(self, connection: ServerConnection) -> None:
        sender: InstanceId | None = None
        try:
            sender = self._identify(await connection.recv())
            async for frame in connection:
                self._receive(sender, _decode(frame))
        except ConnectionClosed:
            return
        except (wire.BadFrame, UnexpectedPeer) as error:
            self._reject(sender, error)
            await connection.close(CloseCode.PROTOCOL_ERROR, str(error)[:100])

    def _identify(self, frame: str | bytes) -> InstanceId:
        hello = _decode(frame)
        if not isinstance(hello, Hello):
            raise UnexpectedPeer(repr(hello))
        if self._known is None or hello.instance in self._known:
            return hello.instance
        raise UnexpectedPeer(repr(hello))


def _decode(frame: str | bytes) -> Any:
    if isinstance(frame, str):
        raise wire.MalformedFrame('text frame')
    return wire.decode(frame)
