"""The sheet: the configuration of members and services, in CSV.

The package parses and validates a sheet, renders its canonical form, and
computes and applies the deltas between two versions.
"""

from cuminstack.sheet._check import (  # noqa: WPS347
    MAX_ROWS,
    MAX_SHEET_BYTES,
    parse,
)
from cuminstack.sheet._delta import (
    DeltaMismatch,
    SheetDelta,
    apply_delta,
    compose,
    diff,
    whole,
)
from cuminstack.sheet._faults import FaultKind, SheetFault, SheetFaults
from cuminstack.sheet._records import (
    EMPTY_SHEET,
    MAX_VERSION,
    Claim,
    Member,
    Preference,
    Record,
    Service,
    Sheet,
)


def render(sheet: Sheet) -> bytes:
    """Return the canonical CSV text of a sheet, in UTF-8."""
    return sheet.canonical


def digest(sheet: Sheet) -> bytes:
    """Return the SHA-256 digest of the canonical text of a sheet."""
    return sheet.digest


__all__ = (
    'EMPTY_SHEET',
    'MAX_ROWS',
    'MAX_SHEET_BYTES',
    'MAX_VERSION',
    'Claim',
    'DeltaMismatch',
    'FaultKind',
    'Member',
    'Preference',
    'Record',
    'Service',
    'Sheet',
    'SheetDelta',
    'SheetFault',
    'SheetFaults',
    'apply_delta',
    'compose',
    'diff',
    'digest',
    'parse',
    'render',
    'whole',
)
