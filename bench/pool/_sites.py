"""Load of the two client accounts of the release plan 26.2."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bench.pool._mix import KINDS, Kind

#: Spread of widths and run times, as sigma of a lognormal distribution.
_SPREAD: Final = 0.4
#: Tasks of one step differ by as much.
TASK_SPREAD: Final = 0.15
#: Share of the work that takes so many times as long.
_LONG_SHARE: Final = 0.03
_LONG_FACTOR: Final = 7.0
#: Sigma of the demand of a task, as a share of its mean.
_DEMAND_SPREAD: Final = 0.2
#: Largest demand, as a multiple of its mean.
_MAX_DEMAND: Final = 1.5
_MIN_DEMAND: Final = 0.4
#: Every third endpoint is larger by this factor.
_LARGE_EVERY: Final = 3
_LARGE_FACTOR: Final = 1.5
_DECLARED_FACTORS: Final = (0.7, 1.3, 1.1)


@dataclass(frozen=True, slots=True)
class Site:
    """An account.

    Args:
        name: Name of the account.
        demand: Mean millicores of a task.
        millicores: Millicores of a small endpoint.
        slowness: Factors on run times, by endpoint in turn.
        wave: Relative amplitude of the load.
        period: Seconds of one wave.
        has_long_work: Whether some jobs take several times as long.
    """

    name: str
    demand: int
    millicores: int
    slowness: tuple[float, ...]
    wave: float
    period: float
    has_long_work: bool

    def capacity(self, number: int) -> int:
        """Return the millicores of an endpoint."""
        if number % _LARGE_EVERY == _LARGE_EVERY - 1:
            return round(self.millicores * _LARGE_FACTOR)
        return self.millicores

    def slowness_of(self, number: int) -> float:
        """Return the factor on run times at an endpoint."""
        return self.slowness[number // _LARGE_EVERY % len(self.slowness)]


SITES: Final = (
    Site('scarce', 8000, 16000, (0.8, 1, 1.25), 0.15, 11, has_long_work=False),
    Site('uneven', 32000, 64000, (0.6, 1, 1.6), 0.55, 13, has_long_work=True),
    Site('uniform', 8000, 16000, (1,), 0.15, 11, has_long_work=False),
)


@dataclass(frozen=True, slots=True)
class SiteJob:
    """A job of an account.

    Args:
        at: When it arrives, in seconds from the start.
        number: Serial number.
        kind: Its kind.
        queue: Index of its queue.
        width: Number of tasks.
        millicores: Demand of each task.
        seconds: Run time of its tasks at slowness 1.
        declared: Declared run time of a task.
        value: Value of an answer in time.
    """

    at: float
    number: int
    kind: Kind
    queue: int
    width: int
    millicores: int
    seconds: float
    declared: float
    value: float


def site_jobs(
    site: Site, *, load: float, endpoints: int, seconds: float, seed: int
) -> Iterator[SiteJob]:
    """Draw the jobs of an account.

    Args:
        site: The account.
        load: Mean offered work against the capacity of the endpoints, both
            in millicore-seconds at slowness 1.
        endpoints: Number of endpoints.
        seconds: Time for which jobs arrive.
        seed: Seed of the draws.
    """
    rng = random.Random(seed)
    shares = [kind.share for kind in KINDS]
    work = sum(kind.share * kind.work for kind in KINDS) / sum(shares)
    work *= site.demand * math.exp(_SPREAD**2)
    if site.has_long_work:
        work *= 1 + _LONG_SHARE * (_LONG_FACTOR - 1)
    capacity = sum(
        site.capacity(number) / site.slowness_of(number)
        for number in range(endpoints)
    )
    rate = load * capacity / work
    at: float = 0
    number = 0
    while True:
        phase = math.sin(2 * math.pi * at / site.period)
        at += rng.expovariate(rate * (1 + site.wave * phase))
        if at >= seconds:
            return
        queue = rng.choices(range(len(KINDS)), shares)[0]
        yield _draw(site, at, number, queue, rng)
        number += 1


def _draw(
    site: Site, at: float, number: int, queue: int, rng: random.Random
) -> SiteJob:
    kind = KINDS[queue]
    width = max(1, round(kind.width * rng.lognormvariate(0, _SPREAD)))
    seconds = kind.seconds * rng.lognormvariate(0, _SPREAD)
    declared = seconds * _DECLARED_FACTORS[queue]
    share = width * seconds / kind.work
    if site.has_long_work and rng.random() < _LONG_SHARE:
        seconds *= _LONG_FACTOR
    size = min(max(rng.gauss(1, _DEMAND_SPREAD), _MIN_DEMAND), _MAX_DEMAND)
    return SiteJob(
        at=at,
        number=number,
        kind=kind,
        queue=queue,
        width=width,
        millicores=round(site.demand * size),
        seconds=seconds,
        declared=declared,
        value=kind.value * (0.3 + 0.7 * share),
    )
