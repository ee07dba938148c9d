"""Where the lines go."""

import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final, Protocol

import eliot

from cuminstack.logs._budget import LineBudget
from cuminstack.logs._gate import gate
from cuminstack.logs._lines import format_line
from cuminstack.logs._pipe import PipeStream
from cuminstack.settings import LogLevel, LogSettings

#: Reports lines that were left out; never left out itself.
_DROPPED: Final = 'log.dropped'


class LineStream(Protocol):
    """What lines are written to: an open text file, or a pipe."""

    def write(self, line: str, /) -> object:
        """Write a line, or raise `OSError` or `ValueError`."""

    def flush(self) -> None:
        """Hand on what was written."""

    def close(self) -> None:
        """Write no more."""


class LogOutput:
    """An eliot destination that appends lines to a stream.

    A line that can't be written is counted and dropped: a full disk or a
    slow reader must not stop an instance.  The next line that can be
    written is followed by a report of how many were dropped.
    """

    def __init__(
        self,
        stream: LineStream,
        *,
        owned: bool = False,
        budget: LineBudget | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Take the stream.

        Args:
            stream: Where lines go.
            owned: Whether to close it at the end.
            budget: Bounds the lines of each kind, if there is one.
            clock: Gives the present time for the budget, in seconds.
        """
        self._stream = stream
        self._owned = owned
        self._budget = budget
        self._clock = clock
        self._dropped = 0
        self._unreported = 0
        self._events: Counter[str] = Counter()

    @property
    def events(self) -> Mapping[str, int]:
        """Events by name, those included that were not written."""
        return self._events

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
        kind = message.get('message_type', '')
        self._events[kind] += 1
        if self._budget is None:
            self._write(message)
            return
        now = self._clock()
        for over, count in self._budget.take_dropped(now=now).items():
            self._report(message, cause='budget', kind=over, count=count)
        if self._budget.spend(kind, now=now):
            self._write(message)

    def _write(self, message: Mapping[str, Any]) -> None:
        if not self._put(message):
            self._dropped += 1
            self._unreported += 1
        elif self._unreported:
            count = self._unreported
            if self._report(message, cause='stream', count=count):
                self._unreported = 0

    def _report(self, message: Mapping[str, Any], **fields: Any) -> bool:
        """Say what was left out, as of the time of a message."""
        report = {
            'timestamp': message.get('timestamp', 0),
            'message_type': _DROPPED,
            'level': LogLevel.warning.value,
        }
        return self._put({**report, **fields})

    def _put(self, message: Mapping[str, Any]) -> bool:
        try:
            self._stream.write(f'{format_line(message)}\n')
            self._stream.flush()
        except (OSError, ValueError):
            return False
        return True


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


def log_to_standard_output() -> LogOutput:
    """Begin to write events to standard output, bounded and never waiting."""
    stream = PipeStream(sys.stdout.fileno())
    output = LogOutput(stream, budget=LineBudget())
    output.open()
    return output
