"""Effects that the caller of the spread performs."""

from dataclasses import dataclass

from cuminstack.core import InstanceId, Send
from cuminstack.sheet import Sheet


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a newer sheet, which is now in force at this instance."""

    sheet: Sheet


@dataclass(frozen=True, slots=True)
class Diverged:
    """A peer has another sheet of the same version; both keep theirs."""

    peer: InstanceId
    version: int


Effect = Send | Apply | Diverged
Effects = tuple[Effect, ...]
