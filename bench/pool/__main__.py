"""`python -m bench.pool`: compare the orders in which waiting jobs get room.

Results go to docs/results/pool.md, with a plot beside it.
"""

from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path
from statistics import fmean
from typing import Final

import fire
from matplotlib.figure import Figure

from bench.pool._measure import (
    ENDPOINTS,
    SECONDS,
    Case,
    Worth,
    fault_names,
    measure,
)
from cuminstack.pool import order_names

_LOADS: Final = (0.5, 0.7, 0.9, 1.1, 1.3)
_SEEDS: Final = 5
_RESULTS: Final = Path(__file__).parents[2] / 'docs' / 'results'
_CHOSEN: Final = 'useful-first'
_INCHES: Final = (10, 3.2)

Table = Mapping[tuple[str, str, float], Worth]


def compare(*, processes: int = 2) -> None:
    """Play all orders under all loads and faults, and write the page.

    Args:
        processes: Runs at a time.
    """
    cases = [
        Case(order, fault, load, seed)
        for order, fault, load, seed in product(
            order_names(),
            fault_names(),
            _LOADS,
            range(1, _SEEDS + 1),
        )
    ]
    with ProcessPoolExecutor(processes) as pool:
        found = dict(zip(cases, pool.map(measure, cases), strict=True))
    table = {
        place: _mean(place, found)
        for place in product(order_names(), fault_names(), _LOADS)
    }
    _RESULTS.joinpath('pool.md').write_text(_page(table), encoding='utf-8')
    _plot(table, _RESULTS / 'pool.png')


def _mean(
    place: tuple[str, str, float],
    found: Mapping[Case, Worth],
) -> Worth:
    runs = [found[Case(*place, seed)] for seed in range(1, _SEEDS + 1)]
    return Worth(
        fmean(run.earned for run in runs),
        fmean(run.bound for run in runs),
    )


def _page(table: Table) -> str:
    head = ' | '.join(format(load, '.0%') for load in _LOADS)
    lines = [
        '# Orders of waiting jobs, measured',
        '',
        'Written by `python -m bench.pool`; edit nothing here by hand.',
        '',
        f'One dispatcher, {ENDPOINTS} endpoints for two tasks each, without a',
        f'network; {SECONDS:.0f} s of wide jobs of short tasks, jobs of long',
        f'tasks and narrow ones; means of {_SEEDS} seeds. Value earned against',
        'value owed: an answer in time counts whole, a late one a fifth, up to',
        'three times its objective. The bound fills the room of the run and',
        'after it with what is worth the most for its work, without the fault',
        f'and without losing any room. In use: `{_CHOSEN}`.',
        '',
        '![value earned by load](pool.png)',
    ]
    for name in fault_names():
        lines += ['', f'## Fault: {name}', '', f'| order | {head} |']
        rule = '---|' * len(_LOADS)
        lines.append(f'|---|{rule}')
        for order in order_names():
            runs = [table[order, name, load] for load in _LOADS]
            lines.append(_row(order, [run.earned for run in runs]))
        runs = [table[_CHOSEN, name, load] for load in _LOADS]
        lines.append(_row('bound', [run.bound for run in runs]))
    return '\n'.join((*lines, ''))


def _row(name: str, worths: Sequence[float]) -> str:
    cells = ' | '.join(f'{worth:.3f}' for worth in worths)
    return f'| {name} | {cells} |'


def _plot(table: Table, path: Path) -> None:
    figure = Figure(figsize=_INCHES, layout='constrained')
    plots = figure.subplots(1, len(fault_names()), sharey=True)
    for plot, fault in zip(plots, fault_names(), strict=True):
        for order in order_names():
            earned = [table[order, fault, load].earned for load in _LOADS]
            plot.plot(_LOADS, earned, marker='.', label=order)
        plot.set_title(fault)
        plot.set_xlabel('load')
    plots[0].set_ylabel('value earned')
    plots[0].legend()
    figure.savefig(path)


if __name__ == '__main__':
    fire.Fire(compare)
