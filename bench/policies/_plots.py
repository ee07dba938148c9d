"""Plots of the figures."""

from collections.abc import Iterable, Sequence
from pathlib import Path

from matplotlib.figure import Figure

from bench.policies._measure import Figures

_SIZE_INCHES = (10, 7)


def plot_response(figures: Sequence[Figures], path: Path) -> None:
    """Plot p99 of the leases and of the bound over the load."""
    _plot_over_load(figures, path, 'p99 of response over ideal')


def plot_messages(figures: Sequence[Figures], path: Path) -> None:
    """Plot messages a task of every policy."""
    figure = Figure(figsize=_SIZE_INCHES)
    axes = figure.subplots()
    names = sorted({each.case.name for each in figures})
    for name in names:
        chosen = [each for each in figures if each.case.name == name]
        labels = [each.case.label for each in chosen]
        counts = [each.messages_per_task for each in chosen]
        axes.plot(labels, counts, marker='o', label=name)
    axes.set_yscale('log')
    axes.set_ylabel('messages a task')
    axes.set_xlabel('load and tasks of a job')
    axes.tick_params(axis='x', rotation=60)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={'Software': None})


def _plot_over_load(
    figures: Iterable[Figures],
    path: Path,
    label: str,
) -> None:
    figure = Figure(figsize=_SIZE_INCHES)
    axes = figure.subplots()
    chosen = [each for each in figures if each.case.name == 'leases']
    for size in sorted({each.case.tasks for each in chosen}):
        line = [each for each in chosen if each.case.tasks == size]
        loads = [each.case.load for each in line]
        response = [each.response.p99 for each in line]
        bound = [each.bound.p99 for each in line]
        drawn = axes.plot(loads, response, marker='o', label=str(size))
        color = drawn[0].get_color()
        axes.plot(loads, bound, linestyle='--', color=color)
    axes.set_yscale('log')
    axes.set_xlabel('load')
    axes.set_ylabel(f'{label}; dashed: the central bound')
    axes.legend(title='tasks of a job')
    figure.tight_layout()
    figure.savefig(path, metadata={'Software': None})
