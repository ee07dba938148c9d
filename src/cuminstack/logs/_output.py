"""Writes log lines to a stream, within a rate limit."""

import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final, Protocol

import eliot

from cuminstack.logs._budget import LineBudget
from cuminstack.logs._level import level_filter
from cuminstack.logs._lines import format_line
from cuminstack.logs._pipe import PipeStream
from cuminstack.settings import LogLevel, LogSettings

#: Event that reports dropped lines; exempt from the rate limit.
_DROPPED_EVENT: Final = 'log.dropped'


class LineStream(Protocol):
    """Stream that lines are written to: an open text file, or a pipe."""

    def write(self, line: str, /) -> object:
        """Write a line.

        Raises:
            OSError: The line can't be written.
            ValueError: The stream is closed.
        """

    def flush(self) -> None:
        """Flush buffered lines."""

    def close(self) -> None:
        """Close the stream."""


class LogOutput:
    """An eliot destination that appends lines to a stream.

    A line that can't be written is dropped and counted, since a full disk or
    a slow reader must not block an instance.  The next line that can be
    written is followed by a report of the number of dropped lines.
    """

    def __init__(
        self,
        stream: LineStream,
        *,
        owns_stream: bool = False,
        budget: LineBudget | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise the output; it receives messages once opened.

        Args:
            stream: Stream that lines are written to.
            owns_stream: Whether `close` closes the stream.
            budget: Rate limit by kind of event; None for no limit.
            clock: Returns the time for the rate limit, in seconds.
        """
        self._stream = stream
        self._owns_stream = owns_stream
        self._budget = budget
        self._clock = clock
        self._dropped = 0
        self._unreported = 0
        self._events: Counter[str] = Counter()

    @property
    def event_counts(self) -> Mapping[str, int]:
        """Number of events by name, including those that weren't written."""
        return self._events

    @property
    def dropped(self) -> int:
        """Number of lines that couldn't be written to the stream."""
        return self._dropped

    def open(self) -> None:
        """Start to receive messages."""
        eliot.add_destinations(self)

    def close(self) -> None:
        """Stop receiving messages; called once, at the end of a process."""
        eliot.remove_destination(self)
        if self._owns_stream:
            self._stream.close()

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write a message as a line, within the rate limit."""
        kind = message.get('message_type', '')
        self._events[kind] += 1
        if self._budget is None:
            self._write(message)
            return
        now = self._clock()
        for dropped, count in self._budget.take_dropped(now=now).items():
            self._report(message, cause='budget', kind=dropped, count=count)
        if self._budget.spend(kind, now=now):
            self._write(message)

    def _write(self, message: Mapping[str, Any]) -> None:
        if not self._write_line(message):
            self._dropped += 1
            self._unreported += 1
        elif self._unreported:
            count = self._unreported
            if self._report(message, cause='stream', count=count):
                self._unreported = 0

    def _report(self, message: Mapping[str, Any], **fields: Any) -> bool:
        """Write a report of dropped lines, with the timestamp of a message."""
        report = {
            'timestamp': message.get('timestamp', 0),
            'message_type': _DROPPED_EVENT,
            'level': LogLevel.warning.value,
        }
        return self._write_line({**report, **fields})

    def _write_line(self, message: Mapping[str, Any]) -> bool:
        try:
            self._stream.write(f'{format_line(message)}\n')
            self._stream.flush()
        except (OSError, ValueError):
            return False
        return True


def configure_logs(settings: LogSettings) -> LogOutput:
    """Start to write the events of this process.

    Args:
        settings: Minimum level, and the file; without one, events are
            written to standard error.

    Returns:
        The open output.

    Raises:
        OSError: The file can't be opened.
    """
    if settings.path is None:
        output = LogOutput(sys.stderr)
    else:
        stream = settings.path.open('a', encoding='utf-8')
        output = LogOutput(stream, owns_stream=True)
    level_filter.allow_from(settings.level)
    output.open()
    return output


def log_to_standard_output() -> LogOutput:
    """Start to write events to standard output, without ever blocking.

    The rate of lines is limited, and lines that the reader has no room for
    are dropped.

    Returns:
        The open output.
    """
    stream = PipeStream(sys.stdout.fileno())
    output = LogOutput(stream, budget=LineBudget())
    output.open()
    return output
