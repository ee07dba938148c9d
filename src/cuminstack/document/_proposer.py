"""One ballot of a proposer: reads the value and may write the next one."""

from dataclasses import dataclass, field, replace

from cuminstack.core import Send
from cuminstack.document._changes import Change, KnownValue
from cuminstack.document._messages import (
    Accept,
    Accepted,
    Prepare,
    Promise,
)
from cuminstack.document._records import Ballot, Replica, Value


@dataclass(slots=True)
class BallotRun:
    """The state of one ballot at its proposer.

    Args:
        ballot: The ballot.
        known: The newest value that the proposer has at the start.
        change: The requested change.
        found: The newest value among `known` and the promises.
        accepted_ballots: The ballot that each promising replica accepted
            last.
        acceptors: The replicas that accepted the proposed value.
        proposed: The proposed value; None in phase 1.
    """

    ballot: Ballot
    known: KnownValue
    change: Change
    found: KnownValue = field(init=False)
    accepted_ballots: dict[Replica, Ballot] = field(default_factory=dict)
    acceptors: frozenset[Replica] = frozenset()
    proposed: Value | None = None

    def __post_init__(self) -> None:
        self.found = self.known

    @property
    def outcome(self) -> KnownValue | None:
        """The value in force; None while the ballot is undecided."""
        if self.proposed is None:
            return None
        if self._is_unchanged():
            return replace(self.found, in_force=True)
        values = (self.found.value, self.proposed)
        if all(value.is_quorum(self.acceptors) for value in values):
            return KnownValue(self.ballot, self.proposed, in_force=True)
        return None

    def pending_requests(self) -> tuple[Send, ...]:
        """Return the requests to the replicas that have not answered yet."""
        return self._prepares() if self.proposed is None else self._accepts()

    def is_as_high_as(self, accepted: Ballot) -> bool:
        """Return whether another ballot with this number was accepted."""
        is_own = accepted == self.ballot
        return accepted.number == self.ballot.number and not is_own

    def add_promise(self, promise: Promise) -> tuple[Send, ...]:
        """Count a promise.

        A newer value may have another replica set, whose promises are then
        needed as well.

        Returns:
            The requests to send next.
        """
        voters = self.found.value.voters
        self.accepted_ballots[promise.replica] = promise.accepted
        if promise.accepted > self.found.ballot and promise.value is not None:
            self.found = KnownValue(promise.accepted, promise.value)
        if self.proposed is not None:
            return ()
        if self.found.value.is_quorum(frozenset(self.accepted_ballots)):
            self.proposed = self.change.apply(self.found)
            return () if self._is_unchanged() else self._accepts()
        return () if self.found.value.voters == voters else self._prepares()

    def add_acceptance(self, accepted: Accepted) -> None:
        """Count an acceptance."""
        self.acceptors |= {accepted.replica}

    def _is_unchanged(self) -> bool:
        """Return whether the value that was found is in force as it is.

        If so, the ballot ends without phase 2.  An evacuation order always
        writes: an earlier attempt at the opposite order, which a minority may
        have accepted, must not come into force after it was acknowledged.
        """
        if self.change.orders:
            return False
        holders = frozenset(
            replica
            for replica, ballot in self.accepted_ballots.items()
            if ballot == self.found.ballot
        )
        is_same = self.proposed == self.found.value
        is_held = self.found.in_force or self.found.value.is_quorum(holders)
        return is_same and is_held

    def _prepares(self) -> tuple[Send, ...]:
        missing = self.found.value.voters - set(self.accepted_ballots)
        return tuple(
            Send(
                replica.instance,
                Prepare(self.ballot, replica, self.known.ballot),
            )
            for replica in sorted(missing)
        )

    def _accepts(self) -> tuple[Send, ...]:
        if self.proposed is None:
            return ()
        voters = self.found.value.voters | self.proposed.voters
        return tuple(
            Send(
                replica.instance,
                Accept(self.ballot, replica, self.proposed),
            )
            for replica in sorted(voters - self.acceptors)
        )
