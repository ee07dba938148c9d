"""The failure detector and the view that rests on it.

Neighbours exchange heartbeats.  Direct silence for the eager time-out stops
routing to a neighbour and is published as a suspicion, which the suspected
instance refutes by a higher counter if news of it gets through.  A suspicion
that stands unrefuted until the patient time-out removes the instance from the
view.  News is flooded over the graph of neighbours, and what got lost is made
up for when two neighbours' tables differ.
"""

from collections.abc import Sequence
from dataclasses import replace
from functools import singledispatchmethod
from typing import Final

from cuminstack.core import Instance, InstanceId, Send, ZoneName
from cuminstack.membership._beats import Beats
from cuminstack.membership._graph import neighbours
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
from cuminstack.membership._rumours import Rumours
from cuminstack.membership._view import ViewBuilder

Effect = Send | ViewChanged | PeerSummary | Superseded
Effects = tuple[Effect, ...]

_NEVER: Final = float('-inf')


class Membership:
    """Knows which instances are alive and which may be sent work.

    Args:
        own: This instance, with its live incarnation.
        peers: All configured instances; their incarnations are ignored.
        timing: Time-outs.
        relays: Links to each other zone, see `neighbours`.
    """

    def __init__(
        self,
        own: Instance,
        peers: Sequence[Instance],
        *,
        timing: Timing | None = None,
        relays: int = 1,
    ) -> None:
        self._own = own
        self._timing = Timing() if timing is None else timing
        self._configured = {peer.instance: peer for peer in (*peers, own)}
        linked = sorted(neighbours(own, peers, relays=relays))
        self._neighbours = {name: Neighbour(name) for name in linked}
        self._rumours = Rumours(own, self._configured, linked)
        self._beats = Beats(self._timing)
        self._view = ViewBuilder(
            self._configured,
            self._neighbours,
            self._timing,
        )
        self._ticked_at = _NEVER

    @property
    def alive(self) -> tuple[Instance, ...]:
        """Instances that are not gone, this one included, by name."""
        return self._view.shown.alive

    @property
    def routable(self) -> tuple[Instance, ...]:
        """Instances that work may be sent to, by name."""
        return self._view.shown.routable

    @property
    def neighbours(self) -> tuple[InstanceId, ...]:
        """Instances that heartbeats are exchanged with, by name."""
        return tuple(self._neighbours)

    @property
    def settled(self) -> bool:
        """Whether each neighbour was heard since the start."""
        return all(peer.incarnation for peer in self._neighbours.values())

    def zone_of(self, instance: InstanceId) -> ZoneName | None:
        """Give the zone of a configured instance."""
        found = self._configured.get(instance)
        return None if found is None else found.zone

    def record_of(self, instance: InstanceId) -> Record | None:
        """Give the latest that is known of an instance, if anything is."""
        return self._rumours.get(instance)

    def advertise(self, summary: Summary) -> None:
        """Set what the next heartbeats carry."""
        self._beats.summary = summary

    def tick(self, *, now: float) -> Effects:
        """Do what is due; call it a few times an interval."""
        self._notice_pause(now)
        effects: list[Effect] = [*self._accuse(now), *self._bury(now)]
        if self._beats.is_due(now=now):
            self._beats.open_round(now=now)
            effects += map(self._beat_to, self._neighbours.values())
        return (*effects, *self._view.update(self._rumours, now=now))

    def receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> Effects:
        """Take a message of a peer; those of strangers are dropped."""
        effects: Effects = ()
        if sender in self._configured and sender != self._own.instance:
            effects = self._take(message, sender, now)
        return (*effects, *self._view.update(self._rumours, now=now))

    def link_lost(self, peer: InstanceId, *, now: float) -> Effects:
        """Take the hint that a peer refused or reset its connection."""
        found = self._neighbours.get(peer)
        if found is None:
            return ()
        found.lose()
        effects = self._accuse(now)
        return (*effects, *self._view.update(self._rumours, now=now))

    def leave(self, *, now: float) -> Effects:
        """Announce that this instance takes no new work."""
        if self._rumours.own.standing is Standing.leaving:
            return ()
        effects = self._rumours.declare(Standing.leaving)
        return (*effects, *self._view.update(self._rumours, now=now))

    def _notice_pause(self, now: float) -> None:
        """Blame our own pauses, not the peers, for the silence in them."""
        started = self._ticked_at > _NEVER
        unheard = self._unheard(now - self._ticked_at)
        self._ticked_at = now
        if started and unheard:
            self._rumours.forgive(unheard, now=now)
        for peer in self._neighbours.values():
            if not started:
                peer.listen(now=now)
            elif unheard:
                peer.forgive(unheard, now=now)

    def _unheard(self, pause: float) -> float:
        """Give how much of a pause between two ticks is no peer's silence.

        What came in it may be unread yet, news that refutes a suspicion
        included.  Of a short one an interval counts, so that an instance
        whose ticks are always late still notices deaths.
        """
        if pause > self._timing.eager:
            return pause
        return max(pause - self._timing.interval, 0)

    def _accuse(self, now: float) -> Effects:
        """Publish suspicions of silent neighbours, once a patient spell."""
        accusations: list[Record] = []
        for peer in self._neighbours.values():
            record = self._rumours.get(peer.instance)
            if record is None or record.standing is not Standing.alive:
                continue
            if peer.may_accuse(self._timing, now=now):
                peer.accused_at = now
                accusations.append(replace(record, standing=Standing.suspect))
        return self._rumours.learn(accusations, now=now)

    def _bury(self, now: float) -> Effects:
        """Remove what stayed suspect, or left and fell silent."""
        wait = self._timing.patient - self._timing.eager
        lost = [
            record
            for record in self._rumours.records
            if record.standing is Standing.suspect
            and self._rumours.suspected_for(record, now=now) >= wait
        ]
        silent = {
            name
            for name, peer in self._neighbours.items()
            if peer.silence(now=now) > self._timing.patient
        }
        left = [
            record
            for record in self._rumours.records
            if record.standing is Standing.leaving and record.instance in silent
        ]
        gone = [
            replace(record, standing=Standing.gone) for record in lost + left
        ]
        return self._rumours.learn(gone, now=now)

    def _beat_to(self, peer: Neighbour) -> Send:
        return self._beats.to(peer, self._rumours.own, self._rumours.digest)

    @singledispatchmethod
    def _take(
        self,
        message: object,
        sender: InstanceId,
        now: float,
    ) -> Effects:
        """Ignore what is no message of this part."""
        return ()

    @_take.register
    def _take_beat(
        self,
        beat: Heartbeat,
        sender: InstanceId,
        now: float,
    ) -> Effects:
        peer = self._neighbours.get(sender)
        if peer is None:
            return ()
        if peer.incarnation > beat.incarnation:
            return self._push(peer, now)
        renewed = peer.hear(
            beat,
            echoed_at=self._beats.sent_at(beat.heard),
            now=now,
        )
        standing = Standing.leaving if beat.leaving else Standing.alive
        record = Record(sender, beat.incarnation, beat.counter, standing)
        effects: list[Effect] = list(self._rumours.learn([record], now=now))
        if renewed:
            effects.append(self._beat_to(peer))
        if beat.summary != peer.summary:
            peer.summary = beat.summary
            effects.append(PeerSummary(sender, beat.summary))
        if beat.table != self._rumours.digest:
            effects += self._push(peer, now)
        return tuple(effects)

    @_take.register
    def _take_records(
        self,
        message: Records,
        sender: InstanceId,
        now: float,
    ) -> Effects:
        return self._rumours.learn(message.records, now=now, skip=sender)

    def _push(self, peer: Neighbour, now: float) -> Effects:
        """Send all records to a neighbour, at most once an interval."""
        if now - peer.pushed_at < self._timing.interval:
            return ()
        peer.pushed_at = now
        return (Send(peer.instance, Records(self._rumours.records)),)
