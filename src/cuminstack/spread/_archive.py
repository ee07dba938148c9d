"""What an instance gives to those that lack the newest sheet."""

from cuminstack.sheet import Sheet, SheetDelta
from cuminstack.spread._chunks import CHUNK_BYTES, ChunkSource
from cuminstack.spread._log import DeltaLog
from cuminstack.spread._messages import Chunk, Update, Want, WantChunk


class Archive:
    """The newest sheet, and the differences that led to it."""

    def __init__(self) -> None:
        """Start empty."""
        self._log = DeltaLog()
        self._source = ChunkSource()

    def add(self, delta: SheetDelta) -> None:
        """Take the difference that led to the newest sheet."""
        self._log.add(delta)

    def answer(self, sheet: Sheet, want: Want) -> Update | Chunk | None:
        """Give the difference, or the whole sheet if that is smaller."""
        if want.version >= sheet.version:
            return None
        delta = self._log.since(want.version, want.digest)
        limit = min(CHUNK_BYTES, len(sheet.canonical))
        if delta is not None and delta.size <= limit:
            return Update(delta)
        return self._source.offer(sheet)

    def give(self, wanted: WantChunk) -> Chunk | None:
        """Give a part of a whole sheet."""
        return self._source.give(wanted)
