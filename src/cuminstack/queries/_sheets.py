"""Queries about local sheet files, which need no instance."""

from dataclasses import dataclass

from cuminstack import sheet as sheets
from cuminstack.sheet import Sheet, SheetFaults


@dataclass(frozen=True, slots=True)
class SheetSummary:
    """Summary of a valid sheet.

    Args:
        version: Version of the sheet.
        based_on: Version that the sheet is an edit of.
        digest: SHA-256 of the canonical text of the sheet, in hexadecimal.
        members: Number of members.
        services: Number of services of all members.
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
    """Differences between two sheets.

    A changed row is in both lists: in `removed` with the old text and in
    `added` with the new.

    Args:
        old_version: Version of the old sheet.
        version: Version of the new sheet.
        removed: Canonical rows that only the old sheet has.
        added: Canonical rows that only the new sheet has.
    """

    old_version: int
    version: int
    removed: tuple[str, ...] = ()
    added: tuple[str, ...] = ()


def check_sheet(text: bytes) -> SheetSummary | SheetFaults:
    """Validate a sheet with the checks that an instance applies.

    Args:
        text: Content of the CSV file.

    Returns:
        A summary of the sheet, or all its faults.
    """
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
    """Compare two sheets.

    The order of the rows and the version header are ignored.

    Args:
        old: Content of a CSV file.
        new: Content of another CSV file.

    Returns:
        The differences, or all faults of the first sheet that is invalid.
    """
    parsed_sheets = []
    for text in (old, new):
        sheet = sheets.parse(text)
        if isinstance(sheet, SheetFaults):
            return sheet
        parsed_sheets.append(sheet)
    return _find_changes(*parsed_sheets)


def _find_changes(old: Sheet, new: Sheet) -> SheetChanges:
    old_rows = _canonical_rows(old)
    new_rows = _canonical_rows(new)
    return SheetChanges(
        old_version=old.version,
        version=new.version,
        removed=tuple(row for row in old_rows if row not in new_rows),
        added=tuple(row for row in new_rows if row not in old_rows),
    )


def _canonical_rows(sheet: Sheet) -> dict[str, None]:
    """Return the canonical rows, ordered by their keys, as an ordered set."""
    return dict.fromkeys(record.row for record in sheet.records)
