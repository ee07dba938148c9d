"""One ballot: it reads the value and may write the next one."""

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
class Known:
    """A value and the ballot that it was accepted in.

    Args:
        ballot: The ballot.
        value: The value.
        in_force: Whether it is known that enough replicas accepted it.
    """

    ballot: Ballot
    value: Value
    in_force: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """What a proposal wants to change.

    Args:
        version: Version of the new document; 0 to leave it.
        body: The new document.
        joins: Replica that wants to vote.
        leaves: Replica whose place it takes; None to vote beside all.
    """

    version: int = 0
    body: bytes = b''
    joins: Replica | None = None
    leaves: Replica | None = None

    @property
    def is_read(self) -> bool:
        """Whether it changes nothing."""
        return not self.version and self.joins is None

    def apply(self, found: Known) -> Value:
        """Give the value after a value.

        Replicas change in two steps, as in the joint consensus of Ongaro
        and Ousterhout: first both sets vote, and only once that is in force
        the new set alone.
        """
        value = found.value
        if self.version > value.version:
            value = replace(value, version=self.version, body=self.body)
        if value.incoming and found.in_force:
            return replace(value, replicas=value.incoming, incoming=())
        if self.joins is None or self.joins in value.voters or value.incoming:
            return value
        return replace(value, incoming=self._next_replicas(value))

    def _next_replicas(self, value: Value) -> tuple[Replica, ...]:
        joins = {self.joins} if self.joins else set()
        stay = {each for each in value.replicas if each != self.leaves}
        return tuple(sorted(stay | joins))


@dataclass(slots=True)
class BallotRun:
    """The state of one ballot at its proposer.

    Args:
        ballot: The ballot.
        known: Newest value that the proposer has.
        change: What it is to change.
    """

    ballot: Ballot
    known: Known
    change: Change
    found: Known = field(init=False)
    accepted_in: dict[Replica, Ballot] = field(default_factory=dict)
    acceptors: frozenset[Replica] = frozenset()
    target: Value | None = None

    def __post_init__(self) -> None:
        self.found = self.known

    @property
    def outcome(self) -> Known | None:
        """The value in force, once that is known."""
        if self.target is None:
            return None
        if self._is_unchanged():
            return replace(self.found, in_force=True)
        values = (self.found.value, self.target)
        if all(value.is_agreed(self.acceptors) for value in values):
            return Known(self.ballot, self.target, in_force=True)
        return None

    def resends(self) -> tuple[Send, ...]:
        """Ask those that have not answered, at first or again."""
        return self._prepares() if self.target is None else self._accepts()

    def take_promise(self, promise: Promise) -> tuple[Send, ...]:
        """Count a promise; gives what is to be sent then.

        A newer value may name other replicas, whose promises are needed.
        """
        voters = self.found.value.voters
        self.accepted_in[promise.replica] = promise.accepted
        if promise.accepted > self.found.ballot and promise.value is not None:
            self.found = Known(promise.accepted, promise.value)
        if self.target is not None:
            return ()
        if self.found.value.is_agreed(frozenset(self.accepted_in)):
            self.target = self.change.apply(self.found)
            return () if self._is_unchanged() else self._accepts()
        return () if self.found.value.voters == voters else self._prepares()

    def take_accepted(self, accepted: Accepted) -> None:
        """Count an acceptance."""
        self.acceptors |= {accepted.replica}

    def _is_unchanged(self) -> bool:
        """Tell whether the value that was found is in force as it is."""
        holders = frozenset(
            replica
            for replica, ballot in self.accepted_in.items()
            if ballot == self.found.ballot
        )
        is_same = self.target == self.found.value
        is_held = self.found.in_force or self.found.value.is_agreed(holders)
        return is_same and is_held

    def _prepares(self) -> tuple[Send, ...]:
        missing = self.found.value.voters - set(self.accepted_in)
        return tuple(
            Send(
                replica.instance,
                Prepare(self.ballot, replica, self.known.ballot),
            )
            for replica in sorted(missing)
        )

    def _accepts(self) -> tuple[Send, ...]:
        if self.target is None:
            return ()
        voters = self.found.value.voters | self.target.voters
        return tuple(
            Send(replica.instance, Accept(self.ballot, replica, self.target))
            for replica in sorted(voters - self.acceptors)
        )
