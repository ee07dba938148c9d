"""Accepted links, which bound what their clients can use."""

import asyncio
from typing import Any, Final

from websockets.asyncio.server import ServerConnection

from cuminstack.listeners import Cause, Listener


class AcceptedLink(ServerConnection, asyncio.BufferedProtocol):
    """A connection to the listener for peers.

    Args:
        *args: Protocol and server of the connection, set by websockets.
        listener: Listener of the connection.
        **options: Options of the connection, set by websockets.
    """

    def __init__(self, *args: Any, listener: Listener, **options: Any) -> None:
        super().__init__(*args, **options)
        self._listener: Final = listener
        self._is_open = False
        self._handshake_bytes = 0
        # Cuts the connection if the peer doesn't identify itself in time.
        self._timer: asyncio.TimerHandle | None = None

    @property
    def descriptor(self) -> int:
        """File descriptor of the connection; -1 if it is closed."""
        number: int = self.transport.get_extra_info('socket').fileno()
        return number

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that asyncio reads into."""
        return self._listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        self.data_received(bytes(self._listener.read_buffer[:nbytes]))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection if the listener has room for it."""
        assert isinstance(transport, asyncio.Transport)
        self._is_open = self._listener.admit(self)
        if not self._is_open:
            peer = transport.get_extra_info('peername')
            self._listener.report(Cause.connections, peer)
            transport.abort()
            return
        super().connection_made(transport)
        self._timer = self.loop.call_later(
            self._listener.limits.header_seconds, self.cut, Cause.slow_header
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection used."""
        if not self._is_open:
            return
        self._is_open = False
        self._stop_timer()
        self._listener.remove(self)
        self._listener.table.release(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes, unless a handshake is too large."""
        if self.request is None:
            self._handshake_bytes += len(data)
            if self._handshake_bytes > self._listener.limits.header_bytes:
                self.cut(Cause.large_header)
                return
        super().data_received(data)
        # websockets would discard what follows until the client leaves.
        if self.protocol.handshake_exc is not None:
            self.cut(Cause.malformed)

    def identify(self) -> None:
        """Record that the peer has identified itself."""
        self._stop_timer()
        self._listener.table.start_request(self)
        self._listener.table.end_request(self, now=self.loop.time())

    def cut(self, cause: Cause) -> None:
        """Close the connection at once."""
        if not self._is_open or self.transport.is_closing():
            return
        self._listener.report(cause, self.remote_address)
        self._listener.remove(self)
        self.transport.abort()

    def expire(self, cause: Cause) -> None:
        """Handle that the client was waited for too long."""
        self.cut(cause)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
