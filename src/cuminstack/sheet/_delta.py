"""The difference between two sheets, by row."""

import csv
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cuminstack.sheet._kinds import find_kind, read_record
from cuminstack.sheet._records import (
    EMPTY_SHEET,
    Record,
    Sheet,
    build_sheet,
)


@dataclass(frozen=True, slots=True)
class SheetDelta:
    """What makes one sheet of another.

    Args:
        old_version: Version of the sheet that it applies to.
        old_digest: Digest of that sheet.
        version: Version of the sheet that it makes.
        based_on: What that sheet is based on.
        digest: Digest of the sheet that it makes.
        removed: Keys of the records that go.
        rows: Canonical rows of the records that are new or changed.
    """

    old_version: int
    old_digest: bytes
    version: int
    based_on: int
    digest: bytes
    removed: tuple[str, ...] = ()
    rows: tuple[str, ...] = ()

    @property
    def is_whole(self) -> bool:
        """Whether it applies to the empty sheet, so to any instance."""
        return self.old_version == EMPTY_SHEET.version

    @property
    def size(self) -> int:
        """Characters of its rows and keys."""
        return sum(map(len, self.rows)) + sum(map(len, self.removed))


@dataclass(frozen=True, slots=True)
class DeltaMismatch:
    """A delta that can't be applied.

    Args:
        expected: Digest that the delta names.
        found: Digest that was there instead.
    """

    expected: bytes
    found: bytes


def diff(old: Sheet, new: Sheet) -> SheetDelta:
    """Give what makes a new sheet of an old one."""
    before = old.by_key
    after = new.by_key
    changed = (
        record.row
        for key, record in after.items()
        if _is_changed(before.get(key), record)
    )
    return SheetDelta(
        old_version=old.version,
        old_digest=old.digest,
        version=new.version,
        based_on=new.based_on,
        digest=new.digest,
        removed=tuple(sorted(before.keys() - after.keys())),
        rows=tuple(changed),
    )


def whole(sheet: Sheet) -> SheetDelta:
    """Give a sheet as the difference from the empty one."""
    return diff(EMPTY_SHEET, sheet)


def apply_delta(old: Sheet, delta: SheetDelta) -> Sheet | DeltaMismatch:
    """Make the new sheet of the old one; the digest of it is checked."""
    base = EMPTY_SHEET if delta.is_whole else old
    if base.digest != delta.old_digest:
        return DeltaMismatch(delta.old_digest, base.digest)
    records = dict(base.by_key)
    for key in delta.removed:
        records.pop(key, None)
    for record in _read_rows(delta.rows):
        records[record.key] = record
    sheet = build_sheet(delta.version, delta.based_on, records.values())
    if sheet.digest != delta.digest:
        return DeltaMismatch(delta.digest, sheet.digest)
    return sheet


def compose(deltas: Sequence[SheetDelta]) -> SheetDelta:
    """Make one delta of several that follow each other."""
    first, last = deltas[0], deltas[-1]
    changes: dict[str, str | None] = {}
    for delta in deltas:
        changes.update(dict.fromkeys(delta.removed))
        records = _read_rows(delta.rows)
        changes.update({record.key: record.row for record in records})
    return SheetDelta(
        old_version=first.old_version,
        old_digest=first.old_digest,
        version=last.version,
        based_on=last.based_on,
        digest=last.digest,
        removed=tuple(key for key, row in changes.items() if row is None),
        rows=tuple(row for row in changes.values() if row is not None),
    )


def _is_changed(before: Record | None, after: Record) -> bool:
    # Sheets share the records that a difference between them left alone.
    if before is after:
        return False
    return before is None or before.row != after.row


def _read_rows(rows: Iterable[str]) -> Iterable[Record]:
    for cells in csv.reader(rows):
        kind = find_kind(cells[0]) if cells else None
        if kind is None:
            continue
        record = read_record(kind, cells[1:], 0)
        if isinstance(record, Record):
            yield record
