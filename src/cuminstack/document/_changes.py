"""Requested changes of the value, and their combination in one ballot."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from cuminstack.document._evacuations import EvacuationOrder, apply_orders
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
        orders: Evacuations to start or withdraw, in order.
    """

    version: int = 0
    body: bytes = b''
    joining: Replica | None = None
    replaced: Replica | None = None
    orders: tuple[EvacuationOrder, ...] = ()

    def apply(self, found: KnownValue) -> Value:
        """Return the value to propose after the one that was found.

        The replica set changes in two steps, as in the joint consensus of
        Ongaro and Ousterhout: first both sets vote, and the new set votes
        alone only once the joint configuration is in force.
        """
        value = found.value
        if self.version > value.version:
            value = replace(value, version=self.version, body=self.body)
        if self.orders:
            evacuated = apply_orders(value.evacuations, self.orders)
            value = replace(value, evacuations=evacuated)
        if value.incoming and found.in_force:
            return replace(value, replicas=value.incoming, incoming=())
        if (
            self.joining is None
            or self.joining in value.voters
            or value.incoming
        ):
            return value
        return replace(value, incoming=self._next_replicas(value))

    def decides(self, change: 'Change') -> bool:
        """Return whether a ballot with this change decides one of its parts.

        The outcome of a new document depends on the version in force instead.

        Args:
            change: A change that was combined into this one.
        """
        if change.version:
            return False
        if change.joining is None:
            return True
        part = (change.joining, change.replaced)
        return part == (self.joining, self.replaced)

    def _next_replicas(self, value: Value) -> tuple[Replica, ...]:
        added = {self.joining} if self.joining else set()
        kept = {each for each in value.replicas if each != self.replaced}
        return tuple(sorted(kept | added))


def combine_changes(changes: Iterable[Change]) -> Change:
    """Return one change that does what several ones ask for.

    If each needed a ballot of its own, frequent new versions would delay
    evacuations and changes of the replica set until they time out.

    Args:
        changes: The changes, in the order of their arrival.

    Returns:
        The highest version, the first change of the replica set, and all
        evacuation orders.
    """
    parts = tuple(changes)
    newest = max(parts, key=lambda part: part.version)
    joining = (part for part in parts if part.joining is not None)
    first_joining = next(joining, Change())
    return Change(
        version=newest.version,
        body=newest.body,
        joining=first_joining.joining,
        replaced=first_joining.replaced,
        orders=tuple(order for part in parts for order in part.orders),
    )
