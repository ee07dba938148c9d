"""The peer messages of the replicated document."""

from dataclasses import dataclass

from cuminstack.document._records import Ballot, Replica, Value
from cuminstack.wire import message


@message('document.prepare')
@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1 request: promise to join no lower ballot.

    Args:
        ballot: The ballot.
        replica: The receiving replica.
        known: The ballot of the newest value that the proposer has; a
            replica that accepted this ballot last omits its value.
    """

    ballot: Ballot
    replica: Replica
    known: Ballot


@message('document.promise')
@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1 reply: the replica joins no lower ballot.

    Args:
        ballot: The ballot.
        replica: The replica that promises.
        accepted: The ballot that it accepted last.
        value: The value of that ballot; None if the proposer has it.
    """

    ballot: Ballot
    replica: Replica
    accepted: Ballot
    value: Value | None


@message('document.accept')
@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2 request: accept a value."""

    ballot: Ballot
    replica: Replica
    value: Value


@message('document.accepted')
@dataclass(frozen=True, slots=True)
class Accepted:
    """Phase 2 reply: the replica has accepted the value of the ballot."""

    ballot: Ballot
    replica: Replica


@message('document.refused')
@dataclass(frozen=True, slots=True)
class BallotRefused:
    """Negative reply: the replica has promised a higher ballot."""

    ballot: Ballot
    replica: Replica
    promised: Ballot


@message('document.chosen')
@dataclass(frozen=True, slots=True)
class Chosen:
    """A value that is in force, sent to instances that may not have it."""

    ballot: Ballot
    value: Value


Request = Prepare | Accept
Reply = Promise | Accepted | BallotRefused
