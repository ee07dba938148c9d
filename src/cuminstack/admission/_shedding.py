"""Load shedding based on the lag of the event loop."""

from collections import deque
from typing import Final

from cuminstack.admission._records import RandomSource

#: Lag above which some jobs are refused, in seconds.
_MIN_SHEDDING_LAG_SECONDS: Final = 0.02
#: Lag from which all jobs are refused, in seconds.
_FULL_SHEDDING_LAG_SECONDS: Final = 0.12
#: Consecutive iterations of the event loop that must lag.
_LAG_ITERATIONS: Final = 4


class LoopLag:
    """Measures the sustained lag of the event loop.

    A single late iteration indicates a pause of the process or its machine,
    which refusing jobs would not remedy. Overload shows in the minimum lag of
    several consecutive iterations.
    """

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=_LAG_ITERATIONS)

    @property
    def lag(self) -> float:
        """The minimum lag of the most recent iterations, in seconds."""
        if len(self._recent) < _LAG_ITERATIONS:
            return 0
        return min(self._recent)

    def observe(self, seconds: float) -> None:
        """Record the lag of one iteration of the event loop, in seconds."""
        self._recent.append(seconds)

    def should_shed(self, random_source: RandomSource) -> bool:
        """Return whether to refuse the next job.

        The probability of a refusal grows linearly with the lag.
        """
        excess = self.lag - _MIN_SHEDDING_LAG_SECONDS
        span = _FULL_SHEDDING_LAG_SECONDS - _MIN_SHEDDING_LAG_SECONDS
        return excess > 0 and random_source.random() < excess / span
