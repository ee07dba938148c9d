"""Bounds how many lines of each kind of event are written."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

#: Lines a second of one kind in the long run: a line takes about 50 µs, so
#: that five kinds at their bound take 1% of a core.
LINES_PER_SECOND: Final = 40.0
#: Lines of one kind at once, so that a short incident is logged whole.
BURST_LINES: Final = 200.0
#: Seconds between two reports of what was left out.
_REPORT_SECONDS: Final = 1.0


@dataclass(slots=True)
class _Allowance:
    left: float
    filled_at: float


class LineBudget:
    """A token bucket for each kind of event.

    Args:
        per_second: Lines of one kind a second in the long run.
        burst: Lines of one kind at once.
    """

    def __init__(
        self,
        *,
        per_second: float = LINES_PER_SECOND,
        burst: float = BURST_LINES,
    ) -> None:
        self._per_second = per_second
        self._burst = burst
        self._allowances: dict[str, _Allowance] = {}
        self._dropped: Counter[str] = Counter()
        self._reported_at = float('-inf')

    def spend(self, kind: str, *, now: float) -> bool:
        """Take a line of a kind out of its bucket; count it if none is left.

        Args:
            kind: Name of the event.
            now: The present time, in seconds of a clock that never steps.

        Returns:
            Whether the line may be written.
        """
        found = self._allowances.setdefault(kind, _Allowance(self._burst, now))
        filled = found.left + (now - found.filled_at) * self._per_second
        found.filled_at = now
        found.left = min(self._burst, filled)
        if found.left < 1:
            self._dropped[kind] += 1
            return False
        found.left -= 1
        return True

    def take_dropped(self, *, now: float) -> Mapping[str, int]:
        """Give the lines left out since the last report, once a second.

        Args:
            now: The present time, in seconds.

        Returns:
            Their number by kind; empty if a report isn't due.
        """
        if not self._dropped or now - self._reported_at < _REPORT_SECONDS:
            return {}
        self._reported_at = now
        dropped = self._dropped
        self._dropped = Counter()
        return dropped
