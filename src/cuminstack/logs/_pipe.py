"""Non-blocking writes of lines to a file descriptor."""

import os


class PipeStream:
    """A stream of lines that rejects a line when the pipe is full.

    The remainder of a partially written line is written before the next
    line, so that the reader never receives two lines merged into one.

    Args:
        descriptor: An open file descriptor; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b''

    def write(self, line: str) -> None:
        """Write a line.

        Raises:
            OSError: The pipe is full, or its reader has closed it.
        """
        self.flush()
        if self._unwritten:
            raise BlockingIOError(
                'pipe full: previous line only partially written'
            )
        self._write_bytes(line.encode())

    def flush(self) -> None:
        """Write the remainder of the last line, as far as it fits.

        Raises:
            OSError: The pipe is full, or its reader has closed it.
        """
        if self._unwritten:
            self._write_bytes(self._unwritten)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)

    def _write_bytes(self, text: bytes) -> None:
        written = os.write(self._descriptor, text)
        self._unwritten = text[written:]
