"""What instances say to each other about the sheet in force."""

from dataclasses import dataclass

from cuminstack.core import InstanceId
from cuminstack.sheet import SheetDelta
from cuminstack.wire import message


@message('spread.push')
@dataclass(frozen=True, slots=True)
class Push:
    """A new sheet, to be passed on in the zone of the root."""

    root: InstanceId
    delta: SheetDelta


@message('spread.ask')
@dataclass(frozen=True, slots=True)
class Ask:
    """Ask which sheet an instance has; from one that just started."""


@message('spread.summary')
@dataclass(frozen=True, slots=True)
class Summary:
    """Which sheet an instance has."""

    version: int
    digest: bytes


@message('spread.want')
@dataclass(frozen=True, slots=True)
class Want:
    """Ask for what makes the newest sheet of the one described here."""

    version: int
    digest: bytes


@message('spread.update')
@dataclass(frozen=True, slots=True)
class Update:
    """Give what was wanted."""

    delta: SheetDelta


@message('spread.want-chunk')
@dataclass(frozen=True, slots=True)
class WantChunk:
    """Ask for the next part of a whole sheet."""

    version: int
    digest: bytes
    index: int


@message('spread.chunk')
@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of the canonical text of a whole sheet."""

    version: int
    digest: bytes
    index: int
    count: int
    part: bytes


SpreadMessage = Push | Ask | Summary | Want | Update | WantChunk | Chunk
