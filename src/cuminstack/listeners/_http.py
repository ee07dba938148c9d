"""HTTP connections that bound what their clients can use.

Each header section is received completely before aiohttp parses it, and one
request of a connection at a time is parsed.
"""

import asyncio
import re
from typing import Any, Final, cast

from aiohttp import hdrs, web
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from cuminstack.listeners._chunks import BadChunk, ChunkFilter
from cuminstack.listeners._connections import Cause, body_cost, header_cost
from cuminstack.listeners._listener import Listener
from cuminstack.listeners._refusals import (
    DescribeRefusal,
    forget_frames,
    no_content,
    refusal,
    without_keepalive,
)
from cuminstack.logs import log_event
from cuminstack.settings import LogLevel

_END_OF_HEADER: Final = b'\r\n\r\n'
_LINE_BREAKS: Final = b'\r\n'
_BODY_LENGTH: Final = re.compile(rb'\r\nContent-Length: (\d{1,9})\r\n')
#: What `_body_left` is for a chunked body.
_UNKNOWN: Final = -1
#: More fields than fit into a header section; its size is bounded instead.
_MAX_FIELDS: Final = 1_000_000
#: Longest time in which a refused client may read its response, and the
#: largest number of bytes that are discarded meanwhile.  A connection that
#: is closed with unread input is reset, and its response is lost.
_LINGER_SECONDS: Final = 1.0
_LINGER_BYTES: Final = 1_048_576
#: Longest time for which aiohttp discards the rest of a body that was
#: answered early.
_DISCARD_SECONDS: Final = 2.0
#: Bytes that are read at once unless they are known to be content: 64 KB of
#: chunks of a byte take 37 ms to parse.
_SMALL_READ_BYTES: Final = 8192
#: Bytes that are kept of requests behind one that is in progress: a complete
#: request of the largest header section and body that are usual.
_PIPELINED_BYTES: Final = 393_216


class LimitedConnection(RequestHandler, asyncio.BufferedProtocol):
    """A connection of which aiohttp gets one complete header at a time.

    Args:
        server: The server of aiohttp whose requests it handles.
        listener: Listener of the connection.
        describe: Returns the content of refusals.
    """

    __slots__ = (
        '_listener',
        '_describe',
        '_is_open',
        '_unread',
        '_scanned',
        '_skipped',
        '_is_begun',
        '_is_busy',
        '_is_handled',
        '_body_left',
        '_payload',
        '_chunks',
        '_is_held',
        '_linger_bytes',
    )

    def __init__(
        self,
        server: web.Server,
        listener: Listener,
        describe: DescribeRefusal = no_content,
    ) -> None:
        size = listener.limits.memory_bytes
        super().__init__(
            server,
            loop=listener.loop,
            access_log=cast(Any, None),
            lingering_time=_DISCARD_SECONDS,
            max_line_size=size,
            max_field_size=size,
            max_headers=_MAX_FIELDS,
            # A small compressed body would expand beyond all limits.
            auto_decompress=False,
        )
        self._listener = listener
        self._describe = describe
        self._is_open = False
        # Received bytes that aren't parsed yet; how many of them contain no
        # end of a header section; and the empty lines skipped before them.
        self._unread = bytearray()
        self._scanned = 0
        self._skipped = 0
        # Whether a header section has begun; whether a request is parsed and
        # not answered; and whether its handler has started.
        self._is_begun = False
        self._is_busy = False
        self._is_handled = False
        self._body_left = 0
        self._payload: Any = None
        self._chunks = ChunkFilter()
        self._is_held = False
        self._linger_bytes = 0

    @property
    def descriptor(self) -> int:
        """File descriptor of the connection; -1 if it is closed."""
        if self.transport is None:
            return -1
        number: int = self.transport.get_extra_info('socket').fileno()
        return number

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that asyncio reads into."""
        buffer = self._listener.read_buffer
        return buffer if self._body_left > 0 else buffer[:_SMALL_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes."""
        self.data_received(bytes(self._listener.read_buffer[:nbytes]))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection if the listener has room for it."""
        self._is_open = self._listener.admit(self)
        if self._is_open:
            super().connection_made(transport)
            return
        peer = transport.get_extra_info('peername')
        self._listener.report(Cause.connections, peer)
        cast(asyncio.Transport, transport).abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection used."""
        if not self._is_open:
            return
        self._is_open = False
        self._listener.remove(self)
        # The request of a handler that goes on stays in memory.
        if not self._is_handled:
            self._listener.table.release(self)
        self._unread = bytearray()
        self._payload = None
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Bound the time and memory of a response that isn't taken."""
        super().pause_writing()
        self._listener.await_client(self, Cause.slow_reader)
        if self.transport is not None:
            size = self.transport.get_write_buffer_size()
            self._listener.use_memory(self, size)

    def resume_writing(self) -> None:
        """Go on writing."""
        super().resume_writing()
        if self._is_held:
            self._listener.await_client(self, Cause.pipelined)
        else:
            self._listener.table.start_request(self)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; without any, go on with parsed ones."""
        if not data or self._close or self._force_close:
            super().data_received(data)
        elif self._linger_bytes:
            self._discard(len(data))
        elif self._body_left:
            self._receive_body(data)
        elif self._is_busy:
            self._keep(data)
        else:
            self._receive_header(data)

    def cut(self, cause: Cause) -> None:
        """Close the connection, after a refusal if that is possible."""
        if self._linger_bytes:
            self._end()
            return
        if self._is_begun:
            self._refuse(cause)
            return
        self._listener.report(cause, self.peername)
        # A handler that waits for the body has written nothing yet.
        is_waiting = self._is_busy and not self._is_handled
        if self._body_left and (is_waiting or self._current_request):
            self._write_refusal(cause)
        self._end()

    def expire(self, cause: Cause) -> None:
        """Handle that the client was waited for too long."""
        if cause is Cause.slow_body and self._is_complete():
            self._listener.table.start_request(self)
        else:
            self.cut(cause)

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log an error of a handler, at the bounded rate of events."""
        error = kw.get('exc_info')
        if not isinstance(error, ConnectionError | web.RequestPayloadError):
            log_event(
                'request.failed',
                LogLevel.warning,
                listener=self._listener.name,
                error=error,
            )

    async def _handle_request(
        self, request: web.BaseRequest, *args: Any
    ) -> tuple[web.StreamResponse, bool]:
        self._is_handled = True
        try:
            response, is_reset = await super()._handle_request(request, *args)
        finally:
            forget_frames(request.content.exception())
            self._end_request()
        # aiohttp keeps the response until the next request.
        forget_frames(response)
        return response, is_reset

    def _end_request(self) -> None:
        self._is_busy = False
        self._is_handled = False
        now = self._loop.time()
        self._listener.table.end_request(self, now=now)
        if not self._is_open or self._force_close or self._close:
            return
        if self._body_left:
            self._listener.await_client(self, Cause.slow_body)
        elif self._unread:
            unread = bytes(self._unread)
            self._unread = bytearray()
            self._receive_header(unread)
        if self._is_held:
            self._unhold()

    def _keep(self, received: bytes) -> None:
        """Keep what is received behind the request in progress."""
        self._unread += received
        if len(self._unread) > _PIPELINED_BYTES:
            self._hold()
        self._listener.use_memory(self, len(received))

    def _receive_header(self, received: bytes) -> None:
        added = len(received)
        if self._unread:
            self._unread += received
            received = bytes(self._unread)
        if received[0] in _LINE_BREAKS:
            received = received.lstrip(_LINE_BREAKS)
            self._skipped += added - len(received)
        end = received.find(_END_OF_HEADER, self._scanned)
        size = len(received) if end < 0 else end + len(_END_OF_HEADER)
        if self._is_too_large(size + self._skipped):
            self._refuse(Cause.large_header)
        elif end < 0:
            self._await_header(received, added)
        else:
            self._start_request(received, size)

    def _is_too_large(self, size: int) -> bool:
        limit = self._listener.limits.header_bytes
        # The desired state is only asked for large ones.
        return size > limit and size > self._listener.header_bytes

    def _await_header(self, received: bytes, added: int) -> None:
        # Empty lines alone, like one after a body, begin no request.
        if not received:
            return
        if not self._unread:
            self._unread += received
        self._scanned = max(0, len(received) - len(_END_OF_HEADER) + 1)
        if not self._is_begun:
            self._is_begun = True
            self._listener.await_client(self, Cause.slow_header)
        self._listener.use_memory(self, added)

    def _start_request(self, received: bytes, size: int) -> None:
        if self._is_begun:
            self._listener.table.release(self)
            self._unread.clear()
        self._is_begun = True
        self._scanned = 0
        self._skipped = 0
        header, rest = received[:size], received[size:]
        cost = header_cost(size, header.count(b'\n'))
        is_whole = bool(rest) and _is_body(rest, header)
        if is_whole:
            cost += body_cost(len(rest))
        self._listener.use_memory(self, cost)
        if self._linger_bytes:
            return
        self._is_begun = False
        self._is_busy = True
        self._listener.table.start_request(self)
        if is_whole:
            RequestHandler.data_received(self, received)
        else:
            RequestHandler.data_received(self, header)
            self._receive_rest(rest)

    def _receive_rest(self, rest: bytes) -> None:
        """Handle what was received behind a header section."""
        self._measure_body()
        if rest:
            self.data_received(rest)
        elif self._body_left:
            self._listener.await_client(self, Cause.slow_body)

    def _measure_body(self) -> None:
        """Find out how much of the request is still to come."""
        if not self._messages:
            self._end()
            return
        message, payload = self._messages[-1]
        self._payload = payload
        if isinstance(message, RawRequestMessage) and not self._is_complete():
            length = message.headers.get(hdrs.CONTENT_LENGTH)
            if length is None:
                # The end of the body isn't known before it is parsed, so a
                # request that follows couldn't be told from it.
                self._messages[-1] = (
                    without_keepalive(message),
                    self._payload,
                )
            self._body_left = _UNKNOWN if length is None else int(length)
            self._chunks = ChunkFilter()

    def _receive_body(self, received: bytes) -> None:
        rest = b''
        if self._body_left > 0:
            rest = received[self._body_left :]
            received = received[: self._body_left]
            self._body_left -= len(received)
        else:
            received = self._remove_trailers(received)
        if self._force_close:
            return
        if received:
            RequestHandler.data_received(self, received)
        if self._body_left < 0 and self._is_complete():
            self._body_left = 0
        # A body that is answered already is discarded.
        if self._is_busy:
            self._listener.use_memory(self, body_cost(len(received)))
        if self._force_close:
            return
        if self._body_left:
            self._listener.await_client(self, Cause.slow_body)
        elif self._is_busy:
            self._listener.table.start_request(self)
        else:
            self._listener.table.end_request(self, now=self._loop.time())
        if rest:
            self.data_received(rest)

    def _remove_trailers(self, received: bytes) -> bytes:
        """Return a part of a chunked body that is left to parse.

        The connection is cut if the part is malformed, or trailers or lines of
        sizes are too large.
        """
        try:
            chunks = self._chunks.feed(received)
        except BadChunk:
            self.cut(Cause.malformed)
            return b''
        if self._is_too_large(self._chunks.excess_bytes):
            self.cut(Cause.large_header)
        return chunks

    def _is_complete(self) -> bool:
        return self._payload is None or bool(self._payload.is_eof())

    def _refuse(self, cause: Cause) -> None:
        """Refuse a request whose header section isn't parsed."""
        listener = self._listener
        listener.report(cause, self.peername)
        self._unread = bytearray()
        if self.transport is None:
            return
        self._linger_bytes = _LINGER_BYTES
        now = self._loop.time()
        listener.table.refuse(self, cause, seconds=_LINGER_SECONDS, now=now)
        self._write_refusal(cause)
        self.transport.write_eof()

    def _write_refusal(self, cause: Cause) -> None:
        if self.transport is not None:
            self.transport.write(refusal(cause, self._describe))

    def _discard(self, size: int) -> None:
        self._linger_bytes -= size
        if self._linger_bytes <= 0:
            self._end()

    def _end(self) -> None:
        self._listener.remove(self)
        self._listener.table.release(self)
        transport = self.transport
        self.force_close()
        # A client that takes nothing would keep the connection open.
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()

    def _hold(self) -> None:
        """Stop reading, so that TCP makes the client wait.

        While nothing is read, it isn't seen that the client leaves: what it
        has sent before comes first.  So the time is bounded.
        """
        if not self._is_held:
            self._is_held = True
            self._listener.await_client(self, Cause.pipelined)
            self._pause_transport_reading()

    def _unhold(self) -> None:
        """Read again, unless there is still too much unread."""
        if len(self._unread) > _PIPELINED_BYTES:
            self._listener.await_client(self, Cause.pipelined)
            return
        self._is_held = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        # aiohttp resumes when a body has been consumed.
        if not self._is_held:
            super()._resume_transport_reading()


def _is_body(rest: bytes, header: bytes) -> bool:
    """Return whether a header section is followed by exactly its body.

    Then both are parsed at once, which takes less time.  A section with
    several lengths, or a length and a chunked body, is refused by the parser.
    """
    match = _BODY_LENGTH.search(header)
    return match is not None and int(match[1]) == len(rest)
