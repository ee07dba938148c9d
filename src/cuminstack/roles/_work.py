"""Counters of the work of a process, for its log and its metrics."""

import enum
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final

from cuminstack.links import Mesh
from cuminstack.logs import log_event
from cuminstack.settings import LogLevel

#: Seconds between two log records.
_LOG_INTERVAL_SECONDS: Final = 1.0
#: Decimal places of seconds in the log.
_LOG_DIGITS: Final = 3


class WorkKind(enum.Enum):
    """Kinds of work whose amount grows with the load."""

    starts_decided = 'starts_decided'
    holds_decided = 'holds_decided'
    stops_decided = 'stops_decided'
    orders_carried = 'orders_carried'
    answers_taken = 'answers_taken'
    frames_sent = 'frames_sent'
    frames_received = 'frames_received'


class WorkLog:
    """Counts the work of a process and logs it every second.

    Args:
        mesh: Links of the process, which count their frames.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._counts: Counter[WorkKind] = Counter()
        self._logged: Counter[WorkKind] = Counter()
        self._ticked_at: float | None = None
        self._logged_at: float | None = None
        self._max_lateness: float = 0

    @property
    def totals(self) -> Mapping[str, float]:
        """Amount of each kind of work since the start."""
        return {
            kind.value: count for kind, count in self._current_counts().items()
        }

    def add(self, kind: WorkKind, amount: int = 1) -> None:
        """Count work that was done.

        Args:
            kind: Kind of the work.
            amount: How much of it was done.
        """
        self._counts[kind] += amount

    def tick(self, interval: float, *, now: float) -> None:
        """Record a tick, and log the work since the last record when due.

        Args:
            interval: Planned seconds since the last tick.
            now: The present time.
        """
        if self._ticked_at is not None:
            lateness = now - self._ticked_at - interval
            self._max_lateness = max(self._max_lateness, lateness)
        self._ticked_at = now
        if self._logged_at is None:
            self._logged_at = now
        if now - self._logged_at >= _LOG_INTERVAL_SECONDS:
            self._log(now - self._logged_at)
            self._logged_at = now

    def _log(self, seconds: float) -> None:
        totals = self._current_counts()
        done: dict[str, Any] = {
            kind.value: totals[kind] - self._logged[kind] for kind in WorkKind
        }
        log_event(
            'instance.work',
            LogLevel.info,
            seconds=round(seconds, _LOG_DIGITS),
            latest_turn=round(self._max_lateness, _LOG_DIGITS),
            **done,
        )
        self._logged = totals
        self._max_lateness = 0

    def _current_counts(self) -> Counter[WorkKind]:
        counts = Counter(self._counts)
        counts[WorkKind.frames_sent] = self._mesh.frames_sent
        counts[WorkKind.frames_received] = self._mesh.frames_received
        return counts
