"""Builds the membership view from records and direct observation."""

from collections.abc import Mapping

from cuminstack.core import Instance, InstanceId
from cuminstack.membership._gossip import Gossip
from cuminstack.membership._messages import Record, Standing, ViewChanged
from cuminstack.membership._peer import Neighbour, Timing

#: Standings that exclude an instance from routing, even if it is reachable.
_UNROUTABLE = frozenset((Standing.leaving, Standing.gone))


class ViewBuilder:
    """Computes the membership view and reports its changes."""

    def __init__(
        self,
        configured: Mapping[InstanceId, Instance],
        neighbours: Mapping[InstanceId, Neighbour],
        timing: Timing,
    ) -> None:
        self.current = ViewChanged((), ())
        self._built_from: tuple[tuple[Record, ...], list[Record]] = ((), [])
        self._configured = configured
        self._neighbours = neighbours
        self._timing = timing

    def update(
        self,
        gossip: Gossip,
        *,
        now: float,
    ) -> tuple[ViewChanged, ...]:
        """Compute the view, and return it if it differs from the last one."""
        records = gossip.records
        routable = [rec for rec in records if self._is_routable(rec, now)]
        if (records, routable) == self._built_from:
            return ()
        self._built_from = (records, routable)
        alive = [rec for rec in records if rec.standing is not Standing.gone]
        view = ViewChanged(
            alive=tuple(map(self._to_instance, alive)),
            routable=tuple(map(self._to_instance, routable)),
        )
        if view == self.current:
            return ()
        self.current = view
        return (view,)

    def _to_instance(self, record: Record) -> Instance:
        """Return the configured instance with the record's incarnation."""
        configured = self._configured[record.instance]
        return Instance(
            instance=configured.instance,
            zone=configured.zone,
            incarnation=record.incarnation,
            peer_address=configured.peer_address,
            endpoint_address=configured.endpoint_address,
            replica=configured.replica,
        )

    def _is_routable(self, record: Record, now: float) -> bool:
        if record.standing in _UNROUTABLE:
            return False
        peer = self._neighbours.get(record.instance)
        if peer is None:
            return record.standing is Standing.alive
        return peer.is_reachable(self._timing, now=now)
