"""Shares of two members, one of which sends far more than its own."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from bench.policies._cluster import ENDPOINTS, INSTANCES, SLOTS, Cluster
from bench.policies._load import Stream, arrivals
from bench.policies._measure import SEEDS, WARM_UP_SECONDS, percentile
from cuminstack.slots import MemberTerms

#: Time during which jobs arrive, and until the run ends, in seconds.
_ARRIVAL_SECONDS: Final = 4
_END_SECONDS: Final = 8
#: Load of the member that stays within its share, and of the rush.
_WITHIN: Final = 0.35
_RUSH: Final = 5
#: Load of a member that has more to do than its share, but no rush.
_BEYOND: Final = 0.8
_RUSH_TASKS: Final = 50


@dataclass(frozen=True, slots=True)
class RushFigures:
    """A member within its share, alone and beside a rush.

    Args:
        policy: The policy.
        tasks: Tasks of its jobs.
        alone: Its p99 of response over ideal, alone.
        beside: The same beside the rush.
        jain: Index of the slot-seconds over weights, both having more to
            do than they get.
    """

    policy: str
    tasks: int
    alone: float
    beside: float
    jain: float

    @property
    def ratio(self) -> float:
        """What the rush costs the other."""
        return self.beside / self.alone


def rush(policy: str, tasks: int) -> RushFigures:
    """Measure what a member's rush costs the other one."""
    quiet = Stream('haslinger', tasks, _WITHIN)
    loud = Stream('tkemali', _RUSH_TASKS, _RUSH)
    return RushFigures(
        policy,
        tasks,
        _p99(policy, [quiet]),
        _p99(policy, [quiet, loud]),
        _jain(policy, tasks),
    )


def _p99(policy: str, streams: Sequence[Stream]) -> float:
    ratios: list[float] = []
    for seed in SEEDS:
        cluster = _run(policy, streams, seed, {})
        for job in cluster.jobs.values():
            counts = job.arrival.at >= WARM_UP_SECONDS
            if counts and job.arrival.member == streams[0].member:
                ratios.append(job.ratio or float('inf'))
    return percentile(ratios, 0.99)


def _jain(policy: str, tasks: int) -> float:
    streams = [
        Stream('haslinger', tasks, _BEYOND),
        Stream('tkemali', _RUSH_TASKS, _RUSH),
    ]
    weights = {'haslinger': 1, 'tkemali': 2}
    terms = {name: MemberTerms(share=each) for name, each in weights.items()}
    parts = [float(0) for _ in weights]
    for seed in SEEDS:
        cluster = _run(policy, streams, seed, terms, until=_ARRIVAL_SECONDS)
        for place, (name, weight) in enumerate(weights.items()):
            parts[place] += cluster.use[name] / weight
    squares = sum(part * part for part in parts)
    return sum(parts) ** 2 / (len(parts) * squares)


def _run(
    policy: str,
    streams: Sequence[Stream],
    seed: int,
    terms: dict[str, MemberTerms],
    until: float = _END_SECONDS,
) -> Cluster:
    jobs = arrivals(
        streams,
        slots=ENDPOINTS * SLOTS,
        instances=INSTANCES,
        seconds=_ARRIVAL_SECONDS,
        seed=seed,
    )
    cluster = Cluster(policy, seed=seed, terms=terms)
    cluster.run(jobs, until)
    return cluster
