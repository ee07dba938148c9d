"""Row-wise deltas between two sheets."""

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
    """The changes that turn one sheet into another.

    Args:
        old_version: Version of the sheet that the delta applies to.
        old_digest: Digest of that sheet.
        version: Version of the resulting sheet.
        based_on: The version that the resulting sheet is based on.
        digest: Digest of the resulting sheet.
        removed: Keys of the removed records.
        rows: Canonical rows of the added and changed records.
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
        """Whether the delta starts from the empty sheet.

        Such a delta can be applied whatever sheet an instance has.
        """
        return self.old_version == EMPTY_SHEET.version

    @property
    def size(self) -> int:
        """Number of characters in the rows and the removed keys."""
        return sum(map(len, self.rows)) + sum(map(len, self.removed))


@dataclass(frozen=True, slots=True)
class DeltaMismatch:
    """A delta was not applied because a digest did not match.

    Args:
        expected: Digest in the delta.
        found: Digest of the old or the resulting sheet.
    """

    expected: bytes
    found: bytes


def diff(old: Sheet, new: Sheet) -> SheetDelta:
    """Return the delta that turns an old sheet into a new one."""
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
    """Return the delta that turns the empty sheet into this one."""
    return diff(EMPTY_SHEET, sheet)


def apply_delta(old: Sheet, delta: SheetDelta) -> Sheet | DeltaMismatch:
    """Apply a delta to a sheet, and verify the digests of both sheets.

    Returns:
        The new sheet, or a mismatch if either digest differs from the delta.
    """
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
    """Merge consecutive deltas, of which there is at least one, into one."""
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
    # A sheet made by a delta shares the unchanged records of the old sheet.
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
