"""Where the lines go."""

import sys
from collections.abc import Mapping
from typing import Any, TextIO

import eliot

from cuminstack.logs._gate import gate
from cuminstack.logs._lines import format_line
from cuminstack.settings import LogSettings


class LogOutput:
    """An eliot destination that appends lines to a stream.

    A line that can't be written is counted and dropped: a full disk must
    not stop an instance.
    """

    def __init__(self, stream: TextIO, *, owned: bool = False) -> None:
        """Take the stream, and close it at the end if it is owned."""
        self._stream = stream
        self._owned = owned
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that could not be written."""
        return self._dropped

    def open(self) -> None:
        """Take messages from now on."""
        eliot.add_destinations(self)

    def close(self) -> None:
        """Take no more messages; called once, at the end of a process."""
        eliot.remove_destination(self)
        if self._owned:
            self._stream.close()

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write the line of a message."""
        try:
            self._stream.write(f'{format_line(message)}\n')
            self._stream.flush()
        except (OSError, ValueError):
            self._dropped += 1


def configure_logs(settings: LogSettings) -> LogOutput:
    """Begin to write events of this process.

    Args:
        settings: Least level, and the file or standard error.

    Raises:
        OSError: The file can't be opened.
    """
    if settings.path is None:
        output = LogOutput(sys.stderr)
    else:
        stream = settings.path.open('a', encoding='utf-8')
        output = LogOutput(stream, owned=True)
    gate.raise_to(settings.level)
    output.open()
    return output
