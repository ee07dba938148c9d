"""Effects that a document returns, and the outcomes of operations."""

from dataclasses import dataclass

from cuminstack.document._messages import Chosen
from cuminstack.document._records import ReplicaState, Value


@dataclass(frozen=True, slots=True)
class InForce:
    """The submitted document, or the value that was read, is in force."""

    value: Value


@dataclass(frozen=True, slots=True)
class Overtaken:
    """A higher version than the submitted one is in force."""

    value: Value


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another document of the same version is in force."""

    value: Value


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No quorum answered in time; the document may still come into force."""


Outcome = InForce | Overtaken | Conflict | Unavailable


@dataclass(frozen=True, slots=True)
class Done:
    """An operation has completed.

    Args:
        ticket: The ticket of the operation.
        outcome: Its outcome.
    """

    ticket: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Persist:
    """Sync a state to the disk.

    Then call `Document.persisted`, or `Document.persist_failed`.
    """

    state: ReplicaState


@dataclass(frozen=True, slots=True)
class NewInForce:
    """A newer value is known to be in force.

    Args:
        value: The value.
        chosen: The message to send to the other instances.
    """

    value: Value
    chosen: Chosen
