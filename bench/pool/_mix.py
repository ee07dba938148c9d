"""Arrivals: jobs of three kinds, as the users' sheets have them."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bench.pool._world import JobPlan

#: Cores of a task; two tasks fit into an endpoint of 64.
MILLICORES: Final = 27_000
TASKS_OF_ENDPOINT: Final = 2
#: Spread of widths and run times, as sigma of a lognormal distribution.
_SPREAD: Final = 0.4
#: Declared run times are off by as much, up or down.
_DECLARED_OFF: Final = 0.4
#: Least part of a job's value that doesn't grow with its work.
_BASE_VALUE: Final = 0.3
#: Seconds that an objective allows beyond the stretched run time.
_SLACK: Final = 0.06
_STRETCH: Final = 1.6
#: Seconds that a caller waits beyond the run time.
_PATIENCE: Final = 1.5


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of job.

    Args:
        share: Of all jobs, in any unit.
        width: Mean number of tasks.
        seconds: Median run time of a task.
        priority: 0 comes first.
        value: Of a mean job that is in time.
    """

    share: float
    width: int
    seconds: float
    priority: int
    value: float

    @property
    def work(self) -> float:
        """Run time of all tasks of a mean job, in seconds."""
        return self.width * self.seconds


#: Wide jobs of short tasks, jobs of long tasks, and narrow jobs.
KINDS: Final = (
    Kind(34.4, 8, 0.06, 0, 2.91),
    Kind(6.25, 4, 0.9, 2, 16),
    Kind(100, 2, 0.2, 1, 1),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job of the mix.

    Args:
        at: When it comes, in seconds from the start.
        plan: The job.
        value: What an answer in time is worth.
    """

    at: float
    plan: JobPlan
    value: float

    @property
    def work(self) -> float:
        """Run time of all its tasks, in seconds."""
        return self.plan.width * self.plan.seconds

    @property
    def objective(self) -> float:
        """Seconds in which it is in time."""
        return self.plan.seconds * _STRETCH + _SLACK


def arrivals(
    *,
    load: float,
    endpoints: int,
    seconds: float,
    seed: int,
) -> Iterator[Arrival]:
    """Draw the jobs of a run.

    Args:
        load: Their work against what the endpoints can do at most.
        endpoints: How many.
        seconds: For how long jobs come.
        seed: Of the draw.
    """
    chance = random.Random(seed)
    shares = [kind.share for kind in KINDS]
    work = sum(kind.share * kind.work for kind in KINDS) / sum(shares)
    rate = load * endpoints * TASKS_OF_ENDPOINT / work
    moment = chance.expovariate(rate)
    number = 0
    while moment < seconds:
        kind = chance.choices(KINDS, shares)[0]
        yield _draw(kind, moment, number, chance)
        moment += chance.expovariate(rate)
        number += 1


def _draw(
    kind: Kind,
    moment: float,
    number: int,
    chance: random.Random,
) -> Arrival:
    width = max(1, round(kind.width * chance.lognormvariate(0, _SPREAD)))
    seconds = kind.seconds * chance.lognormvariate(0, _SPREAD)
    off = chance.uniform(1 - _DECLARED_OFF, 1 + _DECLARED_OFF)
    plan = JobPlan(
        str(number),
        width,
        seconds,
        millicores=MILLICORES,
        declared=seconds * off,
        patience=_PATIENCE + seconds,
        slack=_SLACK,
        priority=kind.priority,
    )
    share = width * seconds / kind.work
    value = kind.value * (_BASE_VALUE + (1 - _BASE_VALUE) * share)
    return Arrival(moment, plan, value)
