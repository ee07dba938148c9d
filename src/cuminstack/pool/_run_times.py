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
#: Factor from the known one beyond which a sample is far off.  Declared run
#: times are off by up to 40%, but 3% of jobs take seven times as long.
_FAR_FACTOR: Final = 1.5
#: Jobs in a row that are far off, from which the declarations are.  With 3% of
#: long jobs, four in a row occur once in a million.
_FAR_JOBS: Final = 4
#: Run time in seconds that is assumed if none is declared.
_DEFAULT_SECONDS: Final = 0.2


class RunTimeEstimator:
    """Estimates run times of tasks from declared and measured ones."""

    def __init__(self) -> None:
        self._factors: defaultdict[str, float] = defaultdict(lambda: 1.0)
        # A new queue may be declared far off.
        self._far_jobs: defaultdict[str, int] = defaultdict(lambda: _FAR_JOBS)

    def expect(self, queue: str, declared: float) -> float:
        """Return the expected run time of a task, in seconds."""
        return self._factors[queue] * (declared or _DEFAULT_SECONDS)

    def learn(
        self,
        queue: str,
        declared: float,
        seconds: float,
        *,
        is_first: bool = True,
    ) -> None:
        """Record the measured run time of a task.

        Args:
            queue: Name of its queue.
            declared: Its declared run time in seconds; 0 if there is none.
            seconds: Its measured run time in seconds.
            is_first: Whether it is the first task of its step, which stands
                for the others if the whole job is far off.
        """
        factor = seconds / (declared or _DEFAULT_SECONDS)
        known = self._factors[queue]
        near = min(max(factor, known / _FAR_FACTOR), known * _FAR_FACTOR)
        if near == factor:
            self._far_jobs[queue] = 0
        elif is_first:
            self._far_jobs[queue] += 1
        if self._far_jobs[queue] < _FAR_JOBS:
            if near != factor and not is_first:
                return
            factor = near
        bounded = min(max(factor, _MIN_FACTOR), _MAX_FACTOR)
        self._factors[queue] = known + _SMOOTHING_FACTOR * (bounded - known)
