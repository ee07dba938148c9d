"""Ballots: the order of attempts to change the register."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """One attempt of one process; no two attempts share a ballot.

    Args:
        number: Grows with each attempt.
        proposer: Whose attempt it is.
        incarnation: Which start of that process, so that a process which
            restarts never takes up a ballot that it used before.
    """

    number: int
    proposer: InstanceId
    incarnation: int


#: Ballots that are set aside for the attempts at one version.
_BALLOTS_A_VERSION: Final = 16

#: Below every ballot of an attempt.
NO_BALLOT: Final = Ballot(0, InstanceId(''), 0)


class BallotSource:
    """Gives out the ballots of one process."""

    def __init__(self, own: InstanceId, *, incarnation: int) -> None:
        """Start below every ballot."""
        self._own = own
        self._incarnation = incarnation
        self._highest = 0

    def observe(self, ballot: Ballot) -> None:
        """Take a ballot that was seen, so that the next is above it."""
        self._highest = max(self._highest, ballot.number)

    def take(self, *, in_force: int = 0) -> Ballot:
        """Give a ballot above all that were seen.

        Args:
            in_force: Newest version known to be in force.  Ballots leave
                room for some attempts at each version, so that a process
                which hasn't proposed for a while doesn't begin too low.
        """
        room = in_force * _BALLOTS_A_VERSION
        self._highest = max(self._highest, room) + 1
        return Ballot(self._highest, self._own, self._incarnation)


def majority(replicas: Sequence[InstanceId]) -> int:
    """Give how many replicas make a quorum."""
    return len(replicas) // 2 + 1


def recovery_quorum(replicas: Sequence[InstanceId]) -> int:
    """Give how many others a replica must hear to vote after a loss.

    Any quorum that it was in has a replica among that many others.
    """
    return len(replicas) - majority(replicas) + 1
