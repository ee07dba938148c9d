"""Run times of tasks, learned for each queue.

Declared run times are off by tens of per cent, always by the same factor for
a queue, so this factor is learned.
"""

from collections import defaultdict
from typing import Final

#: Weight of the newest sample; the average covers about twenty samples.
_SMOOTHING_FACTOR: Final = 0.05
#: Bounds on the factor; values beyond them come from faults of endpoints, not
#: from wrong declarations.
_MIN_FACTOR: Final = 0.1
_MAX_FACTOR: Final = 10.0
#: Run time in seconds that is assumed if none is declared.
_DEFAULT_SECONDS: Final = 0.2


class RunTimeEstimator:
    """Estimates run times of tasks from declared and measured ones."""

    def __init__(self) -> None:
        self._factors: defaultdict[str, float] = defaultdict(lambda: 1.0)

    def expect(self, queue: str, declared: float) -> float:
        """Return the expected run time of a task, in seconds."""
        return self._factors[queue] * (declared or _DEFAULT_SECONDS)

    def learn(self, queue: str, declared: float, seconds: float) -> None:
        """Record the measured run time of a task, in seconds."""
        factor = seconds / (declared or _DEFAULT_SECONDS)
        bounded = min(max(factor, _MIN_FACTOR), _MAX_FACTOR)
        known = self._factors[queue]
        self._factors[queue] = known + _SMOOTHING_FACTOR * (bounded - known)
