"""The last outcomes at one endpoint."""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from statistics import median
from typing import Final

from cuminstack.core import ServiceRef
from cuminstack.health._records import Outcome

#: Age at which an outcome counts no more, in seconds.
_WINDOW_SECONDS: Final = 30
#: Outcomes that are kept.
_KEPT: Final = 64


@dataclass(frozen=True, slots=True)
class Sample:
    """One attempt."""

    at: float
    job: Hashable
    service: ServiceRef
    outcome: Outcome
    seconds: float

    @property
    def bad(self) -> bool:
        """Whether the task failed, or may have."""
        return self.outcome in {Outcome.failed, Outcome.unknown}


class Window:
    """Outcomes at one endpoint that still count."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque(maxlen=_KEPT)

    @property
    def samples(self) -> tuple[Sample, ...]:
        """The outcomes, oldest first."""
        return tuple(self._samples)

    def add(self, sample: Sample) -> None:
        """Take an outcome."""
        self._samples.append(sample)
        while sample.at - self._samples[0].at > _WINDOW_SECONDS:
            self._samples.popleft()

    def clear(self) -> None:
        """Forget all."""
        self._samples.clear()

    def median(self, service: ServiceRef, *, at_least: int) -> float | None:
        """Give the median run time of a service, given enough answers."""
        times = [
            sample.seconds
            for sample in self._samples
            if sample.service == service and sample.outcome is Outcome.answered
        ]
        return median(times) if len(times) >= at_least else None
