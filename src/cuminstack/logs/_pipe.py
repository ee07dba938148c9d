"""Writes to a descriptor without ever waiting for its reader."""

import os


class PipeStream:
    """A stream of lines that refuses what a full pipe has no room for.

    A line that was written in part is ended before the next one begins, so
    that the reader never sees two lines in one.

    Args:
        descriptor: An open file descriptor; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b''

    def write(self, line: str) -> None:
        """Write a line.

        Raises:
            OSError: There is no room for it now, or nobody reads any more.
        """
        self.flush()
        if self._rest:
            raise BlockingIOError('the reader is behind')
        self._put(line.encode())

    def flush(self) -> None:
        """Write what is left of the last line, as far as there is room.

        Raises:
            OSError: There is no room for it now, or nobody reads any more.
        """
        if self._rest:
            self._put(self._rest)

    def close(self) -> None:
        """Write no more."""
        os.close(self._descriptor)

    def _put(self, text: bytes) -> None:
        written = os.write(self._descriptor, text)
        self._rest = text[written:]
