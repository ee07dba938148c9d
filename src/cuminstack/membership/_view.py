"""The view that other parts see, from records and direct evidence."""

from collections.abc import Mapping

from cuminstack.core import Instance, InstanceId
from cuminstack.membership._messages import Record, Standing, ViewChanged
from cuminstack.membership._peer import Neighbour, Timing
from cuminstack.membership._rumours import Rumours

#: Standings that nothing is routed to, whatever was heard directly.
_CLOSED = frozenset((Standing.leaving, Standing.gone))


class ViewBuilder:
    """Works out the view and tells when it is another."""

    def __init__(
        self,
        configured: Mapping[InstanceId, Instance],
        neighbours: Mapping[InstanceId, Neighbour],
        timing: Timing,
    ) -> None:
        self.shown = ViewChanged((), ())
        self._built_from: tuple[tuple[Record, ...], list[Record]] = ((), [])
        self._configured = configured
        self._neighbours = neighbours
        self._timing = timing

    def update(
        self,
        rumours: Rumours,
        *,
        now: float,
    ) -> tuple[ViewChanged, ...]:
        """Give the view, if it is another than the one given last."""
        records = rumours.records
        open_to = [rec for rec in records if self._may_route(rec, now)]
        if (records, open_to) == self._built_from:
            return ()
        self._built_from = (records, open_to)
        known = [rec for rec in records if rec.standing is not Standing.gone]
        view = ViewChanged(
            alive=tuple(map(self._live, known)),
            routable=tuple(map(self._live, open_to)),
        )
        if view == self.shown:
            return ()
        self.shown = view
        return (view,)

    def _live(self, record: Record) -> Instance:
        known = self._configured[record.instance]
        return Instance(
            instance=known.instance,
            zone=known.zone,
            incarnation=record.incarnation,
            peer_address=known.peer_address,
            endpoint_address=known.endpoint_address,
            replica=known.replica,
        )

    def _may_route(self, record: Record, now: float) -> bool:
        if record.standing in _CLOSED:
            return False
        peer = self._neighbours.get(record.instance)
        if peer is None:
            return record.standing is Standing.alive
        return peer.is_reachable(self._timing, now=now)
