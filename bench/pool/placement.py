"""`python -m bench.pool.placement`: what the placement rules are worth.

Plays the loads of two client accounts on simulated endpoints and prints the
value and the share of jobs in time, by queue and size, and the utilisation.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import fmean
from typing import Final

import fire

from bench.pool._best_plan import best_mean, draw_instance, rule_mean
from bench.pool._site_world import Served, SiteWorld
from bench.pool._sites import SITES, Site
from cuminstack.pool._lookahead import MAX_RESERVATIONS

_MICRO: Final = 1e6
_LATE_VALUE: Final = 0.2
_LATE_SPAN: Final = 3.0
#: Size classes by rank of the demand within a queue.
_SIZES: Final = (('rest', 0, 0.7), ('fifth', 0.7, 0.9), ('tenth', 0.9, 1))
_LOADS: Final = (0.7, 0.85, 0.95, 1.1)


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of a run.

    Args:
        value: Value of the answers against that of all jobs.
        utilisation: Used share of the capacity while jobs arrive.
        in_time: Share of jobs in time, by queue and size.
        useful: Share of jobs answered while useful, by queue and size.
        longest: The 99th percentile of lateness of jobs that were served.
        micros: Processor time of an assignment, in microseconds.
    """

    value: float
    utilisation: float
    in_time: dict[tuple[int, str], float]
    useful: dict[tuple[int, str], float]
    longest: float
    micros: float


def measure(
    site: Site,
    *,
    load: float,
    endpoints: int,
    seconds: float,
    seed: int,
    max_reservations: int = MAX_RESERVATIONS,
) -> Figures:
    """Play a load of an account."""
    world = SiteWorld(
        site,
        endpoints=endpoints,
        seed=seed,
        max_reservations=max_reservations,
    )
    world.play(load=load, seconds=seconds, seed=seed)
    served = tuple(world.served.values())
    capacity = sum(site.capacity(number) for number in range(endpoints))
    late = sorted(each.lateness for each in served if each.took is not None)
    return Figures(
        value=sum(map(_value, served)) / sum(each.job.value for each in served),
        utilisation=world.used_seconds / capacity / seconds,
        in_time=_shares(served, 1),
        useful=_shares(served, _LATE_SPAN),
        longest=late[int(len(late) * 0.99)],
        micros=world.cpu_seconds / world.assigns * _MICRO,
    )


def _value(served: Served) -> float:
    if served.lateness <= 1:
        return served.job.value
    is_late = served.lateness <= _LATE_SPAN
    return served.job.value * _LATE_VALUE if is_late else 0


def _shares(
    served: Iterable[Served], bound: float
) -> dict[tuple[int, str], float]:
    queues: defaultdict[int, list[Served]] = defaultdict(list)
    for answered in served:
        queues[answered.job.queue].append(answered)
    shares: dict[tuple[int, str], float] = {}
    for queue, jobs in sorted(queues.items()):
        jobs.sort(key=_millicores)
        for name, first, last in _SIZES:
            part = jobs[int(len(jobs) * first) : int(len(jobs) * last)]
            within = [job.lateness <= bound for job in part]
            shares[queue, name] = fmean(within) if within else 1
    return shares


def _millicores(served: Served) -> int:
    return served.job.millicores


def report(
    *,
    endpoints: int = 120,
    seconds: float = 11,
    seeds: int = 3,
    loads: Sequence[float] = _LOADS,
    sites: Sequence[str] = ('scarce', 'uneven'),
    max_reservations: int = MAX_RESERVATIONS,
) -> None:
    """Play the loads and print the figures, as means over the seeds.

    Args:
        endpoints: Number of endpoints.
        seconds: Time for which jobs arrive.
        seeds: Number of seeds.
        loads: Mean loads.
        sites: Names of the accounts.
        max_reservations: Endpoints that are reserved at a time at most; 0 for
            the rule without look-ahead.
    """
    chosen = [site for site in SITES if site.name in sites]
    for site in chosen:
        for load in loads:
            runs = [
                measure(
                    site,
                    load=load,
                    endpoints=endpoints,
                    seconds=seconds,
                    seed=seed,
                    max_reservations=max_reservations,
                )
                for seed in range(1, seeds + 1)
            ]
            _show(site, load, runs)


def _show(site: Site, load: float, runs: Sequence[Figures]) -> None:
    value = fmean(run.value for run in runs)
    used = fmean(run.utilisation for run in runs)
    longest = fmean(run.longest for run in runs)
    micros = fmean(run.micros for run in runs)
    print(
        f'{site.name} {load}: value {value:.3f} used {used:.3f} '
        f'p99 {longest:.2f} {micros:.0f} us'
    )
    for title, tables in (
        ('in time', [run.in_time for run in runs]),
        ('useful', [run.useful for run in runs]),
    ):
        cells = []
        for queue, name in sorted(tables[0]):
            share = fmean(table[queue, name] for table in tables)
            cells.append(f'{queue}/{name}={share:.2f}')
        print(f'   {title}:', *cells)


def compare_with_best(*, instances: int = 10) -> None:
    """Print mean times to the answer of small instances and the best plan.

    Args:
        instances: Number of instances, drawn from the seeds 1, 2 and so on.
    """
    for site in SITES:
        drawn = [
            draw_instance(site, seed=seed) for seed in range(1, instances + 1)
        ]
        best = fmean(best_mean(site, jobs) for jobs in drawn)
        print(f'{site.name}: best {best:.3f} s')
        for bound in (0, MAX_RESERVATIONS):
            means = [
                rule_mean(site, jobs, max_reservations=bound) for jobs in drawn
            ]
            print(f'  {bound} reservations: {fmean(means):.3f} s')


if __name__ == '__main__':
    fire.Fire({'report': report, 'best': compare_with_best})
