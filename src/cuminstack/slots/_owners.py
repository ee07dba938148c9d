"""Which instance owns which endpoint, by the view of one instance."""

from collections.abc import Sequence

from cuminstack.core import (
    EndpointRecord,
    Instance,
    InstanceId,
    ZoneName,
    rendezvous_order,
)


class Owners:
    """One owner for all endpoints of an availability zone.

    It is an instance of that zone, or of any if the zone has none.  One
    owner in a zone rather than one for each endpoint keeps claims few.

    Args:
        own: The instance whose view this is.
    """

    def __init__(self, own: Instance) -> None:
        self._own = own
        self._alive: dict[InstanceId, Instance] = {own.instance: own}
        self._ranks: dict[ZoneName, tuple[str, ...]] = {}

    @property
    def alive(self) -> tuple[InstanceId, ...]:
        """Instances in the view."""
        return tuple(self._alive)

    @property
    def peers(self) -> tuple[InstanceId, ...]:
        """Instances in the view but for the own one."""
        return tuple(each for each in self._alive if each != self._own.instance)

    def observe(self, alive: Sequence[Instance]) -> None:
        """Take a new view."""
        self._alive = {peer.instance: peer for peer in alive}
        self._alive[self._own.instance] = self._own
        self._ranks.clear()

    def owner(self, record: EndpointRecord) -> InstanceId:
        """Give the owner of an endpoint."""
        return InstanceId(self._rank(record.zone)[0])

    def heir(self, record: EndpointRecord) -> InstanceId | None:
        """Give the owner once this instance has left, if any is left."""
        others = (
            name
            for name in self._rank(record.zone)
            if name != self._own.instance
        )
        heir = next(others, None)
        return None if heir is None else InstanceId(heir)

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
