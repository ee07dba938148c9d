"""The latest differences between sheets, for instances that missed some."""

from collections import deque
from typing import Final

from cuminstack.sheet import SheetDelta, compose

#: Maximum number of differences in the log.
_MAX_DELTAS: Final = 1024
#: Maximum size of the log, in characters of rows.
_MAX_CHARACTERS: Final = 500_000


class DeltaLog:
    """Consecutive differences; the oldest ones are dropped first."""

    def __init__(self) -> None:
        """Start empty."""
        self._deltas: deque[SheetDelta] = deque()
        self._size = 0

    def add(self, delta: SheetDelta) -> None:
        """Add the difference between the previous and the newest sheet."""
        self._deltas.append(delta)
        self._size += delta.size
        while len(self._deltas) > _MAX_DELTAS or self._size > _MAX_CHARACTERS:
            self._size -= self._deltas.popleft().size

    def since(self, version: int, digest: bytes) -> SheetDelta | None:
        """Return the difference from a sheet to the newest, if it is known."""
        later = [delta for delta in self._deltas if delta.version > version]
        if not later:
            return None
        first = later[0]
        if (first.old_version, first.old_digest) != (version, digest):
            return None
        return compose(later)
