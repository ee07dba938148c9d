"""Splits whole sheets into chunks of bounded size."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from cuminstack.sheet import Sheet, SheetFaults, parse  # noqa: WPS347
from cuminstack.spread._messages import Chunk, WantChunk

#: Size of a chunk in bytes; the last one of a sheet may be smaller.
CHUNK_BYTES: Final = 32_768
#: Number of sheets that are cached for transfers in progress.
_KEPT_SHEETS: Final = 2


class ChunkSource:
    """Returns chunks of the sheets that were requested last."""

    def __init__(self) -> None:
        """Start without sheets."""
        self._sheets: OrderedDict[bytes, Sheet] = OrderedDict()

    def get_first_chunk(self, sheet: Sheet) -> Chunk:
        """Cache a sheet, and return its first chunk."""
        self._sheets[sheet.digest] = sheet
        self._sheets.move_to_end(sheet.digest)
        while len(self._sheets) > _KEPT_SHEETS:
            self._sheets.popitem(last=False)
        return _make_chunk(sheet, 0)

    def get_chunk(self, request: WantChunk) -> Chunk | None:
        """Return a chunk, if its sheet is still cached."""
        sheet = self._sheets.get(request.digest)
        return None if sheet is None else _make_chunk(sheet, request.index)


@dataclass(slots=True)
class Assembly:
    """The chunks of one sheet that were received so far.

    Args:
        version: Version of the sheet.
        digest: Digest of the sheet.
        parts: Texts of the received chunks, in order.
    """

    version: int
    digest: bytes
    parts: list[bytes] = field(default_factory=list)

    def add(self, chunk: Chunk) -> Sheet | WantChunk | None:
        """Add the next chunk.

        Returns:
            The sheet if it is complete, or the request for the next chunk;
            None if the chunk isn't the expected one or the sheet is invalid.
        """
        expected = (self.version, self.digest, len(self.parts))
        if (chunk.version, chunk.digest, chunk.index) != expected:
            return None
        self.parts.append(chunk.part)
        if len(self.parts) < chunk.count:
            return WantChunk(self.version, self.digest, len(self.parts))
        sheet = parse(b''.join(self.parts))
        if isinstance(sheet, SheetFaults) or sheet.digest != self.digest:
            return None
        return sheet


def _make_chunk(sheet: Sheet, index: int) -> Chunk:
    """Return a chunk of the canonical text of a sheet."""
    text = sheet.canonical
    start = index * CHUNK_BYTES
    return Chunk(
        version=sheet.version,
        digest=sheet.digest,
        index=index,
        count=-(-len(text) // CHUNK_BYTES),
        part=text[start : start + CHUNK_BYTES],
    )
