"""Links to and from other instances: WebSocket connections with CBOR frames.

Each instance sends on the links that it dialled and receives on those that it
accepted, so the sender, which depends on a link, is the one that detects that
it has gone silent in one direction.  Delivery is best effort: the protocols
on top have to tolerate lost frames.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import Any, Final, cast

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from cuminstack import wire
from cuminstack.core import InstanceId
from cuminstack.links._accepted import AcceptedLink
from cuminstack.links._deflate import ClientDeflate
from cuminstack.links._keepalive import keep_alive, reset
from cuminstack.listeners import LINKS, Listeners, accept, body_cost
from cuminstack.settings import Address

#: Largest number of frames queued for a link; the oldest are dropped.
_MAX_QUEUED_FRAMES: Final = 20_000

#: Memory of an empty map in a list, the data item that takes most for its
#: size in a frame.
_ITEM_BYTES: Final = 72

#: Default time-out for opening a link, in seconds.
_OPEN_SECONDS: Final = 2.0

#: First delay before a peer is dialled again, in seconds; it doubles with
#: each failure.
_INITIAL_RETRY_SECONDS: Final = 0.05

#: Time-out of the closing handshake, in seconds.
_CLOSE_SECONDS: Final = 0.5

#: Default interval of keepalive pings on a link in use, and time-out of their
#: answers, in seconds.
_PING_SECONDS: Final = 10.0

_DIAL_ERRORS: Final = (OSError, TimeoutError, InvalidHandshake, EOFError)

Receiver = Callable[[InstanceId, Any], None]
Rejecter = Callable[[InstanceId | None, Exception], None]


@wire.message('link.hello')
@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame of a link, which identifies the dialling instance."""

    instance: InstanceId
    incarnation: int


class UnexpectedPeer(Exception):
    """A link was opened by an instance that is not in the settings.

    It is also raised if the first frame of a link is not a `Hello`.
    """


class PeerLink:
    """An outgoing link to one peer, dialled again whenever it breaks.

    Args:
        address: The address of the peer's listener.
        hello: The first frame to send.
        max_retry_seconds: Longest delay before the peer is dialled again, in
            seconds.
        on_refused: Called when the peer's address refuses a connection, which
            indicates that the process has ended.
        open_seconds: Time-out for opening the link, in seconds.
        ping_seconds: Interval of keepalive pings on a link in use, and
            time-out of their answers, in seconds.
    """

    def __init__(
        self,
        address: Address,
        hello: Hello,
        *,
        max_retry_seconds: float,
        on_refused: Callable[[], None],
        open_seconds: float = _OPEN_SECONDS,
        ping_seconds: float = _PING_SECONDS,
    ) -> None:
        self._open_seconds = open_seconds
        self._ping_seconds = ping_seconds
        self._on_refused = on_refused
        self._address = address
        self._hello = hello
        self._max_retry_seconds = max_retry_seconds
        self._queued_frames: deque[bytes] = deque(maxlen=_MAX_QUEUED_FRAMES)
        self._wake = asyncio.Event()
        self._connection: ClientConnection | None = None
        self._sent = 0

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent now."""
        return self._connection is not None

    def send(self, frame: bytes) -> None:
        """Queue a frame; it is dropped if the link is down."""
        if self._connection is None:
            return
        self._queued_frames.append(frame)
        self._sent += 1
        self._wake.set()

    def reset(self) -> None:
        """Abort the connection, so that a new one is dialled at once."""
        if self._connection is not None:
            reset(self._connection)

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        retry_seconds = _INITIAL_RETRY_SECONDS
        while True:
            if await self._run_connection():
                retry_seconds = _INITIAL_RETRY_SECONDS
            await asyncio.sleep(retry_seconds)
            retry_seconds = min(retry_seconds * 2, self._max_retry_seconds)

    async def _run_connection(self) -> bool:
        """Open the link and send frames until it breaks.

        Returns:
            Whether the link could be opened.
        """
        try:
            connection = await connect(
                f'ws://{self._address}',
                compression=None,
                extensions=(ClientDeflate(),),
                proxy=None,
                open_timeout=self._open_seconds,
                close_timeout=_CLOSE_SECONDS,
                ping_interval=None,
                max_size=wire.MAX_FRAME_BYTES,
            )
        except ConnectionRefusedError:
            self._on_refused()
            return False
        except _DIAL_ERRORS:
            return False
        pinger = asyncio.create_task(
            keep_alive(
                connection,
                seconds=self._ping_seconds,
                count_sent=lambda: self._sent,
            )
        )
        try:
            await self._send_until_closed(connection)
        finally:
            pinger.cancel()
            await self._disconnect(connection)
        return True

    async def _disconnect(self, connection: ClientConnection) -> None:
        self._connection = None
        self._queued_frames.clear()
        with suppress(ConnectionClosed, OSError):
            await connection.close()

    async def _send_until_closed(self, connection: ClientConnection) -> None:
        with suppress(ConnectionClosed, OSError):
            await connection.send(wire.encode(self._hello))
            self._connection = connection
            closed = asyncio.ensure_future(connection.wait_closed())
            closed.add_done_callback(lambda _: self._wake.set())
            while not closed.done():
                await self._flush_queue(connection)

    async def _flush_queue(self, connection: ClientConnection) -> None:
        self._wake.clear()
        while self._queued_frames:
            await connection.send(self._queued_frames.popleft())
        await self._wake.wait()


class PeerListener:
    """Accepts the links of peers and delivers their messages.

    Args:
        allowed: The instances that may open a link; None for any.
        receive: Called with the sender and each message.
        reject: Called with the sender, if known, and the error when a link
            is closed because of an invalid frame or an unexpected peer.
        listeners: Listeners of the process, which bound what clients use.
    """

    def __init__(
        self,
        allowed: frozenset[InstanceId] | None,
        *,
        receive: Receiver,
        reject: Rejecter,
        listeners: Listeners,
    ) -> None:
        self._allowed = allowed
        self._receive = receive
        self._reject = reject
        self._listeners = listeners
        self._server: Server | None = None
        self._max_items = 0

    async def start(self, address: Address) -> None:
        """Listen at an address until `stop` is called.

        Raises:
            OSError: The address can't be listened on.
        """
        listener = self._listeners.add('peers', LINKS)
        self._max_items = listener.limits.memory_bytes // _ITEM_BYTES
        self._server = await accept(
            address,
            partial(
                serve,
                self._serve,
                compression=None,
                # The link itself bounds the time until it is identified.
                open_timeout=None,
                close_timeout=_CLOSE_SECONDS,
                ping_interval=None,
                max_size=min(
                    wire.MAX_FRAME_BYTES,
                    listener.limits.memory_bytes // body_cost(1),
                ),
                create_connection=cast(
                    type[ServerConnection],
                    partial(
                        AcceptedLink, listener=listener, handle=self._handle
                    ),
                ),
            ),
        )

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(self, connection: ServerConnection) -> None:
        # The link passes its messages to `_handle` itself.
        await connection.wait_closed()

    def _handle(self, link: AcceptedLink, frame: bytes) -> None:
        try:
            message = wire.decode(frame, max_items=self._max_items)
            if link.peer is None:
                link.identify(self._identify(message))
            else:
                self._receive(link.peer, message)
        except (wire.BadFrame, UnexpectedPeer) as error:
            self._reject(link.peer, error)
            link.refuse(str(error))

    def _identify(self, hello: Any) -> InstanceId:
        if not isinstance(hello, Hello):
            raise UnexpectedPeer(repr(hello))
        if self._allowed is None or hello.instance in self._allowed:
            return hello.instance
        raise UnexpectedPeer(repr(hello))
