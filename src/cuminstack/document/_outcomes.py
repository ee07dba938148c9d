"""What a document asks of its shell, and what became of operations."""

from dataclasses import dataclass

from cuminstack.document._messages import Chosen
from cuminstack.document._records import ReplicaState, Value


@dataclass(frozen=True, slots=True)
class InForce:
    """The submitted document is in force, or what was read."""

    value: Value


@dataclass(frozen=True, slots=True)
class Overtaken:
    """A higher version is in force."""

    value: Value


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another document has the same version."""

    value: Value


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No quorum answered; the document may come into force yet."""


Outcome = InForce | Overtaken | Conflict | Unavailable


@dataclass(frozen=True, slots=True)
class Done:
    """An operation has its outcome."""

    ticket: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Persist:
    """Sync a state to the disk, then call `persisted`."""

    state: ReplicaState


@dataclass(frozen=True, slots=True)
class NewInForce:
    """A newer value is known to be in force; others are to be told."""

    value: Value
    news: Chosen
