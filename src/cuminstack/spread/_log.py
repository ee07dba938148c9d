"""The last differences between sheets, to answer those that missed some."""

from collections import deque
from typing import Final

from cuminstack.sheet import SheetDelta, compose

#: Most differences that are kept.
_MAX_DELTAS: Final = 1024
#: Most characters of rows that are kept.
_MAX_SIZE: Final = 500_000


class DeltaLog:
    """Differences, each from the sheet that the one before it made."""

    def __init__(self) -> None:
        """Start empty."""
        self._deltas: deque[SheetDelta] = deque()
        self._size = 0

    def add(self, delta: SheetDelta) -> None:
        """Take the difference that led to the newest sheet."""
        self._deltas.append(delta)
        self._size += delta.size
        while len(self._deltas) > _MAX_DELTAS or self._size > _MAX_SIZE:
            self._size -= self._deltas.popleft().size

    def since(self, version: int, digest: bytes) -> SheetDelta | None:
        """Give what makes the newest sheet of one, if that is known."""
        later = [delta for delta in self._deltas if delta.version > version]
        if not later:
            return None
        first = later[0]
        if (first.old_version, first.old_digest) != (version, digest):
            return None
        return compose(later)
