"""Accepted links, which bound what their clients can use."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from websockets.asyncio.server import ServerConnection
from websockets.frames import DATA_OPCODES, CloseCode, Frame, Opcode

from cuminstack.core import InstanceId
from cuminstack.links._deflate import server_deflate
from cuminstack.listeners import (
    Cause,
    Listener,
    body_cost,
    forget_frames,
)

#: Largest incomplete first message, which only names the peer.
_FIRST_MESSAGE_BYTES: Final = 4096
#: Bytes that are read at once, so that a link with many small messages doesn't
#: hold up the others, and those read within a large message.
_READ_BYTES: Final = 4096
_LARGE_READ_BYTES: Final = 16_384
#: Longest reason that a close frame holds.
_REASON_CHARACTERS: Final = 100

MessageHandler = Callable[['AcceptedLink', bytes], None]


class AcceptedLink(ServerConnection, asyncio.BufferedProtocol):
    """A connection to the listener for peers.

    Each message is handled as soon as it is complete, so that none waits in
    memory.

    Args:
        *args: Protocol and server of the connection, set by websockets.
        listener: Listener of the connection.
        handle: Called with the link and each of its messages.
        **options: Options of the connection, set by websockets.
    """

    def __init__(
        self,
        *args: Any,
        listener: Listener,
        handle: MessageHandler,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self.protocol.available_extensions = (server_deflate(self),)
        self._listener: Final = listener
        self._handle: Final = handle
        self._peer: InstanceId | None = None
        self._is_open = False
        self._is_refused = False
        self._handshake_bytes = 0
        # Size of the compressed messages among what was received at once.
        self._expanded_bytes = 0
        # Cuts the connection if the peer doesn't identify itself in time.
        self._timer: asyncio.TimerHandle | None = None

    @property
    def peer(self) -> InstanceId | None:
        """The instance at the other end; None until it is identified."""
        return self._peer

    @property
    def descriptor(self) -> int:
        """File descriptor of the connection; -1 if it is closed."""
        number: int = self.transport.get_extra_info('socket').fileno()
        return number

    @property
    def free_bytes(self) -> int:
        """Size that messages received at once may still expand to.

        Clients whose messages are incomplete make room for them.
        """
        memory = self._listener.limits.memory_bytes
        return memory // body_cost(1) - self._expanded_bytes

    def use_memory(self, size: int) -> None:
        """Add the size of a message that is about to be handled."""
        self._expanded_bytes += size
        self._listener.use_memory(self, body_cost(size))

    def identify(self, peer: InstanceId) -> None:
        """Record which instance is at the other end."""
        self._peer = peer
        self._stop_timer()
        self._listener.table.start_request(self)

    def refuse(self, reason: str) -> None:
        """Close the link because of a message."""
        self._is_refused = True
        # What doesn't fit into a close frame would raise an error.
        text = reason.encode('ascii', 'replace').decode()
        self.protocol.fail(CloseCode.PROTOCOL_ERROR, text[:_REASON_CHARACTERS])
        self.send_data()
        self._finish()

    def cut(self, cause: Cause) -> None:
        """Close the connection at once."""
        # Also one that is closing already: the listener waits for the room.
        self._listener.remove(self)
        if self._is_open and not self.transport.is_closing():
            self._listener.report(cause, self.remote_address)
            self.transport.abort()

    def expire(self, cause: Cause) -> None:
        """Handle that the client was waited for too long."""
        self.cut(cause)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that asyncio reads into."""
        size = _READ_BYTES
        if len(self.protocol.reader.buffer) >= _READ_BYTES:
            size = _LARGE_READ_BYTES
        return self._listener.read_buffer[:size]

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

    def pause_writing(self) -> None:
        """Read nothing more until the peer has taken the answers to pings."""
        super().pause_writing()
        self.transport.pause_reading()
        self._listener.await_client(self, Cause.slow_reader)
        size = self.transport.get_write_buffer_size()
        self._listener.use_memory(self, size)

    def resume_writing(self) -> None:
        """Go on reading."""
        super().resume_writing()
        self.transport.resume_reading()
        self._listener.table.end_request(self, now=self.loop.time())

    def data_received(self, data: bytes) -> None:
        """Handle received bytes, unless a handshake is too large."""
        if self.request is None:
            self._handshake_bytes += len(data)
        if self._handshake_bytes > self._listener.limits.header_bytes:
            self.cut(Cause.large_header)
            return
        self._expanded_bytes = 0
        super().data_received(data)
        if self.transport.is_closing():
            return
        # websockets would discard what follows until the client leaves.
        if self.protocol.handshake_exc:
            self.cut(Cause.malformed)
        elif self.protocol.close_expected():
            self._finish()
        else:
            self._measure()

    def process_event(self, event: Any) -> None:
        """Handle the handshake or a frame."""
        if isinstance(event, Frame) and event.opcode in DATA_OPCODES:
            self._receive_frame(event)
        else:
            super().process_event(event)

    def _receive_frame(self, frame: Frame) -> None:
        # What follows a message that was refused is discarded.
        if self._is_refused:
            return
        if frame.opcode is Opcode.BINARY and frame.fin:
            message = bytes(frame.data)
            # The parser keeps the frame until it has the next one.
            frame.data = b''
            self._handle(self, message)
        else:
            self.refuse('text or a fragment')

    def _measure(self) -> None:
        """Record what the connection holds of an incomplete message."""
        table = self._listener.table
        held = len(self.protocol.reader.buffer)
        if self.request is None:
            held = self._handshake_bytes
        elif self._peer is None:
            if held > _FIRST_MESSAGE_BYTES:
                self.cut(Cause.malformed)
                return
        elif held:
            self._listener.await_client(self, Cause.slow_body)
        else:
            table.end_request(self, now=self.loop.time())
            return
        table.release(self)
        self._listener.use_memory(self, body_cost(held))

    def _finish(self) -> None:
        """Close the connection once what it has written is sent."""
        if self.protocol.parser_exc is not None or self._is_refused:
            self._listener.report(Cause.malformed, self.remote_address)
        # The frames of its traceback hold what a message was expanded to.
        forget_frames(self.protocol.parser_exc)
        self._listener.remove(self)
        self.transport.close()
        # A client that takes nothing would keep the connection open.
        if self.transport.get_write_buffer_size():
            self.transport.abort()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
