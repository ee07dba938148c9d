"""Failure detection and the membership view that results from it.

Neighbours exchange heartbeats.  When none arrives from a neighbour for the
suspect time-out, nothing is routed to it any more and a suspicion is
published, which the suspected instance refutes by a higher counter if it
receives the suspicion.  A suspicion that stays unrefuted until the gone
time-out removes the instance from the view.  Changed records are flooded over
the graph of neighbours; lost ones are sent again when the digest in a
heartbeat shows that the tables of two neighbours differ.
"""

from collections.abc import Sequence
from dataclasses import replace
from functools import singledispatchmethod
from typing import Final

from cuminstack.core import Instance, InstanceId, Send, ZoneName
from cuminstack.membership._gossip import Gossip
from cuminstack.membership._graph import neighbours
from cuminstack.membership._heartbeats import HeartbeatSender
from cuminstack.membership._messages import (
    Heartbeat,
    PeerSummary,
    Record,
    Records,
    Standing,
    Summary,
    Superseded,
    ViewChanged,
)
from cuminstack.membership._peer import Neighbour, Timing
from cuminstack.membership._view import ViewBuilder

Effect = Send | ViewChanged | PeerSummary | Superseded
Effects = tuple[Effect, ...]

_NEVER: Final = float('-inf')


class Membership:
    """Failure detector of one instance, with its view of the deployment.

    It does no input or output: each method returns the effects, which the
    caller carries out.

    Args:
        own: This instance, with its current incarnation.
        peers: All configured instances; their incarnations are ignored.
        timing: Heartbeat interval and time-outs.
        cross_zone_links: Number of links to each adjacent zone, see
            `neighbours`.
    """

    def __init__(
        self,
        own: Instance,
        peers: Sequence[Instance],
        *,
        timing: Timing | None = None,
        cross_zone_links: int = 1,
    ) -> None:
        self._own = own
        self._timing = Timing() if timing is None else timing
        self._configured = {peer.instance: peer for peer in (*peers, own)}
        linked = sorted(
            neighbours(own, peers, cross_zone_links=cross_zone_links)
        )
        self._neighbours = {name: Neighbour(name) for name in linked}
        self._gossip = Gossip(own, self._configured, linked)
        self._heartbeats = HeartbeatSender(self._timing)
        self._view = ViewBuilder(
            self._configured,
            self._neighbours,
            self._timing,
        )
        self._ticked_at = _NEVER

    @property
    def alive(self) -> tuple[Instance, ...]:
        """Instances that are not gone, this one included, sorted by name."""
        return self._view.current.alive

    @property
    def routable(self) -> tuple[Instance, ...]:
        """Instances that work may be sent to, sorted by name."""
        return self._view.current.routable

    @property
    def neighbours(self) -> tuple[InstanceId, ...]:
        """Instances to exchange heartbeats with, sorted by name."""
        return tuple(self._neighbours)

    @property
    def all_neighbours_seen(self) -> bool:
        """Whether each neighbour has sent a heartbeat since the start."""
        return all(peer.incarnation for peer in self._neighbours.values())

    def zone_of(self, instance: InstanceId) -> ZoneName | None:
        """Return the zone of an instance, or None if it isn't configured."""
        found = self._configured.get(instance)
        return None if found is None else found.zone

    def record_of(self, instance: InstanceId) -> Record | None:
        """Return the latest record of an instance, or None without any."""
        return self._gossip.get(instance)

    def advertise(self, summary: Summary) -> None:
        """Set the summary that the next heartbeats carry."""
        self._heartbeats.summary = summary

    def tick(self, *, now: float) -> Effects:
        """Apply time-outs and send due heartbeats.

        To be called several times per heartbeat interval.

        Args:
            now: Current time, in seconds.
        """
        self._discount_own_pause(now)
        effects: list[Effect] = [
            *self._suspect_silent(now),
            *self._remove_lost(now),
        ]
        if self._heartbeats.is_due(now=now):
            self._heartbeats.start_round(now=now)
            effects += map(self._heartbeat_to, self._neighbours.values())
        return (*effects, *self._view.update(self._gossip, now=now))

    def receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> Effects:
        """Handle a message from a peer.

        Messages from instances that aren't configured are ignored.

        Args:
            sender: The peer.
            message: The decoded message.
            now: Current time, in seconds.
        """
        effects: Effects = ()
        if sender in self._configured and sender != self._own.instance:
            effects = self._handle(message, sender, now)
        return (*effects, *self._view.update(self._gossip, now=now))

    def link_lost(self, peer: InstanceId, *, now: float) -> Effects:
        """Suspect a peer that refused or reset its connection.

        Args:
            peer: The peer; ignored unless it is a neighbour.
            now: Current time, in seconds.
        """
        found = self._neighbours.get(peer)
        if found is None:
            return ()
        found.mark_silent()
        effects = self._suspect_silent(now)
        return (*effects, *self._view.update(self._gossip, now=now))

    def leave(self, *, now: float) -> Effects:
        """Announce that this instance is leaving and takes no new work."""
        if self._gossip.own.standing is Standing.leaving:
            return ()
        effects = self._gossip.publish_own(Standing.leaving)
        return (*effects, *self._view.update(self._gossip, now=now))

    def _discount_own_pause(self, now: float) -> None:
        """Exclude pauses of this process from the silence of the peers."""
        started = self._ticked_at > _NEVER
        discounted = self._discounted_part(now - self._ticked_at)
        self._ticked_at = now
        if started and discounted:
            self._gossip.discount_pause(discounted, now=now)
        for peer in self._neighbours.values():
            if not started:
                peer.restart_silence(now=now)
            elif discounted:
                peer.discount_pause(discounted, now=now)

    def _discounted_part(self, pause: float) -> float:
        """Return the part of a pause that doesn't count as silence.

        Messages that arrived during the pause may still be unread, such as
        the refutation of a suspicion.  Of a pause up to the suspect time-out,
        one interval counts as silence nevertheless, so that an instance whose
        ticks are always late still detects failures.

        Args:
            pause: Time between two ticks, in seconds.
        """
        if pause > self._timing.suspect_timeout:
            return pause
        return max(pause - self._timing.interval, 0)

    def _suspect_silent(self, now: float) -> Effects:
        """Publish suspicions of silent neighbours.

        While a neighbour stays silent, its suspicion is published again only
        after the gone time-out.
        """
        suspicions: list[Record] = []
        for peer in self._neighbours.values():
            record = self._gossip.get(peer.instance)
            if record is None or record.standing is not Standing.alive:
                continue
            if peer.should_suspect(self._timing, now=now):
                peer.suspected_at = now
                suspicions.append(replace(record, standing=Standing.suspect))
        return self._gossip.merge(suspicions, now=now)

    def _remove_lost(self, now: float) -> Effects:
        """Remove the instances that stayed suspect, or left and are silent."""
        wait = self._timing.gone_timeout - self._timing.suspect_timeout
        lost = [
            record
            for record in self._gossip.records
            if record.standing is Standing.suspect
            and self._gossip.suspected_for(record, now=now) >= wait
        ]
        silent = {
            name
            for name, peer in self._neighbours.items()
            if peer.silent_for(now=now) > self._timing.gone_timeout
        }
        left = [
            record
            for record in self._gossip.records
            if record.standing is Standing.leaving and record.instance in silent
        ]
        gone = [
            replace(record, standing=Standing.gone) for record in lost + left
        ]
        return self._gossip.merge(gone, now=now)

    def _heartbeat_to(self, peer: Neighbour) -> Send:
        return self._heartbeats.heartbeat_to(
            peer,
            self._gossip.own,
            self._gossip.digest,
        )

    @singledispatchmethod
    def _handle(
        self,
        message: object,
        sender: InstanceId,
        now: float,
    ) -> Effects:
        """Ignore a message of any other type."""
        return ()

    @_handle.register
    def _handle_heartbeat(
        self,
        heartbeat: Heartbeat,
        sender: InstanceId,
        now: float,
    ) -> Effects:
        peer = self._neighbours.get(sender)
        if peer is None:
            return ()
        if peer.incarnation > heartbeat.incarnation:
            return self._push_records(peer, now)
        renewed = peer.record_heartbeat(
            heartbeat,
            acknowledged_sent_at=self._heartbeats.sent_at(heartbeat.heard),
            now=now,
        )
        standing = Standing.leaving if heartbeat.leaving else Standing.alive
        record = Record(
            sender,
            heartbeat.incarnation,
            heartbeat.counter,
            standing,
        )
        effects: list[Effect] = list(self._gossip.merge([record], now=now))
        if renewed:
            effects.append(self._heartbeat_to(peer))
        if heartbeat.summary != peer.summary:
            peer.summary = heartbeat.summary
            effects.append(PeerSummary(sender, heartbeat.summary))
        if heartbeat.table != self._gossip.digest:
            effects += self._push_records(peer, now)
        return tuple(effects)

    @_handle.register
    def _handle_records(
        self,
        message: Records,
        sender: InstanceId,
        now: float,
    ) -> Effects:
        return self._gossip.merge(message.records, now=now, skip=sender)

    def _push_records(self, peer: Neighbour, now: float) -> Effects:
        """Send all records to a neighbour, at most once per interval."""
        if now - peer.pushed_at < self._timing.interval:
            return ()
        peer.pushed_at = now
        return (Send(peer.instance, Records(self._gossip.records)),)
