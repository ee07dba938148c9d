"""What the register holds, and how it travels between instances."""

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

#: Superseded versions that a value remembers, to answer late resends.
HISTORY_LENGTH: Final = 64
#: Bytes of a superseded sheet's digest that are remembered.
_SHORT_DIGEST_BYTES: Final = 16


@dataclass(frozen=True, slots=True)
class Superseded:
    """A sheet that was in force before.

    Args:
        version: Its version.
        short_digest: The first bytes of its digest.
    """

    version: int
    short_digest: bytes


@dataclass(frozen=True)
class Value:
    """The sheet in force and the versions before it, oldest first."""

    sheet: Sheet
    history: tuple[Superseded, ...] = ()

    @cached_property
    def stamp(self) -> bytes:
        """Digest of all of it."""
        total = hashlib.sha256(self.sheet.digest)
        for entry in self.history:
            total.update(b'%d:%b;' % (entry.version, entry.short_digest))
        return total.digest()

    def succeed(self, sheet: Sheet) -> 'Value':
        """Give the value after this one."""
        entry = Superseded(self.sheet.version, short_digest(self.sheet))
        history = (*self.history, entry)
        return Value(sheet, history[-HISTORY_LENGTH:])

    def superseded(self, version: int) -> Superseded | None:
        """Find a version that was in force before."""
        for entry in self.history:
            if entry.version == version:
                return entry
        return None


#: What an unused register holds.
EMPTY_VALUE: Final = Value(EMPTY_SHEET)


@dataclass(frozen=True, slots=True)
class Transfer:
    """A value as the difference from one that the receiver has.

    Args:
        base: Stamp of the value that it applies to.
        stamp: Stamp of the value that it makes.
        delta: What makes the new sheet.
        history: Superseded versions that the base doesn't have.
    """

    base: bytes
    stamp: bytes
    delta: SheetDelta
    history: tuple[Superseded, ...]


def short_digest(sheet: Sheet) -> bytes:
    """Give the part of a sheet's digest that is remembered."""
    return sheet.digest[:_SHORT_DIGEST_BYTES]


def make_transfer(base: Value, value: Value) -> Transfer:
    """Give what makes a value of another."""
    known = set(base.history)
    return Transfer(
        base=base.stamp,
        stamp=value.stamp,
        delta=diff(base.sheet, value.sheet),
        history=tuple(entry for entry in value.history if entry not in known),
    )


def read_transfer(base: Value, transfer: Transfer) -> Value | None:
    """Make the value of a base, or None where the base is another one."""
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
