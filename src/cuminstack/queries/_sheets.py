"""Questions about sheets in files; no instance is asked."""

from dataclasses import dataclass

from cuminstack import sheet as sheets
from cuminstack.sheet import Sheet, SheetFaults


@dataclass(frozen=True, slots=True)
class SheetSummary:
    """A sheet without faults.

    Args:
        version: Its version.
        based_on: The version that it was made from.
        digest: SHA-256 of its canonical text, in hexadecimal.
        members: Number of its members.
        services: Number of their services.
        claims: Number of claim records.
    """

    version: int
    based_on: int
    digest: str
    members: int
    services: int
    claims: int


@dataclass(frozen=True, slots=True)
class SheetChanges:
    """What differs between two sheets; a changed row is in both lists.

    Args:
        old_version: Version of the old sheet.
        version: Version of the new sheet.
        removed: Canonical rows that only the old one has.
        added: Canonical rows that only the new one has.
    """

    old_version: int
    version: int
    removed: tuple[str, ...] = ()
    added: tuple[str, ...] = ()


def check_sheet(text: bytes) -> SheetSummary | SheetFaults:
    """Check a sheet as an instance would, before it is submitted."""
    sheet = sheets.parse(text)
    if isinstance(sheet, SheetFaults):
        return sheet
    return SheetSummary(
        version=sheet.version,
        based_on=sheet.based_on,
        digest=sheet.digest.hex(),
        members=len(sheet.members),
        services=len(sheet.services),
        claims=len(sheet.claims),
    )


def compare_sheets(old: bytes, new: bytes) -> SheetChanges | SheetFaults:
    """Give what differs between two sheets, or the faults of the first bad.

    The order of rows makes no difference, nor do the two versions.
    """
    both = []
    for text in (old, new):
        sheet = sheets.parse(text)
        if isinstance(sheet, SheetFaults):
            return sheet
        both.append(sheet)
    return _changes(*both)


def _changes(old: Sheet, new: Sheet) -> SheetChanges:
    before = _rows(old)
    after = _rows(new)
    return SheetChanges(
        old_version=old.version,
        version=new.version,
        removed=tuple(row for row in before if row not in after),
        added=tuple(row for row in after if row not in before),
    )


def _rows(sheet: Sheet) -> dict[str, None]:
    """Give the rows in the order of their keys."""
    return dict.fromkeys(record.row for record in sheet.records)
