"""What the spread asks of the shell."""

from dataclasses import dataclass

from cuminstack.core import InstanceId, Send
from cuminstack.sheet import Sheet


@dataclass(frozen=True, slots=True)
class Apply:
    """A newer sheet is in force here from now on."""

    sheet: Sheet


@dataclass(frozen=True, slots=True)
class Diverged:
    """A peer has another sheet of the same version; neither is dropped."""

    peer: InstanceId
    version: int


Effect = Send | Apply | Diverged
Effects = tuple[Effect, ...]
