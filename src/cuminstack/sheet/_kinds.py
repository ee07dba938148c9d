"""The registry of record kinds, and the parsing of records from cells."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any, Final, TypeVar

from cuminstack.sheet._columns import Column
from cuminstack.sheet._faults import BadCell, FaultKind, SheetFault

#: Separates the cells of a canonical row.
SEPARATOR: Final = ','

_Record = TypeVar('_Record')


@dataclass(frozen=True, slots=True)
class RecordKind:
    """A kind of record: the layout of its rows.

    Args:
        name: First cell of each row of this kind.
        build: Builds a record; takes the values by column name.
        key_width: Number of leading columns that form the key.
        columns: The columns after the first cell.
    """

    name: str
    build: Callable[..., Any]
    key_width: int
    columns: tuple[Column, ...]

    @property
    def key_columns(self) -> tuple[Column, ...]:
        """The columns that identify a record among those of its kind."""
        return self.columns[: self.key_width]


_kinds: dict[str, RecordKind] = {}
_kinds_by_type: dict[type[Any], RecordKind] = {}


def record_kind(
    name: str,
    *columns: Column,
    key_width: int,
) -> Callable[[type[_Record]], type[_Record]]:
    """Return a decorator that registers a frozen dataclass as a record kind.

    Args:
        name: First cell of each row of this kind.
        columns: The columns after the first cell, in order.
        key_width: Number of leading columns that form the key.
    """

    def decorator(cls: type[_Record]) -> type[_Record]:
        kind = RecordKind(name, cls, key_width, columns)
        _kinds[name] = kind
        _kinds_by_type[cls] = kind
        return cls

    return decorator


class BaseRecord:
    """Base class of the records of a sheet.

    The key and the row are cached because successive sheets share their
    unchanged records.
    """

    @cached_property
    def key(self) -> str:
        """Identifies the record in its sheet; also the sort key of records."""
        kind = _kinds_by_type[type(self)]
        return SEPARATOR.join(_cells(kind, self, kind.key_columns))

    @cached_property
    def row(self) -> str:
        """The canonical row, without a line ending."""
        kind = _kinds_by_type[type(self)]
        return SEPARATOR.join(_cells(kind, self, kind.columns))


def find_kind(name: str) -> RecordKind | None:
    """Return the record kind of this name, or None if there is none."""
    return _kinds.get(name)


def kind_names() -> tuple[str, ...]:
    """Return the names of all record kinds, in order of registration."""
    return tuple(_kinds)


def read_record(
    kind: RecordKind,
    cells: Sequence[str],
    row: int,
) -> Any | tuple[SheetFault, ...]:
    """Parse a record from the cells of its row.

    Args:
        kind: The record kind that the first cell of the row names.
        cells: The cells after the first.
        row: Line number to report in faults.

    Returns:
        The record, or its faults.
    """
    found: dict[str, Any] = {}
    faults = list(_width_faults(kind, cells, row))
    pairs = zip(kind.columns, cells, strict=False)
    for position, (column, cell) in enumerate(pairs, 2):
        try:
            found[column.name] = column.read(cell)
        except BadCell as error:
            fault = SheetFault(row, position, error.kind, error.detail)
            faults.append(fault)
    return tuple(faults) if faults else kind.build(**found)


def _cells(
    kind: RecordKind,
    record: object,
    columns: Sequence[Column],
) -> tuple[str, ...]:
    texts = (column.write(getattr(record, column.name)) for column in columns)
    return (kind.name, *texts)


def _width_faults(
    kind: RecordKind,
    cells: Sequence[str],
    row: int,
) -> tuple[SheetFault, ...]:
    expected = len(kind.columns)
    if len(cells) < expected:
        missing = kind.columns[len(cells)].name
        position = len(cells) + 2
        fault_kind = FaultKind.missing_cell
        return (SheetFault(row, position, fault_kind, missing),)
    if len(cells) > expected:
        extra = repr(cells[expected])
        position = expected + 2
        return (SheetFault(row, position, FaultKind.extra_cell, extra),)
    return ()
