"""Reading and checking a submitted sheet."""

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

#: Largest sheet that is read, in bytes.
MAX_SHEET_BYTES: Final = 4 * 1024 * 1024
#: Most rows of a sheet.
MAX_ROWS: Final = 60_000

_BASED_ON_COLUMN: Final = 3
_MEMBER_COLUMN: Final = 2
_SERVICE_COLUMN: Final = 3


@dataclass(frozen=True, slots=True)
class _Row:
    number: int
    cells: tuple[str, ...]


@dataclass(slots=True)
class _Reading:
    """What was read so far."""

    header: Header | None = None
    rows: dict[str, tuple[int, Record]] = field(default_factory=dict)
    faults: list[SheetFault] = field(default_factory=list)


def parse(raw: bytes) -> Sheet | SheetFaults:
    """Read a submitted sheet, or give every fault of it."""
    if len(raw) > MAX_SHEET_BYTES:
        detail = f'{len(raw)} bytes'
        return _refuse([SheetFault(1, 1, FaultKind.too_large, detail)])
    try:
        text = raw.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        return _refuse([_not_utf8(raw, error)])
    return _parse_text(text)


def _parse_text(text: str) -> Sheet | SheetFaults:
    reading = _Reading()
    try:
        _read_rows(text, reading)
    except csv.Error as error:
        row = text.count('\n') + 1
        reading.faults.append(
            SheetFault(row, 1, FaultKind.bad_csv, str(error)),
        )
        return _refuse(reading.faults)
    reading.faults.extend(_whole_faults(reading))
    reading.faults.extend(_reference_faults(reading))
    if reading.faults or reading.header is None:
        return _refuse(reading.faults)
    header = reading.header
    records = (record for _, record in reading.rows.values())
    return build_sheet(header.version, header.based_on, records)


def _read_rows(text: str, reading: _Reading) -> None:
    for index, row in enumerate(_rows(text)):
        if index >= MAX_ROWS:
            fault = SheetFault(row.number, 1, FaultKind.too_many, 'rows')
            reading.faults.append(fault)
            return
        _read_row(row, reading, first=not index)


def _rows(text: str) -> Iterator[_Row]:
    reader = csv.reader(io.StringIO(text, newline=''), strict=True)
    for cells in reader:
        if cells:
            yield _Row(reader.line_num, tuple(cells))


def _read_row(row: _Row, reading: _Reading, *, first: bool) -> None:
    kind = find_kind(row.cells[0])
    if kind is None:
        known = ', '.join(kind_names())
        detail = f'{row.cells[0]!r} is none of {known}'
        fault = SheetFault(row.number, 1, FaultKind.unknown_kind, detail)
        reading.faults.append(fault)
        return
    if first != (kind.build is Header):
        fault_kind = FaultKind.header_misplaced
        detail = 'the sheet record comes first, once'
        reading.faults.append(SheetFault(row.number, 1, fault_kind, detail))
    found = read_record(kind, row.cells[1:], row.number)
    if isinstance(found, tuple):
        reading.faults.extend(found)
    else:
        _keep(found, row, reading)


def _keep(found: Any, row: _Row, reading: _Reading) -> None:
    if isinstance(found, Header):
        reading.header = reading.header or found
        if found.based_on >= found.version:
            kind = FaultKind.out_of_range
            detail = f'{found.based_on} is not below {found.version}'
            fault = SheetFault(row.number, _BASED_ON_COLUMN, kind, detail)
            reading.faults.append(fault)
        return
    key = found.key
    earlier = reading.rows.get(key)
    if earlier is not None:
        detail = f'also in row {earlier[0]}'
        fault = SheetFault(
            row.number, _MEMBER_COLUMN, FaultKind.duplicate, detail
        )
        reading.faults.append(fault)
        return
    reading.rows[key] = (row.number, found)


def _whole_faults(reading: _Reading) -> Iterator[SheetFault]:
    if reading.header is None and not reading.faults:
        yield SheetFault(1, 1, FaultKind.empty)
    elif not reading.rows and not reading.faults:
        yield SheetFault(1, 1, FaultKind.no_members)


def _reference_faults(reading: _Reading) -> Iterator[SheetFault]:
    records = [record for _, record in reading.rows.values()]
    members = {each.name for each in records if isinstance(each, Member)}
    services = {each.ref for each in records if isinstance(each, Service)}
    for number, record in reading.rows.values():
        if isinstance(record, Service | Claim):
            yield from _owner_faults(record, number, members, services)


def _owner_faults(
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


def _not_utf8(raw: bytes, error: UnicodeDecodeError) -> SheetFault:
    before = raw[: error.start]
    row = before.count(b'\n') + 1
    line = before.rpartition(b'\n')[2]
    column = line.count(b',') + 1
    return SheetFault(row, column, FaultKind.not_utf8, error.reason)


def _refuse(faults: list[SheetFault]) -> SheetFaults:
    return SheetFaults(tuple(sorted(faults, key=_fault_order)))


def _fault_order(fault: SheetFault) -> tuple[int, int]:
    return fault.row, fault.column
