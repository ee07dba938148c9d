"""Estimates of task run times by service, from recent measurements."""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from cuminstack.core import ServiceRef

#: Number of recent run times stored per service.
_MAX_SAMPLES: Final = 256
#: Weight of the declared run time in the mean, as a number of samples.
_DECLARED_WEIGHT: Final = 4
#: Run time assumed if none is declared, in seconds.
_DEFAULT_RUN_SECONDS: Final = 0.25
#: Quantile of the recent run times that counts as a short run time.
_SHORT_QUANTILE: Final = 0.1


@dataclass(slots=True)
class _RecentRunTimes:
    """The most recent run times of a service and their sum, in seconds."""

    recent: deque[float] = field(default_factory=deque)
    total: float = 0

    def add(self, seconds: float) -> None:
        """Add a run time, replacing the oldest one if the window is full."""
        self.recent.append(seconds)
        self.total += seconds
        if len(self.recent) > _MAX_SAMPLES:
            self.total -= self.recent.popleft()


class RunTimes:
    """Estimates how long the tasks of each service take.

    A declared run time only serves as an initial estimate.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceRef, _RecentRunTimes] = {}

    def record(self, service: ServiceRef, seconds: float) -> None:
        """Record the run time of an answered task, in seconds."""
        self._services.setdefault(service, _RecentRunTimes()).add(seconds)

    def mean(self, service: ServiceRef, *, declared: float = 0) -> float:
        """Return the mean run time of a service, in seconds.

        The fewer samples there are, the more weight the declared run time
        has.

        Args:
            service: The service.
            declared: Declared run time, in seconds; 0 if none was declared.
        """
        measured = self._services.get(service, _RecentRunTimes())
        prior = declared or _DEFAULT_RUN_SECONDS
        weight = len(measured.recent) + _DECLARED_WEIGHT
        return (measured.total + _DECLARED_WEIGHT * prior) / weight

    def short(self, service: ServiceRef) -> float:
        """Return the run time that one task in ten undercuts, in seconds.

        The result is 0 as long as there are too few samples.
        """
        measured = self._services.get(service, _RecentRunTimes())
        if len(measured.recent) < _DECLARED_WEIGHT:
            return 0
        ordered = sorted(measured.recent)
        return ordered[int(_SHORT_QUANTILE * len(ordered))]
