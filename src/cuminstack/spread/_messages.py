"""Messages between instances about the sheet in force."""

from dataclasses import dataclass

from cuminstack.core import InstanceId
from cuminstack.sheet import SheetDelta
from cuminstack.wire import message


@message('spread.push')
@dataclass(frozen=True, slots=True)
class Push:
    """Push a new sheet, which each receiver forwards in its zone.

    Args:
        root: Root of the tree of instances in the zone.
        delta: Difference between the previous and the new sheet.
    """

    root: InstanceId
    delta: SheetDelta


@message('spread.ask')
@dataclass(frozen=True, slots=True)
class Ask:
    """Ask an instance for its summary; sent by one that just started."""


@message('spread.summary')
@dataclass(frozen=True, slots=True)
class Summary:
    """Version and digest of the sheet that an instance has."""

    version: int
    digest: bytes


@message('spread.want')
@dataclass(frozen=True, slots=True)
class Want:
    """Request the newest sheet.

    Args:
        version: Version of the requester's sheet.
        digest: Digest of the requester's sheet.
    """

    version: int
    digest: bytes


@message('spread.update')
@dataclass(frozen=True, slots=True)
class Update:
    """Reply to a Want with the difference to the newest sheet."""

    delta: SheetDelta


@message('spread.want-chunk')
@dataclass(frozen=True, slots=True)
class WantChunk:
    """Request the chunk of a whole sheet that has this index."""

    version: int
    digest: bytes
    index: int


@message('spread.chunk')
@dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk of the canonical text of a whole sheet.

    Args:
        version: Version of the sheet.
        digest: Digest of the sheet.
        index: Index of the chunk, from 0.
        count: Number of chunks of the sheet.
        part: Text of the chunk.
    """

    version: int
    digest: bytes
    index: int
    count: int
    part: bytes


SpreadMessage = Push | Ask | Summary | Want | Update | WantChunk | Chunk
