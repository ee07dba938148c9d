"""How a submission ends, and what the register asks of the shell."""

from dataclasses import dataclass

from cuminstack.core import Send
from cuminstack.register._state import AcceptorState
from cuminstack.sheet import Sheet


@dataclass(frozen=True, slots=True)
class InForce:
    """A majority of the replicas holds the sheet."""

    version: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class SameAgain:
    """An equal sheet is in force, or was before `in_force`."""

    version: int
    digest: bytes
    in_force: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The version is taken by a sheet with other content."""

    version: int
    in_force: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The sheet isn't based on the version in force."""

    version: int
    based_on: int
    in_force: int


@dataclass(frozen=True, slots=True)
class NoQuorum:
    """No majority of the replicas answered in time.

    Args:
        maybe_accepted: Whether the sheet may come into force yet; if not,
            it never will.
    """

    maybe_accepted: bool


Outcome = InForce | SameAgain | Conflict | Stale | NoQuorum


@dataclass(frozen=True, slots=True)
class Persist:
    """Sync a state, then call `persisted` or `persist_failed`.

    Args:
        sequence: Names the state in those calls.
        state: What `encode_state` turns into the record to sync.
    """

    sequence: int
    state: AcceptorState


@dataclass(frozen=True, slots=True)
class Done:
    """A submission has ended."""

    ticket: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Learned:
    """A sheet is known to be in force, or to have been."""

    sheet: Sheet


Effect = Send | Persist | Done | Learned
Effects = tuple[Effect, ...]
