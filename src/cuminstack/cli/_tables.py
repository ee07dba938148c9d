"""Plain-text tables."""

from collections.abc import Iterable, Sequence
from typing import Any, Final

_COLUMN_GAP: Final = '  '

Row = tuple[Any, ...]


def render_table(headers: Sequence[str], rows: Iterable[Row]) -> str:
    """Format rows as a table; columns of numbers are right-aligned.

    Args:
        headers: Name of each column.
        rows: Values of each row, one for each column.

    Returns:
        The lines of the table, without a newline at the end.
    """
    body = tuple(rows)
    cell_texts = [tuple(map(_format_cell, row)) for row in body]
    columns = list(zip(headers, *cell_texts, strict=True))
    widths = [max(map(len, column)) for column in columns]
    right_aligned = [
        bool(body) and all(_is_number(row[index]) for row in body)
        for index in range(len(headers))
    ]
    return '\n'.join(
        _format_row(row, widths, right_aligned)
        for row in (tuple(headers), *cell_texts)
    )


def _format_row(
    cells: Iterable[str],
    widths: Iterable[int],
    right_aligned: Iterable[bool],
) -> str:
    padded = [
        cell.rjust(width) if is_right else cell.ljust(width)
        for cell, width, is_right in zip(
            cells, widths, right_aligned, strict=True
        )
    ]
    return _COLUMN_GAP.join(padded).rstrip()


def _format_cell(cell: Any) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    if isinstance(cell, float):
        return f'{cell:.3f}'
    return str(cell)


def _is_number(cell: Any) -> bool:
    return cell is None or isinstance(cell, int | float)
