"""One case: a policy, a load and a job size, over several seeds."""

import math
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from bench.policies._bound import central_responses
from bench.policies._cluster import (
    ENDPOINTS,
    HOP_SECONDS,
    INSTANCES,
    SLOTS,
    Cluster,
)
from bench.policies._load import Stream, arrivals
from cuminstack.slots import MemberTerms, Preference

MEMBERS: Final = ('tkemali', 'haslinger')
SEEDS: Final = (1, 2, 3, 4, 5)
#: Time during which jobs arrive, and until the last is given up, seconds.
ARRIVAL_SECONDS: Final = 6
DRAIN_SECONDS: Final = 30
#: Jobs of the first moments meet an empty system and don't count, seconds.
WARM_UP_SECONDS: Final = 1


@dataclass(frozen=True, slots=True)
class Case:
    """What is run.

    Args:
        policy: Its registered name.
        load: Slot-seconds that arrive, over those there are.
        tasks: Tasks of each job.
        preference: Of both members.
    """

    policy: str
    load: float
    tasks: int
    preference: Preference = Preference.response

    @property
    def name(self) -> str:
        """Name the policy, and the preference if it isn't the usual one."""
        if self.preference is Preference.response:
            return self.policy
        return ', '.join((self.policy, self.preference.value))

    @property
    def label(self) -> str:
        """Name the load and the size of the jobs."""
        percent = round(self.load * 100)
        return f'{percent}% of {self.tasks}'


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Response time over the ideal."""

    p50: float
    p90: float
    p99: float


@dataclass(frozen=True, slots=True)
class Figures:
    """What a case gave, over all seeds.

    Args:
        case: What was run.
        jobs: Jobs that count.
        unfinished: Jobs that had not ended when the run did.
        response: Of the policy.
        bound: Of the central queue on the same arrivals.
        messages: By kind, for each task.
        waste: By cause, for each message.
        twice: Tasks that were started more than once.
        seconds: What the case took to run.
    """

    case: Case
    jobs: int
    unfinished: int
    response: Percentiles
    bound: Percentiles
    messages: dict[str, float]
    waste: dict[str, float]
    twice: int
    seconds: float

    @property
    def messages_per_task(self) -> float:
        """Messages of all kinds for each task."""
        return sum(self.messages.values())

    @property
    def wasted(self) -> float:
        """Part of the messages that were of no use."""
        return sum(self.waste.values())


@dataclass(slots=True)
class _Sums:
    """Counts that grow from seed to seed."""

    ratios: list[float] = field(default_factory=list)
    bounds: list[float] = field(default_factory=list)
    messages: Counter[str] = field(default_factory=Counter)
    waste: Counter[str] = field(default_factory=Counter)
    tasks: int = 0
    unfinished: int = 0
    twice: int = 0


def percentile(ratios: Iterable[float], part: float) -> float:
    """Give the value that a part of all don't exceed."""
    ordered = sorted(ratios)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def percentiles(ratios: Sequence[float]) -> Percentiles:
    """Give the usual percentiles."""
    return Percentiles(
        percentile(ratios, 0.5),
        percentile(ratios, 0.9),
        percentile(ratios, 0.99),
    )


def measure(case: Case) -> Figures:
    """Run a case with all seeds."""
    began = time.perf_counter()
    sums = _Sums()
    for seed in SEEDS:
        _run(case, seed, sums)
    sent = sum(sums.messages.values())
    return Figures(
        case,
        len(sums.ratios),
        sums.unfinished,
        percentiles(sums.ratios),
        percentiles(sums.bounds),
        _parts(sums.messages, sums.tasks),
        _parts(sums.waste, sent),
        sums.twice,
        time.perf_counter() - began,
    )


def _parts(counts: Counter[str], whole: int) -> dict[str, float]:
    return {name: count / whole for name, count in sorted(counts.items())}


def _run(case: Case, seed: int, sums: _Sums) -> None:
    streams = [
        Stream(member, case.tasks, case.load / len(MEMBERS))
        for member in MEMBERS
    ]
    slots = ENDPOINTS * SLOTS
    jobs = arrivals(
        streams,
        slots=slots,
        instances=INSTANCES,
        seconds=ARRIVAL_SECONDS,
        seed=seed,
    )
    terms = {
        member: MemberTerms(preference=case.preference) for member in MEMBERS
    }
    cluster = Cluster(case.policy, seed=seed, terms=terms)
    cluster.run(jobs, ARRIVAL_SECONDS + DRAIN_SECONDS)
    bounds = central_responses(jobs, slots=slots, hop=HOP_SECONDS)
    for job, bound in zip(cluster.jobs.values(), bounds, strict=True):
        sums.tasks += len(job.arrival.runs)
        sums.twice += job.twice
        sums.unfinished += job.done_at is None
        if job.arrival.at >= WARM_UP_SECONDS and job.ratio is not None:
            sums.ratios.append(job.ratio)
            sums.bounds.append(bound)
    sums.messages.update(cluster.messages)
    sums.waste.update(cluster.waste)
