"""Tables in plain text."""

from collections.abc import Iterable, Sequence
from typing import Any, Final

_GAP: Final = '  '

Row = tuple[Any, ...]


def render_table(headers: Sequence[str], rows: Iterable[Row]) -> str:
    """Lay out rows under their headers; numbers stand to the right."""
    body = tuple(rows)
    texts = [tuple(map(_text_of, row)) for row in body]
    columns = list(zip(headers, *texts, strict=True))
    widths = [max(map(len, column)) for column in columns]
    right = [
        bool(body) and all(_is_number(row[at]) for row in body)
        for at in range(len(headers))
    ]
    return '\n'.join(
        _line(row, widths, right) for row in (tuple(headers), *texts)
    )


def _line(
    cells: Iterable[str],
    widths: Iterable[int],
    right: Iterable[bool],
) -> str:
    padded = [
        cell.rjust(width) if is_right else cell.ljust(width)
        for cell, width, is_right in zip(cells, widths, right, strict=True)
    ]
    return _GAP.join(padded).rstrip()


def _text_of(cell: Any) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, float):
        return f'{cell:.3f}'
    return str(cell)


def _is_number(cell: Any) -> bool:
    return cell is None or isinstance(cell, int | float)
