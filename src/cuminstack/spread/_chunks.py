"""Whole sheets in parts of bounded size."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from cuminstack.sheet import Sheet, SheetFaults, parse  # noqa: WPS347
from cuminstack.spread._messages import Chunk, WantChunk

#: Bytes of one part.
CHUNK_BYTES: Final = 32_768
#: Sheets that are kept for those that are in the middle of one.
_KEPT_SHEETS: Final = 2


class ChunkSource:
    """Gives out the parts of the sheets that were asked for last."""

    def __init__(self) -> None:
        """Start with no sheets."""
        self._sheets: OrderedDict[bytes, Sheet] = OrderedDict()

    def offer(self, sheet: Sheet) -> Chunk:
        """Keep a sheet for a while, and give its first part."""
        self._sheets[sheet.digest] = sheet
        self._sheets.move_to_end(sheet.digest)
        while len(self._sheets) > _KEPT_SHEETS:
            self._sheets.popitem(last=False)
        return _cut(sheet, 0)

    def give(self, wanted: WantChunk) -> Chunk | None:
        """Give a part, if the sheet is still kept."""
        sheet = self._sheets.get(wanted.digest)
        return None if sheet is None else _cut(sheet, wanted.index)


@dataclass(slots=True)
class Assembly:
    """The parts of one sheet that have come so far."""

    version: int
    digest: bytes
    parts: list[bytes] = field(default_factory=list)

    def take(self, chunk: Chunk) -> Sheet | WantChunk | None:
        """Take a part; give the whole, or which part is wanted next."""
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


def _cut(sheet: Sheet, index: int) -> Chunk:
    text = sheet.canonical
    start = index * CHUNK_BYTES
    return Chunk(
        version=sheet.version,
        digest=sheet.digest,
        index=index,
        count=-(-len(text) // CHUNK_BYTES),
        part=text[start : start + CHUNK_BYTES],
    )
