"""Faults of a sheet."""

import enum
from dataclasses import dataclass


class FaultKind(enum.Enum):
    """The kinds of faults that the validation of a sheet reports."""

    bad_choice = 'bad_choice'
    bad_csv = 'bad_csv'
    bad_name = 'bad_name'
    bad_number = 'bad_number'
    duplicate = 'duplicate'
    empty = 'empty'
    extra_cell = 'extra_cell'
    header_misplaced = 'header_misplaced'
    missing_cell = 'missing_cell'
    no_members = 'no_members'
    not_utf8 = 'not_utf8'
    out_of_range = 'out_of_range'
    too_large = 'too_large'
    too_many = 'too_many'
    unknown_kind = 'unknown_kind'
    unknown_member = 'unknown_member'
    unknown_service = 'unknown_service'


@dataclass(frozen=True, slots=True, order=True)
class SheetFault:
    """A fault of a sheet, with its position.

    Args:
        row: Line of the file, counted from 1.
        column: Cell of the row, counted from 1.
        kind: The kind of fault.
        detail: The value that was found or expected there, if any.
    """

    row: int
    column: int
    kind: FaultKind
    detail: str = ''

    def __str__(self) -> str:
        kind = self.kind.value
        where = f'row {self.row}, column {self.column}'
        return f'{where}: {kind} {self.detail}'.rstrip()


@dataclass(frozen=True, slots=True)
class SheetFaults:
    """All faults of a rejected sheet, sorted by row and column."""

    faults: tuple[SheetFault, ...]


@dataclass(eq=False)
class BadCell(Exception):
    """The text of a cell is not a valid value of its column."""

    kind: FaultKind
    detail: str
