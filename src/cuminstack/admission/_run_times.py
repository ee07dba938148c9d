"""Run times by service, learned from those seen."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from cuminstack.core import ServiceRef

#: Run times that are kept of a service.
_KEPT: Final = 256
#: Samples that weigh as much as the declared run time.
_DECLARED_WEIGHT: Final = 4
#: Run time where nothing is declared and none was seen, in seconds.
_FIRST_GUESS_SECONDS: Final = 0.25
#: Part of the run times that are shorter than the short one.
_SHORT_PART: Final = 0.1


@dataclass(slots=True)
class _Seen:
    """The last run times of a service, and their sum."""

    recent: deque[float] = field(default_factory=deque)
    total: float = 0

    def add(self, seconds: float) -> None:
        """Take a run time in."""
        self.recent.append(seconds)
        self.total += seconds
        if len(self.recent) > _KEPT:
            self.total -= self.recent.popleft()


class RunTimes:
    """Learns how long tasks take; what is declared is only a first guess."""

    def __init__(self) -> None:
        self._services: dict[ServiceRef, _Seen] = {}

    def record(self, service: ServiceRef, seconds: float) -> None:
        """Take the run time of a task that was answered."""
        self._services.setdefault(service, _Seen()).add(seconds)

    def mean(self, service: ServiceRef, *, declared: float = 0) -> float:
        """Give the mean run time in seconds, leaning on what was declared."""
        seen = self._services.get(service, _Seen())
        guess = declared or _FIRST_GUESS_SECONDS
        weight = len(seen.recent) + _DECLARED_WEIGHT
        return (seen.total + _DECLARED_WEIGHT * guess) / weight

    def short(self, service: ServiceRef) -> float:
        """Give a run time that one in ten undercuts; 0 if few were seen."""
        seen = self._services.get(service, _Seen())
        if len(seen.recent) < _DECLARED_WEIGHT:
            return 0
        ordered = sorted(seen.recent)
        return ordered[int(_SHORT_PART * len(ordered))]
