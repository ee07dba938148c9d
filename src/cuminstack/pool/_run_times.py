"""Run times, learned by queue and step.

Declared run times are off by tens of per cent, always by the same factor
for a queue; so what is learned is the factor.
"""

from collections import defaultdict
from typing import Final

#: Weight of the newest sample; about twenty samples are remembered.
_GAIN: Final = 0.05
#: Factors outside of this are faults of endpoints, not of declarations.
_LEAST_FACTOR: Final = 0.1
_MOST_FACTOR: Final = 10.0
#: Run time that is assumed where none is declared, in seconds.
_UNDECLARED: Final = 0.2


class RunTimes:
    """Expected run times of tasks."""

    def __init__(self) -> None:
        self._factors: defaultdict[str, float] = defaultdict(lambda: 1.0)

    def expect(self, queue: str, declared: float) -> float:
        """Give the expected run time of a task, in seconds."""
        return self._factors[queue] * (declared or _UNDECLARED)

    def learn(self, queue: str, declared: float, seconds: float) -> None:
        """Take the run time of a task that is done."""
        factor = seconds / (declared or _UNDECLARED)
        bounded = min(max(factor, _LEAST_FACTOR), _MOST_FACTOR)
        known = self._factors[queue]
        self._factors[queue] = known + _GAIN * (bounded - known)
