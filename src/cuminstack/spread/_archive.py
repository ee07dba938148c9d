"""Serves the newest sheet to instances that lack it."""

from cuminstack.sheet import Sheet, SheetDelta
from cuminstack.spread._chunks import CHUNK_BYTES, ChunkSource
from cuminstack.spread._delta_log import DeltaLog
from cuminstack.spread._messages import Chunk, Update, Want, WantChunk


class Archive:
    """Serves the newest sheet as differences or in chunks."""

    def __init__(self) -> None:
        """Start empty."""
        self._log = DeltaLog()
        self._source = ChunkSource()

    def add(self, delta: SheetDelta) -> None:
        """Add the difference between the previous and the newest sheet."""
        self._log.add(delta)

    def answer(self, sheet: Sheet, want: Want) -> Update | Chunk | None:
        """Return the reply to a request for the newest sheet.

        Args:
            sheet: The newest sheet.
            want: The request, which names the sheet of the requester.

        Returns:
            The difference, or the first chunk of the whole sheet if the
            difference is unknown, or larger than the sheet or a chunk; None
            if the requester already has the sheet or a newer one.
        """
        if want.version >= sheet.version:
            return None
        delta = self._log.since(want.version, want.digest)
        limit = min(CHUNK_BYTES, len(sheet.canonical))
        if delta is not None and delta.size <= limit:
            return Update(delta)
        return self._source.get_first_chunk(sheet)

    def get_chunk(self, request: WantChunk) -> Chunk | None:
        """Return a chunk of a whole sheet, if the sheet is still cached."""
        return self._source.get_chunk(request)
