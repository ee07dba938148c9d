"""`python -m bench.pool.usefulness`: which jobs are answered in time.

Plays three queues like those of the second account of docs/plan-26.2.md on
simulated endpoints of two sizes, at several loads and with a stop of the
dispatcher, and prints what became of the jobs, by queue and by size.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from itertools import product
from math import pi, sin
from statistics import fmean
from types import SimpleNamespace
from typing import Any, Final

import fire

from bench.pool._world import JobPlan, PoolWorld
from cuminstack.pool import JobState

_ENDPOINTS: Final = 24
_MILLICORES: Final = 64_000
#: Every third endpoint has this many.
_LARGE_MILLICORES: Final = 96_000
_LARGE_SHARE: Final = 3
_TASK_MILLICORES: Final = 32_000
#: Seconds in which jobs arrive, and until the last ones have ended.
_SECONDS: Final = 14.0
_AFTER: Final = 8.0
#: Jobs that arrive earlier don't count, as run times are still unknown.
_WARM_UP: Final = 2.0
_STOP_AT: Final = 5.0
_STOP_SECONDS: Final = 0.55
#: Seconds for which runs of the stopped dispatcher may go on.
_HELD_SECONDS: Final = 0.65
_WAVE_SHARE: Final = 0.15
_WAVE_SECONDS: Final = 11.0
_LONG_SHARE: Final = 0.03
_LONG_FACTOR: Final = 7.0
_STRETCH: Final = 1.6
_SLACK: Final = 0.062
_LATE_VALUE: Final = 0.2
_LATE_SPAN: Final = 3.0
_PATIENCE: Final = 12.0
_BASE_VALUE: Final = 0.3
_LARGEST: Final = 0.9
_LARGE: Final = 0.7
_OUTCOMES: Final = ('in time', 'late', 'useless', 'refused', 'ended', 'held')


@dataclass(frozen=True, slots=True)
class _Queue:
    name: str
    share: float
    width: int
    seconds: tuple[float, float]
    priority: int
    value: float

    @property
    def work(self) -> float:
        return self.width * sum(self.seconds) / 2


_QUEUES: Final = (
    _Queue('urgent', 34.4, 8, (0.05, 0.06), 0, 2.91),
    _Queue('small', 100, 2, (0.17, 0.2), 1, 1),
    _Queue('long', 6.25, 4, (0.76, 0.9), 2, 16),
)


@dataclass(frozen=True, slots=True)
class Job:
    """A job that arrives.

    Args:
        at: When it arrives, in seconds from the start.
        plan: The job.
        queue: Its queue.
        value: Value of an answer in time.
    """

    at: float
    plan: JobPlan
    queue: _Queue
    value: float

    @property
    def size(self) -> float:
        """Its work in millicore-seconds, without the factor of long jobs."""
        return self.plan.width * self.plan.declared * self.plan.millicores

    @property
    def objective(self) -> float:
        """Seconds in which it is in time."""
        return self.plan.seconds * _STRETCH + _SLACK


@dataclass(frozen=True, slots=True)
class Case:
    """A play.

    Args:
        load: Work against the capacity of all endpoints.
        stop: Whether the dispatcher stops for a while.
        speeds: Factors on the run times at the endpoints, in turn.
        seed: Seed of the draws.
        order: Registered name of the order of waiting jobs.
    """

    load: float
    stop: bool
    speeds: tuple[float, ...]
    seed: int
    order: str


def _draw_jobs(case: Case, world: PoolWorld) -> Iterator[Job]:
    chance = random.Random(case.seed)
    shares = [queue.share for queue in _QUEUES]
    work = sum(queue.share * queue.work for queue in _QUEUES) / sum(shares)
    work *= 1 + _LONG_SHARE * (_LONG_FACTOR - 1)
    capacity = sum(
        worker.millicores / worker.faults.slow
        for worker in world.workers.values()
    )
    rate = case.load * capacity / _TASK_MILLICORES / work
    off = {queue.name: chance.uniform(0.6, 1.4) for queue in _QUEUES}
    most = rate * (1 + _WAVE_SHARE)
    moment = chance.expovariate(most)
    number = 0
    while moment < _SECONDS:
        wave = sin(2 * pi * moment / _WAVE_SECONDS)
        if chance.random() * most < rate * (1 + _WAVE_SHARE * wave):
            queue = chance.choices(_QUEUES, shares)[0]
            yield _draw(queue, moment, number, off[queue.name], chance)
            number += 1
        moment += chance.expovariate(most)


def _draw(
    queue: _Queue,
    moment: float,
    number: int,
    off: float,
    chance: random.Random,
) -> Job:
    width = max(1, round(queue.width * chance.lognormvariate(0, 0.4)))
    seconds = chance.uniform(*queue.seconds)
    factor = _LONG_FACTOR if chance.random() < _LONG_SHARE else 1
    millicores = round(_TASK_MILLICORES * chance.uniform(0.8, 1.2))
    plan = JobPlan(
        str(number),
        width,
        seconds * factor,
        millicores=millicores,
        declared=seconds * off,
        patience=_PATIENCE,
        slack=_SLACK,
        priority=queue.priority,
        queue=queue.name,
    )
    share = width * seconds / queue.work
    value = queue.value * (_BASE_VALUE + (1 - _BASE_VALUE) * share)
    return Job(moment, plan, queue, value)


class _StoppedDispatcher(SimpleNamespace):
    """A dispatcher that doesn't react to anything."""

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **kwargs: ()


class _Play:
    """A play of a case."""

    def __init__(self, case: Case) -> None:
        self.world = PoolWorld(
            workers=_ENDPOINTS,
            millicores=_MILLICORES,
            seed=case.seed,
            order=case.order,
        )
        for number, worker in enumerate(self.world.workers.values()):
            if not number % _LARGE_SHARE:
                worker.millicores = _LARGE_MILLICORES
            worker.faults.slow = case.speeds[number % len(case.speeds)]
        self.world.run_for(1.5)
        self.jobs = tuple(_draw_jobs(case, self.world))
        self._unsent: list[JobPlan] = []
        for job in self.jobs:
            self.world.after(job.at, partial(self._submit, job.plan))
        if case.stop:
            self.world.after(_STOP_AT, self._stop)
        self.world.run_for(_SECONDS + _AFTER)

    def outcome(self, job: Job) -> str:
        key = job.plan.key
        result = self.world.results.get(key)
        if result is None:
            return 'held'
        if result.state is None:
            return 'refused'
        if result.state is not JobState.completed:
            return 'ended'
        span = (result.at - self.world.submitted[key]) / job.objective
        if span > _LATE_SPAN:
            return 'useless'
        return 'late' if span > 1 else 'in time'

    def _submit(self, plan: JobPlan) -> None:
        if isinstance(self.world.dispatcher, _StoppedDispatcher):
            self.world.submitted[plan.key] = self.world.now
            self._unsent.append(plan)
        else:
            self.world.submit(plan)

    def _stop(self) -> None:
        self.world.dispatcher = _StoppedDispatcher()  # type: ignore[assignment]
        self.world.after(_STOP_SECONDS, self._succeed)

    def _succeed(self) -> None:
        unsent = {plan.key for plan in self._unsent}
        sent = tuple(self.world.submitted)
        self.world.lead(term=2)
        for plan in tuple(self.world.plans.values()):
            if plan.key in sent and plan.key not in self.world.results:
                self.world.submit(plan, held=_HELD_SECONDS)
        for plan in self._unsent:
            assert plan.key in unsent
            self.world.submit(plan)


@dataclass(frozen=True, slots=True)
class Found:
    """Result of a play.

    Args:
        value: Value of the answers against the value of all jobs in time.
        outcomes: Number of jobs by queue, size and outcome.
        delays: Mean seconds until jobs without a result were answered, by
            outcome.
    """

    value: float
    outcomes: dict[tuple[str, str], Counter[str]]
    delays: dict[str, float]


def measure(case: Case) -> Found:
    """Play a case."""
    play = _Play(case)
    play.world.check()
    jobs = [job for job in play.jobs if job.at >= _WARM_UP]
    worth = {'in time': 1.0, 'late': _LATE_VALUE}
    value = sum(job.value * worth.get(play.outcome(job), 0) for job in jobs)
    return Found(
        value / sum(job.value for job in jobs),
        _count(play, jobs),
        _mean_delays(play, jobs),
    )


def _count(
    play: _Play, jobs: Sequence[Job]
) -> dict[tuple[str, str], Counter[str]]:
    outcomes: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for queue in _QUEUES:
        own = [job for job in jobs if job.queue is queue]
        own.sort(key=lambda job: job.size)
        for place, job in enumerate(own):
            size = _size_class(place / len(own))
            outcomes[queue.name, size][play.outcome(job)] += 1
    return dict(outcomes)


def _size_class(rank: float) -> str:
    if rank < _LARGE:
        return 'rest'
    return 'largest' if rank >= _LARGEST else 'large'


def _mean_delays(play: _Play, jobs: Sequence[Job]) -> dict[str, float]:
    """Return the mean seconds until jobs that didn't complete were answered."""
    delays: defaultdict[str, list[float]] = defaultdict(list)
    for job in jobs:
        result = play.world.results.get(job.plan.key)
        if result is not None and result.state is not JobState.completed:
            waited = result.at - play.world.submitted[job.plan.key]
            delays[play.outcome(job)].append(waited)
    return {name: fmean(each) for name, each in delays.items()}


def report(
    *,
    seeds: int = 4,
    loads: tuple[float, ...] = (0.7, 0.95, 1.2),
    speeds: tuple[float, ...] = (1.0,),
    stops: tuple[bool, ...] = (False, True),
    order: str = 'useful-first',
    short: bool = False,
    processes: int = 2,
) -> None:
    """Play all cases and print the shares of outcomes.

    Args:
        seeds: Plays of each case.
        loads: Loads to play.
        speeds: Factors on the run times at the endpoints, in turn.
        stops: Whether the dispatcher stops for a while, for each play.
        order: Registered name of the order of waiting jobs.
        short: Whether to leave out the table by queue and size.
        processes: Plays at a time.
    """
    for load, stop in product(loads, stops):
        cases = [
            Case(load, stop, speeds, seed, order)
            for seed in range(1, seeds + 1)
        ]
        with ProcessPoolExecutor(processes) as pool:
            found = list(pool.map(measure, cases))
        _print(load, found, stop=stop, short=short)


def _print(load: float, found: list[Found], *, stop: bool, short: bool) -> None:
    values = [each.value for each in found]
    spread = ' '.join(format(value, '.3f') for value in values)
    print(f'load {load}, stop {stop}: value {fmean(values):.3f} ({spread})')
    table: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    for play in found:
        for place, counts in play.outcomes.items():
            table[place].update(counts)
            table[place[0], 'all'].update(counts)
            table['', 'all'].update(counts)
    for place in (('', 'all'),) if short else sorted(table):
        print(' ', *place, _shares(table[place]))
    for name in _OUTCOMES:
        delays = [each.delays[name] for each in found if name in each.delays]
        if delays:
            print(f'  seconds until {name}: {fmean(delays):.3f}')


def _shares(counts: Counter[str]) -> str:
    total = counts.total()
    shares = [
        f'{name} {share:.3f}'
        for name, share in zip(
            _OUTCOMES,
            (counts[each] / total for each in _OUTCOMES),
            strict=True,
        )
    ]
    return ', '.join((*shares, f'{total} jobs'))


if __name__ == '__main__':
    fire.Fire(report)
