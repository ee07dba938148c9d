"""Sliding window of the recent attempts at one endpoint."""

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from statistics import median
from typing import Final

from cuminstack.core import ServiceRef
from cuminstack.health._records import Outcome

#: Age above which a sample is removed, in seconds.
_WINDOW_SECONDS: Final = 30
#: Maximum number of samples in a window.
_MAX_SAMPLES: Final = 64


@dataclass(frozen=True, slots=True)
class Sample:
    """The end of one attempt; `at` and `seconds` are its time and duration."""

    at: float
    job: Hashable
    service: ServiceRef
    outcome: Outcome
    seconds: float

    @property
    def is_failure(self) -> bool:
        """Whether the task failed or may have failed."""
        return self.outcome in {Outcome.failed, Outcome.unknown}


class Window:
    """Recent samples of one endpoint, limited by number and by age."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque(maxlen=_MAX_SAMPLES)

    @property
    def samples(self) -> tuple[Sample, ...]:
        """The samples, oldest first."""
        return tuple(self._samples)

    def add(self, sample: Sample) -> None:
        """Add a sample and remove those that are too old."""
        self._samples.append(sample)
        while sample.at - self._samples[0].at > _WINDOW_SECONDS:
            self._samples.popleft()

    def clear(self) -> None:
        """Remove all samples."""
        self._samples.clear()

    def median(self, service: ServiceRef, *, min_samples: int) -> float | None:
        """Return the median run time of the answered tasks of a service.

        Returns:
            The median in seconds, or None if there are fewer than
            `min_samples` answers.
        """
        run_times = [
            sample.seconds
            for sample in self._samples
            if sample.service == service and sample.outcome is Outcome.answered
        ]
        return median(run_times) if len(run_times) >= min_samples else None
