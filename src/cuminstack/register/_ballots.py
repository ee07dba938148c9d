"""Ballots, which order the attempts to change the register."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Ballot number of one attempt of one process, unique to the attempt.

    Args:
        number: Number that grows with each attempt.
        proposer: Instance that makes the attempt.
        incarnation: Number of the process start, so that a process never
            reuses a ballot from before its restart.
    """

    number: int
    proposer: InstanceId
    incarnation: int


#: Ballot numbers that are reserved for the attempts at one version.
_BALLOTS_PER_VERSION: Final = 16

#: Lower than the ballot of any attempt.
NO_BALLOT: Final = Ballot(0, InstanceId(''), 0)


class BallotSource:
    """Allocates the ballots of one process."""

    def __init__(self, own: InstanceId, *, incarnation: int) -> None:
        """Start without observed ballots; `own` is this instance."""
        self._own = own
        self._incarnation = incarnation
        self._highest = 0

    def observe(self, ballot: Ballot) -> None:
        """Make sure that the next ballot is higher than an observed one."""
        self._highest = max(self._highest, ballot.number)

    def next_ballot(self, *, in_force: int = 0) -> Ballot:
        """Return a ballot higher than all that were observed.

        Args:
            in_force: Newest version known to be in force.  Some ballot
                numbers are reserved for each version, so that the first
                ballot of a process that hasn't proposed for a while isn't
                refused as too low.
        """
        reserved = in_force * _BALLOTS_PER_VERSION
        self._highest = max(self._highest, reserved) + 1
        return Ballot(self._highest, self._own, self._incarnation)


def majority(replicas: Sequence[InstanceId]) -> int:
    """Return the number of replicas that make a quorum."""
    return len(replicas) // 2 + 1


def recovery_quorum(replicas: Sequence[InstanceId]) -> int:
    """Return how many others must promise before a replica recovers.

    Any quorum that the replica was part of before it lost its disk has a
    member among that many other replicas.
    """
    return len(replicas) - majority(replicas) + 1
