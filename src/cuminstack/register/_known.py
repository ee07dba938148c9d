"""Values that a proposer has at hand."""

from typing import Final

from cuminstack.register._values import (
    EMPTY_VALUE,
    Transfer,
    Value,
    read_transfer,
)
from cuminstack.sheet import EMPTY_SHEET, Sheet

#: Values that are kept besides the empty one.
_KEPT_VALUES: Final = 3


class KnownValues:
    """The values that were seen last, and the newest sheet in force."""

    def __init__(self) -> None:
        """Know the empty value only."""
        self._values: dict[bytes, Value] = {}
        self._in_force = EMPTY_SHEET

    @property
    def floor(self) -> int:
        """Highest version that is known to have been in force."""
        return self._in_force.version

    @property
    def fetch_base(self) -> Value:
        """What a value that is asked for is best described from."""
        return Value(self._in_force)

    def find(self, stamp: bytes) -> Value | None:
        """Find a value."""
        if stamp == EMPTY_VALUE.stamp:
            return EMPTY_VALUE
        return self._values.get(stamp)

    def add(self, value: Value) -> None:
        """Take a value that was seen."""
        self._values.pop(value.stamp, None)
        self._values[value.stamp] = value
        while len(self._values) > _KEPT_VALUES:
            self._values.pop(next(iter(self._values)))

    def observe_in_force(self, sheet: Sheet) -> None:
        """Take a sheet that is in force, or was."""
        if sheet.version > self.floor:
            self._in_force = sheet

    def read(self, transfer: Transfer) -> Value | None:
        """Take a value that was asked for."""
        value = read_transfer(self.fetch_base, transfer)
        if value is not None:
            self.add(value)
        return value
