"""Removes the trailers of a chunked body (RFC 9112, section 7.1)."""

import re
from typing import Final

_LINE_BREAK: Final = b'\r\n'
_END_OF_TRAILERS: Final = b'\r\n\r\n'
#: Size of a chunk, which extensions may follow.
_SIZE_LINE: Final = re.compile(rb'([0-9a-fA-F]{1,15})[ \t]*(;[^\r\n]*)?\r\n')
_HEXADECIMAL: Final = 16
#: Longest line of a size with its extensions.
_MAX_LINE_BYTES: Final = 4096


class BadChunk(Exception):
    """A chunk has no valid size."""


class ChunkFilter:
    """Passes on the chunks of one body, and discards its trailers.

    The parser would keep each trailer field as several objects, although no
    handler reads them.
    """

    def __init__(self) -> None:
        # Bytes left of the chunk, with the line break that ends it.
        self._left = 0
        self._line = bytearray()
        # The end of what was received of the trailers, from the line break of
        # the last size on; empty before it.
        self._trailers = b''
        self._is_complete = False
        self._content_bytes = 0
        self._other_bytes = 0

    @property
    def excess_bytes(self) -> int:
        """Size of trailers and lines of sizes beyond that of the content.

        Chunks of a byte take far more processor time than large ones.
        """
        return self._other_bytes - self._content_bytes

    def feed(self, received: bytes) -> bytes:
        """Return received bytes without trailers, nor what follows the body.

        Raises:
            BadChunk: A chunk has no valid size.
        """
        position = min(self._left, len(received))
        self._left -= position
        while position < len(received) and not self._trailers:
            end = received.find(b'\n', position) + 1 or len(received)
            self._read_line(received[position:end])
            position = min(end + self._left, len(received))
            self._left -= position - end
        return received[:position] + self._discard(received[position:])

    def _read_line(self, received: bytes) -> None:
        self._line += received
        if len(self._line) > _MAX_LINE_BYTES:
            raise BadChunk
        if not self._line.endswith(b'\n'):
            return
        match = _SIZE_LINE.fullmatch(self._line)
        if match is None:
            raise BadChunk
        size = int(match[1], _HEXADECIMAL)
        self._content_bytes += size
        self._other_bytes += len(self._line) + len(_LINE_BREAK)
        self._line.clear()
        if size:
            self._left = size + len(_LINE_BREAK)
        else:
            self._trailers = _LINE_BREAK

    def _discard(self, trailers: bytes) -> bytes:
        """Return the end of the body if the trailers are complete."""
        if not trailers or self._is_complete:
            return b''
        self._other_bytes += len(trailers)
        trailers = self._trailers + trailers
        self._is_complete = _END_OF_TRAILERS in trailers
        self._trailers = trailers[-len(_END_OF_TRAILERS) :]
        return _LINE_BREAK if self._is_complete else b''
