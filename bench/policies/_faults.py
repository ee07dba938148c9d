"""Faults brought about under load, and what they cost."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import chain
from typing import Final

from bench.policies._cluster import (
    ENDPOINTS,
    INSTANCES,
    SLOTS,
    Cluster,
    JobRun,
    endpoints,
)
from bench.policies._load import Stream, arrivals
from bench.policies._measure import SEEDS, percentile

#: When the fault comes, and when the view or the records follow, seconds.
_FAULT_AT: Final = 4
_NOTICED_AT: Final = 4.5
_HEALED_AT: Final = 6
_ARRIVAL_SECONDS: Final = 8
_END_SECONDS: Final = 24
_TASKS: Final = 10
_LOAD: Final = 0.7
_BURST: Final = 10
_BURST_SECONDS: Final = 0.2
_WAVE_TASKS: Final = 1800
_WAVE_JOBS: Final = 3
_RACK: Final = 8
_LIED_SLOTS: Final = 2

_Fault = Callable[[Cluster], None]
_faults: dict[str, _Fault] = {}


@dataclass(frozen=True, slots=True)
class FaultFigures:
    """What a fault cost the jobs of the instances that went on.

    Args:
        name: The fault.
        before: p99 of response over ideal, of jobs from 1 to 4 s.
        during: The same, of the 2 s from the fault on.
        after: The same, of the 2 s after those.
        refusals: Starts that endpoints refused.
        wasted: Part of the messages that were of no use.
        unfinished: Jobs of living instances that did not end.
        twice: Tasks that were started more than once.
    """

    name: str
    before: float
    during: float
    after: float
    refusals: int
    wasted: float
    unfinished: int
    twice: int


def fault_names() -> tuple[str, ...]:
    """Give the names of all faults."""
    return tuple(_faults)


def _fault(name: str) -> Callable[[_Fault], _Fault]:
    def decorator(fault: _Fault) -> _Fault:
        _faults[name] = fault
        return fault

    return decorator


@_fault('none')
def _none(cluster: Cluster) -> None:
    """Let all go well."""


@_fault('instance killed')
def _killed(cluster: Cluster) -> None:
    _lose(cluster, 1)


@_fault('instance paused for 2 s')
def _paused(cluster: Cluster) -> None:
    _lose(cluster, 1)
    cluster.at(_HEALED_AT, partial(_resume, cluster))


@_fault('all instances of a zone gone')
def _zone(cluster: Cluster) -> None:
    _lose(cluster, INSTANCES // 3)


@_fault('rack of endpoints gone')
def _rack(cluster: Cluster) -> None:
    for record in endpoints()[:_RACK]:
        cluster.at(_FAULT_AT, partial(cluster.gone.add, record.endpoint))
        forget = partial(cluster.forget, record.endpoint)
        cluster.at(_NOTICED_AT, forget)


@_fault('endpoint lies about its slots')
def _liar(cluster: Cluster) -> None:
    lie = partial(
        cluster.room.__setitem__,
        endpoints()[0].endpoint,
        _LIED_SLOTS,
    )
    cluster.at(_FAULT_AT, lie)


@_fault('wave of 5,400 tasks cancelled')
def _wave(cluster: Cluster) -> None:
    cluster.at(_FAULT_AT, partial(_cancel_wave, cluster))


@_fault('tenfold burst for 0.2 s')
def _burst(cluster: Cluster) -> None:
    """The jobs are among the arrivals."""


@_fault('tenfold burst and instance killed')
def _burst_and_killed(cluster: Cluster) -> None:
    _lose(cluster, 1)


def measure_fault(name: str) -> FaultFigures:
    """Run a fault with all seeds."""
    runs = [_run(name, seed) for seed in SEEDS]
    jobs = list(chain.from_iterable(map(_judged, runs)))
    sent: Counter[str] = Counter()
    waste: Counter[str] = Counter()
    for run in runs:
        sent.update(run.messages)
        waste.update(run.waste)
    return FaultFigures(
        name,
        _p99(jobs, 1, _FAULT_AT),
        _p99(jobs, _FAULT_AT, _FAULT_AT + 2),
        _p99(jobs, _FAULT_AT + 2, _FAULT_AT + 4),
        sent['refusal'],
        waste.total() / sent.total(),
        sum(job.done_at is None for job in jobs),
        sum(map(_started_twice, runs)),
    )


def _started_twice(cluster: Cluster) -> int:
    return sum(job.twice for job in cluster.jobs.values())


def _run(name: str, seed: int) -> Cluster:
    streams = [Stream('tkemali', _TASKS, _LOAD)]
    slots = ENDPOINTS * SLOTS
    jobs = arrivals(
        streams,
        slots=slots,
        instances=INSTANCES,
        seconds=_ARRIVAL_SECONDS,
        seed=seed,
    )
    if 'burst' in name:
        burst = arrivals(
            [Stream('tkemali', _TASKS, _LOAD * _BURST)],
            slots=slots,
            instances=INSTANCES,
            seconds=_FAULT_AT + _BURST_SECONDS,
            seed=-seed,
        )
        late = [job for job in burst if job.at >= _FAULT_AT]
        jobs = tuple(sorted((*jobs, *late), key=lambda job: job.at))
    cluster = Cluster('leases', seed=seed, terms={})
    _faults[name](cluster)
    cluster.run(jobs, _END_SECONDS)
    return cluster


def _lose(cluster: Cluster, count: int) -> None:
    """Stop instances of one zone, which the others notice later."""
    zone = cluster.peers[0].zone
    lost = [peer for peer in cluster.peers if peer.zone == zone][:count]
    names = [peer.instance for peer in lost]
    cluster.at(_FAULT_AT, partial(cluster.down.update, names))
    cluster.at(_NOTICED_AT, cluster.agree)


def _resume(cluster: Cluster) -> None:
    cluster.down.clear()
    cluster.agree()


def _cancel_wave(cluster: Cluster) -> None:
    wave = arrivals(
        [Stream('tkemali', _WAVE_TASKS, 1)],
        slots=ENDPOINTS * SLOTS,
        instances=INSTANCES,
        seconds=60,
        seed=0,
    )
    for number, job in enumerate(wave[:_WAVE_JOBS]):
        cluster.submit(f'wave{number}', job)
    cluster.at(cluster.now + _BURST_SECONDS, cluster.cancel_all)


def _judged(cluster: Cluster) -> list[JobRun]:
    """Give the jobs that were not accepted by a lost instance."""
    lost = {
        number
        for number, peer in enumerate(cluster.peers)
        if peer.instance in cluster.lost
    }
    return [
        job
        for job in cluster.jobs.values()
        if job.arrival.instance not in lost and not job.cancelled
    ]


def _p99(jobs: list[JobRun], begin: float, end: float) -> float:
    ratios = [
        job.ratio
        for job in jobs
        if begin <= job.arrival.at < end and job.ratio is not None
    ]
    return percentile(ratios, 0.99)
