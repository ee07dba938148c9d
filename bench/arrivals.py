"""Seeded workloads: when jobs arrive, for whom, and how long they run.

Jobs arrive as a Poisson process whatever becomes of those before them (open
loop); all tasks of a job arrive at once.  Run times are lognormal and
clipped.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

#: Median run time of a task, in seconds.
_MEDIAN_SECONDS: Final = 0.25

#: Standard deviation of the logarithm of the run time.
_SPREAD: Final = 0.8

#: Shortest and longest run time, in seconds.
_SHORTEST_SECONDS: Final = 0.05
_LONGEST_SECONDS: Final = 6.0

#: Draws for the mean run time.
_MEAN_DRAWS: Final = 100_000


@dataclass(frozen=True, slots=True)
class Stream:
    """The jobs of one member.

    Args:
        member: The member.
        service: The service that all its jobs are for.
        load: Its share of all slots that its tasks keep busy on average.
        tasks: Tasks of each of its jobs.
    """

    member: str
    service: str
    load: float
    tasks: int = 1


@dataclass(frozen=True, slots=True)
class Job:
    """A job of a workload.

    Args:
        arrival: When it arrives, in seconds from the start.
        stream: Whose it is.
        key: Its idempotency key.
        run_times: Of each task, in seconds.
    """

    arrival: float
    stream: Stream
    key: str
    run_times: tuple[float, ...]

    @property
    def ideal(self) -> float:
        """Give the response time with a free slot for each task at once."""
        return max(self.run_times)


def generate(
    streams: tuple[Stream, ...],
    *,
    slots: int,
    seconds: float,
    seed: int,
) -> tuple[Job, ...]:
    """Draw the jobs of all streams, in the order of their arrival.

    Args:
        streams: The members' jobs.
        slots: Slots of the whole deployment.
        seconds: How long jobs arrive.
        seed: The same seed gives the same jobs.
    """
    jobs = [
        job
        for number, stream in enumerate(streams)
        for job in _jobs(stream, slots, seconds, f'{seed}-{number}')
    ]
    return tuple(sorted(jobs, key=lambda job: job.arrival))


def mean_run_time() -> float:
    """Give the mean run time of a task, in seconds."""
    chance = random.Random(0)
    total = math.fsum(_run_time(chance) for _ in range(_MEAN_DRAWS))
    return total / _MEAN_DRAWS


def _jobs(
    stream: Stream,
    slots: int,
    seconds: float,
    seed: str,
) -> Iterator[Job]:
    chance = random.Random(seed)
    rate = stream.load * slots / mean_run_time() / stream.tasks
    number = 0
    arrival = chance.expovariate(rate)
    while arrival < seconds:
        run_times = tuple(_run_time(chance) for _ in range(stream.tasks))
        yield Job(arrival, stream, f'load-{seed}-{number}', run_times)
        number += 1
        arrival += chance.expovariate(rate)


def _run_time(chance: random.Random) -> float:
    drawn = chance.lognormvariate(math.log(_MEDIAN_SECONDS), _SPREAD)
    return min(_LONGEST_SECONDS, max(_SHORTEST_SECONDS, drawn))
