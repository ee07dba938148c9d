"""Handles announcements of endpoints and endpoint tables of peers."""

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
    """Reply to an announcement.

    Args:
        owner: The instance that the endpoint must announce to next; none if
            the announcement came from an outdated incarnation.
    """

    owner: Instance | None


class EndpointHandler:
    """Owns the endpoints that announce to this instance; tracks all others.

    Args:
        own: This instance.
        lease: Seconds without an announcement after which an endpoint is
            gone.
        directory: Directory of all endpoints of the deployment.
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
        """Version of this instance's endpoint table, for heartbeats."""
        return self._owned.version

    @property
    def owned(self) -> tuple[EndpointRecord, ...]:
        """Records of the endpoints owned by this instance, including usage."""
        return self._owned.records

    def owner_of(self, record: EndpointRecord) -> Instance:
        """Return the instance that an endpoint must announce to.

        It is chosen by rendezvous hashing among the routable instances of
        the endpoint's availability zone, or among all if that has none.
        """
        # A single instance that is draining has no routable instances, but
        # still owns the endpoints.
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
        """Accept an announcement, also for an endpoint of another owner.

        The endpoint stays in this instance's table until its owner lists it,
        so that it is always listed during a handover.

        Returns:
            The reply to the endpoint, and effects.
        """
        result = self._owned.announce(record, now=now)
        if isinstance(result, Outdated):
            return AnnounceReply(None), ()
        owner = self.owner_of(record)
        effects = self._publish(result, now=now)
        return AnnounceReply(owner), effects

    def observe_instances(
        self,
        routable: tuple[Instance, ...],
        *,
        now: float,
    ) -> Effects:
        """Set the routable instances, and adopt endpoints owned from now on.

        An adopted endpoint is treated as if it had just announced itself to
        this instance; its lease still expires if it makes no announcement.

        Args:
            routable: The instances that can be reached, including this one.
            now: Present time, in seconds.
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
        """Remove endpoints whose lease has expired."""
        expired = self._owned.expire(now=now)
        return self._broadcast(expired, now=now)

    @on_message(TableDelta, WholeTable)
    def _receive_table(
        self,
        sender: InstanceId,
        message: TableDelta | WholeTable,
        *,
        now: float,
    ) -> Effects:
        directory_effects = self._directory.receive(sender, message, now=now)
        listed = message.changed if isinstance(message, TableDelta) else ()
        handed_over = self._handed_over(sender, listed)
        released = self._owned.release(handed_over)
        return (*directory_effects, *self._broadcast(released, now=now))

    @on_message(TablePull)
    def _send_table(
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

    def _publish(self, accepted: Accepted, *, now: float) -> Effects:
        return self._broadcast(accepted.delta, now=now)

    def _broadcast(self, delta: TableDelta | None, *, now: float) -> Effects:
        if delta is None:
            return ()
        directory_effects = self._directory.receive(
            self._own.instance,
            delta,
            now=now,
        )
        messages = [
            Send(each.instance, delta)
            for each in self._routable
            if each.instance != self._own.instance
        ]
        return (*directory_effects, *messages)
