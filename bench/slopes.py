"""How costs grow: per task, endpoint, instance, member and change.

`python -m bench.slopes [--json FILE] [NAME…]` prints a table of lines
through measured points; the page on capacity is worked out from it.
"""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import msgspec

from bench import (
    _slopes_daemon,
    _slopes_endpoints,
    _slopes_jobs,
    _slopes_membership,
    _slopes_sheet,
    _slopes_slots,
)
from bench._slope import Slope, measures
from cuminstack.cli import Row, render_table

_HEADERS: Final = ('what', 'unit', 'per', 'slope', 'base', 'misfit', 'points')

_FIGURE: Final = '{:.4g}'

#: Modules that register measures.
_MODULES: Final = (
    _slopes_daemon,
    _slopes_endpoints,
    _slopes_jobs,
    _slopes_membership,
    _slopes_sheet,
    _slopes_slots,
)


def main(arguments: Sequence[str]) -> None:
    """Measure what the arguments name, and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help=', '.join(measures))
    parser.add_argument('--json', type=Path, help='file for the figures')
    given = parser.parse_args(arguments)
    slopes = [
        slope for name in given.names or measures for slope in measures[name]()
    ]
    print(render_table(_HEADERS, map(_row, slopes)))
    if given.json is not None:
        given.json.write_bytes(msgspec.json.encode(slopes))


def _row(slope: Slope) -> Row:
    points = [_point(*point) for point in slope.points]
    figures = (slope.slope, slope.base, slope.misfit)
    rounded = map(_FIGURE.format, figures)
    return (slope.name, slope.unit, slope.per, *rounded, '  '.join(points))


def _point(count: float, cost: float) -> str:
    shown = _FIGURE.format(cost)
    return f'{count}:{shown}'


if __name__ == '__main__':
    main(sys.argv[1:])
