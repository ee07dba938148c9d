"""Announcements that arrive here, and the tables that peers send."""

from dataclasses import dataclass

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    Send,
    rendezvous_order,
)
from cuminstack.endpoints import (
    Accepted,
    Directory,
    Outdated,
    OwnedEndpoints,
    TableDelta,
    TablePull,
    WholeTable,
)
from cuminstack.node._routing import Effects, on_message


@dataclass(frozen=True, slots=True)
class AnnounceReply:
    """Where an endpoint announces next; none if it is an older process."""

    owner: Instance | None


class EndpointDesk:
    """Owns the endpoints that announce here and follows all others.

    Args:
        own: This instance.
        lease: Seconds of silence after which an endpoint is gone.
        directory: Where every endpoint of the deployment is listed.
    """

    def __init__(
        self,
        own: Instance,
        *,
        lease: float,
        directory: Directory,
    ) -> None:
        self._own = own
        self._owned = OwnedEndpoints(
            incarnation=own.incarnation,
            lease=lease,
        )
        self._directory = directory
        self._routable: tuple[Instance, ...] = (own,)

    @property
    def version(self) -> int:
        """Version of the own table, for heartbeats."""
        return self._owned.version

    @property
    def owned(self) -> tuple[EndpointRecord, ...]:
        """Records of the own endpoints, usage included."""
        return self._owned.records

    def owner_of(self, record: EndpointRecord) -> Instance:
        """Choose the instance that an endpoint should announce to."""
        # A sole instance that drains routes to nobody, and still owns them.
        routable = self._routable or (self._own,)
        local = [each for each in routable if each.zone == record.zone]
        candidates = {each.instance: each for each in local or routable}
        order = rendezvous_order(record.endpoint, candidates)
        return candidates[InstanceId(order[0])]

    def announce(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> tuple[AnnounceReply, Effects]:
        """Take an announcement, from an endpoint of another owner too.

        The endpoint is listed here until it is heard of by its owner, so
        that it is never unknown while it is handed over.
        """
        taken = self._owned.announce(record, now=now)
        if isinstance(taken, Outdated):
            return AnnounceReply(None), ()
        owner = self.owner_of(record)
        effects = self._publish(taken, now=now)
        return AnnounceReply(owner), effects

    def observe_instances(
        self,
        routable: tuple[Instance, ...],
        *,
        now: float,
    ) -> Effects:
        """Take the instances that can be reached now, this one included.

        Endpoints that become this instance's are adopted at once, as if they
        had just announced themselves; silence still ends their lease.
        """
        self._routable = routable
        owned = {record.endpoint for record in self._owned.records}
        groups = [
            self.announce(record, now=now)[1]
            for record in self._directory.records
            if record.endpoint not in owned
            and self.owner_of(record).instance == self._own.instance
        ]
        return tuple(each for group in groups for each in group)

    def tick(self, *, now: float) -> Effects:
        """Drop silent endpoints, and those that another owner lists."""
        expired = self._owned.expire(now=now)
        return self._spread(expired, now=now)

    @on_message(TableDelta, WholeTable)
    def _receive_table(
        self,
        sender: InstanceId,
        message: TableDelta | WholeTable,
        *,
        now: float,
    ) -> Effects:
        followed = self._directory.receive(sender, message, now=now)
        listed = message.changed if isinstance(message, TableDelta) else ()
        handed_over = self._handed_over(sender, listed)
        released = self._owned.release(handed_over)
        return (*followed, *self._spread(released, now=now))

    @on_message(TablePull)
    def _send_whole(
        self,
        sender: InstanceId,
        _: TablePull,
        *,
        now: float,
    ) -> Effects:
        return (Send(sender, self._owned.full_table()),)

    def _handed_over(
        self,
        sender: InstanceId,
        listed: tuple[EndpointRecord, ...],
    ) -> tuple[EndpointId, ...]:
        return tuple(
            record.endpoint
            for record in listed
            if self.owner_of(record).instance == sender
        )

    def _publish(self, taken: Accepted, *, now: float) -> Effects:
        return self._spread(taken.delta, now=now)

    def _spread(self, delta: TableDelta | None, *, now: float) -> Effects:
        if delta is None:
            return ()
        shown = self._directory.receive(self._own.instance, delta, now=now)
        peers = [
            Send(each.instance, delta)
            for each in self._routable
            if each.instance != self._own.instance
        ]
        return (*shown, *peers)
