"""What proposers and replicas of the document tell one another."""

from dataclasses import dataclass

from cuminstack.document._records import Ballot, Replica, Value
from cuminstack.wire import message


@message('document.prepare')
@dataclass(frozen=True, slots=True)
class Prepare:
    """Ask a replica to take part in no lower ballot.

    Args:
        ballot: The ballot.
        replica: Who is asked.
        known: Ballot whose value the proposer has; it isn't sent again.
    """

    ballot: Ballot
    replica: Replica
    known: Ballot


@message('document.promise')
@dataclass(frozen=True, slots=True)
class Promise:
    """A replica takes part in no lower ballot.

    Args:
        ballot: The ballot.
        replica: Who promises.
        accepted: Ballot that it accepted last.
        value: The value of that, unless the proposer has it.
    """

    ballot: Ballot
    replica: Replica
    accepted: Ballot
    value: Value | None


@message('document.accept')
@dataclass(frozen=True, slots=True)
class Accept:
    """Ask a replica to accept a value."""

    ballot: Ballot
    replica: Replica
    value: Value


@message('document.accepted')
@dataclass(frozen=True, slots=True)
class Accepted:
    """A replica has accepted the value of a ballot."""

    ballot: Ballot
    replica: Replica


@message('document.refused')
@dataclass(frozen=True, slots=True)
class BallotRefused:
    """A replica takes part in higher ballots only."""

    ballot: Ballot
    replica: Replica
    promised: Ballot


@message('document.chosen')
@dataclass(frozen=True, slots=True)
class Chosen:
    """A value that is in force."""

    ballot: Ballot
    value: Value


Request = Prepare | Accept
Reply = Promise | Accepted | BallotRefused
