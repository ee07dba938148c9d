"""Rate limit for log lines, by kind of event."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

#: Sustained rate of lines per second and kind.  A line takes about 50 µs, so
#: that five kinds at this rate use 1% of a core.
LINES_PER_SECOND: Final = 40.0
#: Burst of lines per kind, so that a short incident is logged completely.
BURST_LINES: Final = 200.0
#: Minimum interval between two reports of dropped lines, in seconds.
_REPORT_INTERVAL: Final = 1.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float


class LineBudget:
    """Rate limiter with a token bucket per kind of event.

    Args:
        per_second: Sustained rate of lines per second and kind.
        burst: Size of a bucket, in lines.
    """

    def __init__(
        self,
        *,
        per_second: float = LINES_PER_SECOND,
        burst: float = BURST_LINES,
    ) -> None:
        self._per_second = per_second
        self._burst = burst
        self._buckets: dict[str, _Bucket] = {}
        self._dropped: Counter[str] = Counter()
        self._reported_at = float('-inf')

    def spend(self, kind: str, *, now: float) -> bool:
        """Take a token for a line, or count the line as dropped.

        Args:
            kind: Name of the event.
            now: Current time of a monotonic clock, in seconds.

        Returns:
            Whether the line may be written.
        """
        bucket = self._buckets.setdefault(kind, _Bucket(self._burst, now))
        refilled = bucket.tokens + (now - bucket.refilled_at) * self._per_second
        bucket.refilled_at = now
        bucket.tokens = min(self._burst, refilled)
        if bucket.tokens < 1:
            self._dropped[kind] += 1
            return False
        bucket.tokens -= 1
        return True

    def take_dropped(self, *, now: float) -> Mapping[str, int]:
        """Return and reset the counts of dropped lines, once per second.

        Args:
            now: Current time of a monotonic clock, in seconds.

        Returns:
            Number of dropped lines by kind; empty if no report is due.
        """
        if not self._dropped or now - self._reported_at < _REPORT_INTERVAL:
            return {}
        self._reported_at = now
        dropped = self._dropped
        self._dropped = Counter()
        return dropped
