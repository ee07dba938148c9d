"""Best plans of small instances, by exhaustive search.

Each job has one task.  Any plan that starts no task later than it could is
found by placing the tasks in some order, each at its earliest start on some
endpoint, and one of these plans is the best for lateness.
"""

import random
from collections.abc import Iterator, Sequence
from itertools import permutations, product
from typing import Final

from bench.pool._mix import KINDS
from bench.pool._site_world import SiteWorld
from bench.pool._sites import Site, SiteJob

JOBS: Final = 6
ENDPOINTS: Final = 2
_ARRIVAL_SECONDS: Final = 0.2

#: Begin, end and demand of a placed task.
_Span = tuple[float, float, int]


def draw_instance(site: Site, *, seed: int) -> list[SiteJob]:
    """Draw jobs that compete for the endpoints, in order of arrival."""
    rng = random.Random(seed)
    arrivals = sorted(rng.uniform(0, _ARRIVAL_SECONDS) for _ in range(JOBS))
    jobs = []
    for number, at in enumerate(arrivals):
        seconds = rng.uniform(0.05, 0.4)
        jobs.append(
            SiteJob(
                at=at,
                number=number,
                kind=KINDS[0],
                queue=0,
                width=1,
                millicores=round(site.demand * rng.uniform(0.6, 1.5)),
                seconds=seconds,
                declared=seconds,
                value=1,
            )
        )
    return jobs


def best_mean(site: Site, jobs: Sequence[SiteJob]) -> float:
    """Return the lowest mean time to the answer of any plan, in seconds."""
    return min(
        _total(site, order, hosts)
        for order in permutations(jobs)
        for hosts in product(range(ENDPOINTS), repeat=len(jobs))
    ) / len(jobs)


def rule_mean(
    site: Site, jobs: Sequence[SiteJob], *, max_reservations: int
) -> float:
    """Return the mean time to the answer under the placement rule."""
    world = SiteWorld(
        site,
        endpoints=ENDPOINTS,
        seed=1,
        task_spread=0,
        max_reservations=max_reservations,
    )
    world.play_jobs(jobs, seconds=10)
    times = [each.took for each in world.served.values() if each.took]
    assert len(times) == len(jobs)
    return sum(times) / len(times)


def _total(site: Site, order: Sequence[SiteJob], hosts: Sequence[int]) -> float:
    spans: list[list[_Span]] = [[] for _ in range(ENDPOINTS)]
    total: float = 0
    for job, host in zip(order, hosts, strict=True):
        seconds = job.seconds * site.slowness_of(host)
        room = site.capacity(host) - job.millicores
        begin = _earliest(spans[host], job.at, seconds, room)
        spans[host].append((begin, begin + seconds, job.millicores))
        total += begin + seconds - job.at
    return total


def _earliest(
    spans: Sequence[_Span], at: float, seconds: float, room: int
) -> float:
    times = sorted({at, *(end for _, end, _ in spans if end > at)})
    return next(
        begin
        for begin in times
        if all(used <= room for used in _used(spans, begin, begin + seconds))
    )


def _used(spans: Sequence[_Span], begin: float, end: float) -> Iterator[int]:
    """Yield the demand in use at each change within an interval."""
    moments = {begin, *(each[0] for each in spans if begin < each[0] < end)}
    for moment in moments:
        yield sum(each[2] for each in spans if each[0] <= moment < each[1])
