"""Figures as Markdown tables."""

from collections.abc import Iterable, Sequence

from bench.policies._faults import FaultFigures
from bench.policies._measure import Figures, Percentiles
from bench.policies._shares import RushFigures


def figure_table(figures: Iterable[Figures]) -> str:
    """Show response times beside the bound."""
    return _table(
        'Response over ideal, p50 · p90 · p99',
        (
            'load',
            'tasks',
            'policy',
            'jobs',
            'response',
            'bound',
            'over bound p50 · p99',
            'messages a task',
            'waste',
        ),
        [
            (
                _percent(each.case.load),
                str(each.case.tasks),
                each.case.name,
                str(each.jobs),
                _shown(each.response),
                _shown(each.bound),
                _over(each),
                _decimal(each.messages_per_task, 2),
                _percent(each.wasted, 1),
            )
            for each in figures
        ],
    )


def message_table(figures: Iterable[Figures]) -> str:
    """Show messages by kind and waste by cause."""
    return _table(
        'Messages a task by kind; waste by cause, percent of all messages',
        ('load', 'tasks', 'policy', 'messages', 'waste', 'started twice'),
        [
            (
                _percent(each.case.load),
                str(each.case.tasks),
                each.case.name,
                _listed(each.messages, 1),
                _listed(each.waste, 100),
                str(each.twice),
            )
            for each in figures
        ],
    )


def rush_table(rushes: Iterable[RushFigures]) -> str:
    """Show what a rush costs the other member."""
    return _table(
        'One member sends ten times its share, the other 70% of its own',
        ('tasks', 'p99 alone', 'p99 beside the rush', 'ratio', 'Jain index'),
        [
            (
                str(each.tasks),
                _decimal(each.alone),
                _decimal(each.beside),
                _decimal(each.ratio),
                _decimal(each.jain, 4),
            )
            for each in rushes
        ],
    )


def fault_table(faults: Iterable[FaultFigures]) -> str:
    """Show what faults cost."""
    return _table(
        'Faults at 4 s, load 70%, jobs of 10 tasks: p99 of response over '
        'ideal, by when the jobs came',
        (
            'fault',
            'before',
            '0 to 2 s after',
            '2 to 4 s after',
            'refused starts',
            'waste',
            'unfinished',
            'started twice',
        ),
        [
            (
                each.name,
                _decimal(each.before),
                _decimal(each.during),
                _decimal(each.after),
                str(each.refusals),
                _percent(each.wasted, 1),
                str(each.unfinished),
                str(each.twice),
            )
            for each in faults
        ],
    )


def _table(
    title: str,
    head: Sequence[str],
    rows: Iterable[Sequence[str]],
) -> str:
    lines = [
        f'## {title}',
        '',
        _row(head),
        _row(['---' for _ in head]),
        *(_row(row) for row in rows),
        '',
    ]
    return '\n'.join(lines)


def _row(cells: Sequence[str]) -> str:
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _decimal(number: float, digits: int = 3) -> str:
    return format(number, f'.{digits}f')


def _percent(part: float, digits: int = 0) -> str:
    number = _decimal(100 * part, digits)
    return f'{number}%'


def _shown(shown: Percentiles) -> str:
    return ' · '.join(map(_decimal, (shown.p50, shown.p90, shown.p99)))


def _over(figures: Figures) -> str:
    middle = figures.response.p50 / figures.bound.p50 - 1
    high = figures.response.p99 / figures.bound.p99 - 1
    return ' · '.join((_percent(middle, 1), _percent(high, 1)))


def _listed(parts: dict[str, float], scale: int) -> str:
    return ', '.join(
        f'{name} {_decimal(scale * part)}' for name, part in parts.items()
    )
