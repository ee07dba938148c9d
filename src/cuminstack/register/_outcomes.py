"""Outcomes of submissions, and effects that the caller performs."""

from dataclasses import dataclass

from cuminstack.core import Send
from cuminstack.register._state import AcceptorState
from cuminstack.sheet import Sheet


@dataclass(frozen=True, slots=True)
class InForce:
    """A majority of the replicas accepted the sheet."""

    version: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class SameAgain:
    """An equal sheet is in force, or was before version `in_force`."""

    version: int
    digest: bytes
    in_force: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A sheet with the same version and other content is or was in force."""

    version: int
    in_force: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The sheet is not based on the version in force."""

    version: int
    based_on: int
    in_force: int


@dataclass(frozen=True, slots=True)
class NoQuorum:
    """No majority of the replicas answered in time.

    Args:
        maybe_accepted: Whether the sheet may still come into force; if
            not, it never will.
    """

    maybe_accepted: bool


Outcome = InForce | SameAgain | Conflict | Stale | NoQuorum


@dataclass(frozen=True, slots=True)
class Persist:
    """Sync a state, then call `persisted` or `persist_failed`.

    Args:
        sequence: Identifies the state in those calls.
        state: The state, whose record `encode_state` returns.
    """

    sequence: int
    state: AcceptorState


@dataclass(frozen=True, slots=True)
class Done:
    """The submission with this ticket has ended."""

    ticket: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Learned:
    """A sheet is known to be in force, or to have been in force."""

    sheet: Sheet


Effect = Send | Persist | Done | Learned
Effects = tuple[Effect, ...]
