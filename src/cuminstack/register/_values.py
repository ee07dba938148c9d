"""Values of the register and their transfer between instances."""

import hashlib
from dataclasses import dataclass
from functools import cached_property
from typing import Final

from cuminstack.sheet import (
    EMPTY_SHEET,
    DeltaMismatch,
    Sheet,
    SheetDelta,
    apply_delta,
    diff,
)

#: Superseded versions that a value keeps, so that a sheet which is submitted
#: again late gets the right outcome.
HISTORY_LENGTH: Final = 64
#: Length in bytes of the digests of superseded sheets.
_SHORT_DIGEST_BYTES: Final = 16


@dataclass(frozen=True, slots=True)
class Superseded:
    """Version and digest of a sheet that is no longer in force.

    Args:
        version: Version of the sheet.
        short_digest: First bytes of the digest of the sheet.
    """

    version: int
    short_digest: bytes


@dataclass(frozen=True)
class Value:
    """A sheet and the versions that it supersedes.

    Args:
        sheet: The sheet.
        history: Superseded versions, oldest first, at most HISTORY_LENGTH.
    """

    sheet: Sheet
    history: tuple[Superseded, ...] = ()

    @cached_property
    def stamp(self) -> bytes:
        """SHA-256 digest of the sheet and the history."""
        hasher = hashlib.sha256(self.sheet.digest)
        for entry in self.history:
            hasher.update(b'%d:%b;' % (entry.version, entry.short_digest))
        return hasher.digest()

    def make_successor(self, sheet: Sheet) -> 'Value':
        """Return the value in which a sheet supersedes this one."""
        entry = Superseded(self.sheet.version, short_digest(self.sheet))
        history = (*self.history, entry)
        return Value(sheet, history[-HISTORY_LENGTH:])

    def find_superseded(self, version: int) -> Superseded | None:
        """Return the superseded sheet of a version, if it is still known."""
        for entry in self.history:
            if entry.version == version:
                return entry
        return None


#: Value of a register in which no sheet came into force yet.
EMPTY_VALUE: Final = Value(EMPTY_SHEET)


@dataclass(frozen=True, slots=True)
class Transfer:
    """A value encoded as the difference from a base value.

    Args:
        base: Stamp of the base value, which the receiver must have.
        stamp: Stamp of the encoded value.
        delta: Difference between the sheets of the two values.
        history: Superseded versions that the base doesn't have.
    """

    base: bytes
    stamp: bytes
    delta: SheetDelta
    history: tuple[Superseded, ...]


def short_digest(sheet: Sheet) -> bytes:
    """Return the part of a sheet's digest that is kept in the history."""
    return sheet.digest[:_SHORT_DIGEST_BYTES]


def make_transfer(base: Value, value: Value) -> Transfer:
    """Return a value as the difference from a base value."""
    known = set(base.history)
    return Transfer(
        base=base.stamp,
        stamp=value.stamp,
        delta=diff(base.sheet, value.sheet),
        history=tuple(entry for entry in value.history if entry not in known),
    )


def apply_transfer(base: Value, transfer: Transfer) -> Value | None:
    """Return the value that a transfer encodes.

    Args:
        base: Value that the transfer is applied to, unless the transfer is
            relative to the empty value.
        transfer: The encoded value.

    Returns:
        The value, or None if the transfer has another base or the result
        doesn't have the transfer's stamp.
    """
    if transfer.base == EMPTY_VALUE.stamp:
        base = EMPTY_VALUE
    if base.stamp != transfer.base:
        return None
    sheet = apply_delta(base.sheet, transfer.delta)
    if isinstance(sheet, DeltaMismatch):
        return None
    history = (*base.history, *transfer.history)
    value = Value(sheet, history[-HISTORY_LENGTH:])
    return value if value.stamp == transfer.stamp else None
