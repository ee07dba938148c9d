"""Seeded arrivals of jobs, with the true run time of each task."""

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

#: Run times are lognormal: median in seconds, sigma, and bounds in seconds.
_MEDIAN_SECONDS: Final = 0.25
_SIGMA: Final = 0.8
_SHORTEST_SECONDS: Final = 0.05
_LONGEST_SECONDS: Final = 6
_MEAN_SAMPLES: Final = 50_000


@dataclass(frozen=True, slots=True)
class Stream:
    """Jobs of one member: tasks a job, and its part of all slot-seconds."""

    member: str
    tasks: int
    load: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job: when it comes, to which instance, and its tasks' run times."""

    at: float
    member: str
    instance: int
    runs: tuple[float, ...]


def run_time(chance: random.Random) -> float:
    """Draw one run time, in seconds."""
    drawn = chance.lognormvariate(math.log(_MEDIAN_SECONDS), _SIGMA)
    return min(max(drawn, _SHORTEST_SECONDS), _LONGEST_SECONDS)


def mean_run_time() -> float:
    """Give the mean run time, in seconds."""
    chance = random.Random(0)
    return sum(run_time(chance) for _ in range(_MEAN_SAMPLES)) / _MEAN_SAMPLES


def arrivals(
    streams: Sequence[Stream],
    *,
    slots: int,
    instances: int,
    seconds: float,
    seed: int,
) -> tuple[Arrival, ...]:
    """Draw the jobs of all streams, in order of arrival."""
    mean = mean_run_time()
    drawn = [
        job
        for number, stream in enumerate(streams)
        for job in _draw(
            stream,
            stream.load * slots / (stream.tasks * mean),
            random.Random(f'{seed}/{number}'),
            instances,
            seconds,
        )
    ]
    return tuple(sorted(drawn, key=lambda job: job.at))


def _draw(
    stream: Stream,
    rate: float,
    chance: random.Random,
    instances: int,
    seconds: float,
) -> Iterator[Arrival]:
    at = chance.expovariate(rate)
    while at < seconds:
        runs = tuple(run_time(chance) for _ in range(stream.tasks))
        instance = chance.randrange(instances)
        yield Arrival(at, stream.member, instance, runs)
        at += chance.expovariate(rate)
