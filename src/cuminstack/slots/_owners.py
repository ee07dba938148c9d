"""Ownership of endpoints, by the membership view of one instance."""

from collections.abc import Sequence

from cuminstack.core import (
    EndpointRecord,
    Instance,
    InstanceId,
    ZoneName,
    rendezvous_order,
)


class Owners:
    """Selects one owner for all endpoints of an availability zone.

    The owner is an instance of that zone, or of another one if the zone has
    none.  A single owner in a zone, rather than one for each endpoint, keeps
    the number of claims low.

    Args:
        own: The local instance.
    """

    def __init__(self, own: Instance) -> None:
        self._own = own
        self._alive: dict[InstanceId, Instance] = {own.instance: own}
        self._ranks: dict[ZoneName, tuple[str, ...]] = {}

    @property
    def alive(self) -> tuple[InstanceId, ...]:
        """All instances in the membership view."""
        return tuple(self._alive)

    @property
    def peers(self) -> tuple[InstanceId, ...]:
        """All instances in the membership view except the local one."""
        return tuple(each for each in self._alive if each != self._own.instance)

    def observe(self, alive: Sequence[Instance]) -> None:
        """Replace the membership view."""
        self._alive = {peer.instance: peer for peer in alive}
        self._alive[self._own.instance] = self._own
        self._ranks.clear()

    def owner(self, record: EndpointRecord) -> InstanceId:
        """Return the owner of an endpoint."""
        return InstanceId(self._rank(record.zone)[0])

    def successor(self, record: EndpointRecord) -> InstanceId | None:
        """Return the first-ranked owner other than this instance.

        Returns:
            The instance that owns the endpoint once this one has left, or
            None if there is no other.
        """
        others = (
            name
            for name in self._rank(record.zone)
            if name != self._own.instance
        )
        successor = next(others, None)
        return None if successor is None else InstanceId(successor)

    def _rank(self, zone: ZoneName) -> tuple[str, ...]:
        if zone not in self._ranks:
            local = [
                peer.instance
                for peer in self._alive.values()
                if peer.zone == zone
            ]
            order = rendezvous_order(zone, local)
            rest = rendezvous_order(zone, set(self._alive) - set(local))
            self._ranks[zone] = order + rest
        return self._ranks[zone]
