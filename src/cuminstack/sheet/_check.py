"""Parsing and validation of a submitted sheet."""

import csv
import io
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from cuminstack.core import MemberName, ServiceRef
from cuminstack.sheet._faults import FaultKind, SheetFault, SheetFaults
from cuminstack.sheet._kinds import (
    find_kind,
    kind_names,
    read_record,
)
from cuminstack.sheet._records import (
    Claim,
    Header,
    Member,
    Record,
    Service,
    Sheet,
    build_sheet,
)

#: Largest sheet that is parsed, in bytes.
MAX_SHEET_BYTES: Final = 4 * 1024 * 1024
#: Largest number of rows in a sheet; blank lines do not count.
MAX_ROWS: Final = 60_000

# Columns of the fields that faults refer to, counted from 1.
_BASED_ON_COLUMN: Final = 3
_MEMBER_COLUMN: Final = 2
_SERVICE_COLUMN: Final = 3


@dataclass(frozen=True, slots=True)
class _Row:
    """A CSV row.

    Args:
        number: Number of its last line in the file, from 1.
        cells: Texts of its cells.
    """

    number: int
    cells: tuple[str, ...]


@dataclass(slots=True)
class _ParseState:
    """The state of a parse.

    Args:
        header: The first header that was read.
        rows: Line number and record by the key of the record.
        faults: The faults found so far.
    """

    header: Header | None = None
    rows: dict[str, tuple[int, Record]] = field(default_factory=dict)
    faults: list[SheetFault] = field(default_factory=list)


def parse(raw: bytes) -> Sheet | SheetFaults:
    """Parse and validate a submitted sheet.

    Args:
        raw: CSV text in UTF-8, with or without a byte order mark.

    Returns:
        The sheet, or all faults that were found in it.
    """
    if len(raw) > MAX_SHEET_BYTES:
        detail = f'{len(raw)} bytes'
        return _sorted_faults([SheetFault(1, 1, FaultKind.too_large, detail)])
    try:
        text = raw.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        return _sorted_faults([_utf8_fault(raw, error)])
    return _parse_text(text)


def _parse_text(text: str) -> Sheet | SheetFaults:
    state = _ParseState()
    try:
        _read_rows(text, state)
    except csv.Error as error:
        row = text.count('\n') + 1
        state.faults.append(
            SheetFault(row, 1, FaultKind.bad_csv, str(error)),
        )
        return _sorted_faults(state.faults)
    state.faults.extend(_completeness_faults(state))
    state.faults.extend(_reference_faults(state))
    if state.faults or state.header is None:
        return _sorted_faults(state.faults)
    header = state.header
    records = (record for _, record in state.rows.values())
    return build_sheet(header.version, header.based_on, records)


def _read_rows(text: str, state: _ParseState) -> None:
    for index, row in enumerate(_iterate_rows(text)):
        if index >= MAX_ROWS:
            fault = SheetFault(row.number, 1, FaultKind.too_many, 'rows')
            state.faults.append(fault)
            return
        _read_row(row, state, first=not index)


def _iterate_rows(text: str) -> Iterator[_Row]:
    reader = csv.reader(io.StringIO(text, newline=''), strict=True)
    for cells in reader:
        if cells:
            yield _Row(reader.line_num, tuple(cells))


def _read_row(row: _Row, state: _ParseState, *, first: bool) -> None:
    kind = find_kind(row.cells[0])
    if kind is None:
        known = ', '.join(kind_names())
        detail = f'{row.cells[0]!r} is none of {known}'
        fault = SheetFault(row.number, 1, FaultKind.unknown_kind, detail)
        state.faults.append(fault)
        return
    if first != (kind.build is Header):
        fault_kind = FaultKind.header_misplaced
        detail = 'the sheet record comes first, once'
        state.faults.append(SheetFault(row.number, 1, fault_kind, detail))
    found = read_record(kind, row.cells[1:], row.number)
    if isinstance(found, tuple):
        state.faults.extend(found)
    else:
        _add_record(found, row, state)


def _add_record(found: Any, row: _Row, state: _ParseState) -> None:
    if isinstance(found, Header):
        state.header = state.header or found
        if found.based_on >= found.version:
            kind = FaultKind.out_of_range
            detail = f'{found.based_on} is not below {found.version}'
            fault = SheetFault(row.number, _BASED_ON_COLUMN, kind, detail)
            state.faults.append(fault)
        return
    key = found.key
    earlier = state.rows.get(key)
    if earlier is not None:
        detail = f'also in row {earlier[0]}'
        fault = SheetFault(
            row.number, _MEMBER_COLUMN, FaultKind.duplicate, detail
        )
        state.faults.append(fault)
        return
    state.rows[key] = (row.number, found)


def _completeness_faults(state: _ParseState) -> Iterator[SheetFault]:
    if state.header is None and not state.faults:
        yield SheetFault(1, 1, FaultKind.empty)
    elif not state.rows and not state.faults:
        yield SheetFault(1, 1, FaultKind.no_members)


def _reference_faults(state: _ParseState) -> Iterator[SheetFault]:
    records = [record for _, record in state.rows.values()]
    members = {each.name for each in records if isinstance(each, Member)}
    services = {each.ref for each in records if isinstance(each, Service)}
    for number, record in state.rows.values():
        if isinstance(record, Service | Claim):
            yield from _dangling_reference_faults(
                record, number, members, services
            )


def _dangling_reference_faults(
    record: Service | Claim,
    number: int,
    members: set[MemberName],
    services: set[ServiceRef],
) -> Iterator[SheetFault]:
    if record.member not in members:
        kind = FaultKind.unknown_member
        yield SheetFault(number, _MEMBER_COLUMN, kind, record.member)
    elif record.ref not in services:
        kind = FaultKind.unknown_service
        yield SheetFault(number, _SERVICE_COLUMN, kind, record.ref.service)


def _utf8_fault(raw: bytes, error: UnicodeDecodeError) -> SheetFault:
    before = raw[: error.start]
    row = before.count(b'\n') + 1
    line = before.rpartition(b'\n')[2]
    column = line.count(b',') + 1
    return SheetFault(row, column, FaultKind.not_utf8, error.reason)


def _sorted_faults(faults: list[SheetFault]) -> SheetFaults:
    return SheetFaults(tuple(sorted(faults, key=_fault_position)))


def _fault_position(fault: SheetFault) -> tuple[int, int]:
    return fault.row, fault.column
