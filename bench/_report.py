"""Figures of runs, as a table and as JSON."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any, Final

import numpy as np
import orjson

from bench._run import Run, Sample
from bench.arrivals import Job
from bench.bound import central_queue

_PERCENTS: Final = (50, 90, 99)
_DIGITS: Final = 3


@dataclass(frozen=True, slots=True)
class Ratios:
    """Percentiles of response time against the ideal.

    Args:
        count: Jobs.
        p50: The median.
        p90: What 90% don't exceed.
        p99: What 99% don't exceed.
    """

    count: int
    p50: float
    p90: float
    p99: float

    @classmethod
    def of(cls, ratios: Sequence[float]) -> 'Ratios':
        """Compute them; not a number where there are no jobs."""
        if not ratios:
            return cls(0, *(float('nan') for _ in _PERCENTS))
        found = np.percentile(np.array(ratios), _PERCENTS)
        return cls(len(ratios), *(round(float(one), _DIGITS) for one in found))

    def __str__(self) -> str:
        return f'{self.p50:.2f} · {self.p90:.2f} · {self.p99:.2f}'


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one run, or of the jobs of one member in it.

    Args:
        name: What was run.
        seed: Seed of the workload.
        outcomes: Jobs by kind of outcome.
        problems: Jobs that were not answered, by HTTP status and problem.
        ratios: Of the complete jobs.
        bound: Of the same jobs in an omniscient central queue.
        messages_per_task: Messages that a task caused.
        messages: The same by kind.
        waste_percent: Wasted messages, in percent of those of tasks.
        waste: Wasted messages by cause.
        violations: Broken promises.
        lag_p99_ms: How late the generator was, in milliseconds.
    """

    name: str
    seed: int
    outcomes: dict[str, int]
    problems: dict[str, int]
    ratios: Ratios
    bound: Ratios
    messages_per_task: float
    messages: dict[str, float]
    waste_percent: float
    waste: dict[str, int]
    violations: tuple[str, ...]
    lag_p99_ms: float


def figures(
    name: str,
    run: Run,
    *,
    slots: int,
    seed: int,
    member: str = '',
) -> Figures:
    """Compute the figures of a run, of one member if given."""
    chosen = [
        sample
        for sample in run.samples
        if member in {'', sample.job.stream.member}
    ]
    starts = max(run.counters.starts, 1)
    per_task = {
        kind: round(count / starts, _DIGITS)
        for kind, count in sorted(run.counters.messages.items())
    }
    lags = [sample.lag for sample in chosen] or [0]
    return Figures(
        name=name,
        seed=seed,
        problems=dict(Counter(one.problem for one in chosen if one.problem)),
        outcomes=dict(Counter(one.told.kind.value for one in chosen)),
        ratios=Ratios.of([one.ratio for one in chosen if one.complete]),
        bound=_bound(run.samples, chosen, slots),
        messages_per_task=round(run.counters.messages_per_task, _DIGITS),
        messages=per_task,
        waste_percent=round(100 * run.counters.waste_share, _DIGITS),
        waste=dict(run.counters.waste),
        violations=tuple(map(str, run.violations)),
        lag_p99_ms=round(1000 * float(np.percentile(lags, 99)), _DIGITS),
    )


def table(rows: Iterable[Figures]) -> str:
    """Lay figures out as a Markdown table."""
    lines = [
        '| run | seed | jobs | not complete | response/ideal p50·p90·p99 '
        '| central queue | messages/task | waste % | violations | lag p99 ms |',
        '|---|---|---|---|---|---|---|---|---|---|',
    ]
    lines.extend(map(_row, rows))
    return '\n'.join(lines)


def as_json(rows: Iterable[Figures]) -> str:
    """Give figures as JSON."""
    return orjson.dumps(
        [asdict(row) for row in rows],
        option=orjson.OPT_INDENT_2,
    ).decode()


def _bound(
    samples: Sequence[Sample],
    chosen: Sequence[Sample],
    slots: int,
) -> Ratios:
    jobs: list[Job] = [sample.job for sample in samples]
    responses = central_queue(jobs, slots=slots)
    by_key = {job.key: took for job, took in zip(jobs, responses, strict=True)}
    return Ratios.of(
        [by_key[one.job.key] / one.job.ideal for one in chosen],
    )


def _row(row: Figures) -> str:
    jobs = sum(row.outcomes.values())
    cells: tuple[Any, ...] = (
        row.name,
        row.seed,
        jobs,
        jobs - row.outcomes.get('complete', 0),
        row.ratios,
        row.bound,
        f'{row.messages_per_task:.2f}',
        f'{row.waste_percent:.2f}',
        len(row.violations),
        f'{row.lag_p99_ms:.1f}',
    )
    line = ' | '.join(map(str, cells))
    return f'| {line} |'
