"""The registry of record kinds, and how a record is read from its cells."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import cached_property
from typing import Any, Final, TypeVar

from cuminstack.sheet._columns import Column
from cuminstack.sheet._faults import BadCell, FaultKind, SheetFault

#: Stands between the cells of a canonical row.
SEPARATOR: Final = ','

_Record = TypeVar('_Record')


@dataclass(frozen=True, slots=True)
class RecordKind:
    """A kind of record.

    Args:
        name: The first cell of its rows.
        build: Makes a record from the values of the columns.
        key_width: How many columns, from the first, tell its records apart.
        columns: What stands after the first cell.
    """

    name: str
    build: Callable[..., Any]
    key_width: int
    columns: tuple[Column, ...]

    @property
    def key_columns(self) -> tuple[Column, ...]:
        """The columns that tell its records apart."""
        return self.columns[: self.key_width]


_kinds: dict[str, RecordKind] = {}
_kinds_by_type: dict[type[Any], RecordKind] = {}


def record_kind(
    name: str,
    *columns: Column,
    key_width: int,
) -> Callable[[type[_Record]], type[_Record]]:
    """Register a frozen dataclass as a kind of record."""

    def decorator(cls: type[_Record]) -> type[_Record]:
        kind = RecordKind(name, cls, key_width, columns)
        _kinds[name] = kind
        _kinds_by_type[cls] = kind
        return cls

    return decorator


class Row:
    """A record of a sheet; its texts are kept, as sheets share records."""

    @cached_property
    def key(self) -> str:
        """What tells it from all others of its sheet; orders them too."""
        kind = _kinds_by_type[type(self)]
        return SEPARATOR.join(_cells(kind, self, kind.key_columns))

    @cached_property
    def row(self) -> str:
        """Its canonical row, without a line end."""
        kind = _kinds_by_type[type(self)]
        return SEPARATOR.join(_cells(kind, self, kind.columns))


def find_kind(name: str) -> RecordKind | None:
    """Give the kind whose rows begin with a name."""
    return _kinds.get(name)


def kind_names() -> tuple[str, ...]:
    """Give the names of all kinds."""
    return tuple(_kinds)


def read_record(
    kind: RecordKind,
    cells: Sequence[str],
    row: int,
) -> Any | tuple[SheetFault, ...]:
    """Read a record from the cells after the first, or give its faults."""
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
