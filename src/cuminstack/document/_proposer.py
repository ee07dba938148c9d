"""One ballot of a proposer: reads the value and may write the next one."""

from dataclasses import dataclass, field, replace

from cuminstack.core import Send
from cuminstack.document._messages import (
    Accept,
    Accepted,
    Prepare,
    Promise,
)
from cuminstack.document._records import Ballot, Replica, Value


@dataclass(frozen=True, slots=True)
class KnownValue:
    """A value and the ballot that it was accepted in.

    Args:
        ballot: The ballot.
        value: The value.
        in_force: Whether a quorum is known to have accepted it.
    """

    ballot: Ballot
    value: Value
    in_force: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """A requested change of the value.

    Args:
        version: The version of the new document; 0 to keep the present one.
        body: The new document.
        joining: The replica to add to the replica set, if any.
        replaced: The replica to remove in exchange; None to only add one.
    """

    version: int = 0
    body: bytes = b''
    joining: Replica | None = None
    replaced: Replica | None = None

    @property
    def is_read(self) -> bool:
        """Whether it changes nothing."""
        return not self.version and self.joining is None

    def apply(self, found: KnownValue) -> Value:
        """Return the value to propose after the one that was found.

        The replica set changes in two steps, as in the joint consensus of
        Ongaro and Ousterhout: first both sets vote, and the new set votes
        alone only once the joint configuration is in force.
        """
        value = found.value
        if self.version > value.version:
            value = replace(value, version=self.version, body=self.body)
        if value.incoming and found.in_force:
            return replace(value, replicas=value.incoming, incoming=())
        if (
            self.joining is None
            or self.joining in value.voters
            or value.incoming
        ):
            return value
        return replace(value, incoming=self._next_replicas(value))

    def _next_replicas(self, value: Value) -> tuple[Replica, ...]:
        added = {self.joining} if self.joining else set()
        kept = {each for each in value.replicas if each != self.replaced}
        return tuple(sorted(kept | added))


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

        If so, the ballot ends without phase 2.
        """
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
