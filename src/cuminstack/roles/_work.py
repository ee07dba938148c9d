"""What a process has done, second by second: for its log and its metrics."""

import enum
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final

from cuminstack.links import Mesh
from cuminstack.logs import log_event
from cuminstack.settings import LogLevel

#: Seconds between two lines of the log.
_LINE_SECONDS: Final = 1.0
#: Digits of seconds after the point, in the log.
_DIGITS: Final = 3


class Work(enum.Enum):
    """Kinds of work that grow with the load."""

    starts_decided = 'starts_decided'
    holds_decided = 'holds_decided'
    stops_decided = 'stops_decided'
    orders_carried = 'orders_carried'
    answers_taken = 'answers_taken'
    frames_sent = 'frames_sent'
    frames_received = 'frames_received'


class WorkLog:
    """Counts the work of a process, and logs it each second.

    Args:
        mesh: Links of the process.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._counts: Counter[Work] = Counter()
        self._logged: Counter[Work] = Counter()
        self._turned_at: float | None = None
        self._logged_at: float | None = None
        self._latest: float = 0

    @property
    def totals(self) -> Mapping[str, float]:
        """How much of each kind was done since the start."""
        return {work.value: count for work, count in self._read().items()}

    def add(self, work: Work, number: int = 1) -> None:
        """Take that work was done."""
        self._counts[work] += number

    def turn(self, pause: float, *, now: float) -> None:
        """Take a turn of the clockwork; log what was done if it is time.

        Args:
            pause: Seconds that were planned since the last turn.
            now: The present time.
        """
        if self._turned_at is not None:
            late = now - self._turned_at - pause
            self._latest = max(self._latest, late)
        self._turned_at = now
        if self._logged_at is None:
            self._logged_at = now
        if now - self._logged_at >= _LINE_SECONDS:
            self._log(now - self._logged_at)
            self._logged_at = now

    def _log(self, seconds: float) -> None:
        totals = self._read()
        done: dict[str, Any] = {
            work.value: totals[work] - self._logged[work] for work in Work
        }
        log_event(
            'instance.work',
            LogLevel.info,
            seconds=round(seconds, _DIGITS),
            latest_turn=round(self._latest, _DIGITS),
            **done,
        )
        self._logged = totals
        self._latest = 0

    def _read(self) -> Counter[Work]:
        counts = Counter(self._counts)
        counts[Work.frames_sent] = self._mesh.frames_sent
        counts[Work.frames_received] = self._mesh.frames_received
        return counts
