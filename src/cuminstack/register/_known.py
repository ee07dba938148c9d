"""Cache of recently seen values."""

from typing import Final

from cuminstack.register._values import (
    EMPTY_VALUE,
    Transfer,
    Value,
    apply_transfer,
)
from cuminstack.sheet import EMPTY_SHEET, Sheet

#: Size of the cache, not counting the empty value.
_KEPT_VALUES: Final = 3


class KnownValues:
    """Cache of the values seen last, and the newest sheet in force."""

    def __init__(self) -> None:
        """Start with the empty value only."""
        self._values: dict[bytes, Value] = {}
        self._in_force = EMPTY_SHEET

    @property
    def version_floor(self) -> int:
        """Newest version that is known to be or have been in force."""
        return self._in_force.version

    @property
    def fetch_base(self) -> Value:
        """Base value relative to which other instances send a value."""
        return Value(self._in_force)

    def find(self, stamp: bytes) -> Value | None:
        """Return the value with a stamp, if it is cached."""
        if stamp == EMPTY_VALUE.stamp:
            return EMPTY_VALUE
        return self._values.get(stamp)

    def add(self, value: Value) -> None:
        """Cache a value, and evict the least recently added ones."""
        self._values.pop(value.stamp, None)
        self._values[value.stamp] = value
        while len(self._values) > _KEPT_VALUES:
            self._values.pop(next(iter(self._values)))

    def observe_in_force(self, sheet: Sheet) -> None:
        """Record a sheet that is or was in force."""
        if sheet.version > self.version_floor:
            self._in_force = sheet

    def decode(self, transfer: Transfer) -> Value | None:
        """Decode and cache a fetched value; return None if that fails."""
        value = apply_transfer(self.fetch_base, transfer)
        if value is not None:
            self.add(value)
        return value
