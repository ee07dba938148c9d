"""An entry that dispatches while no control instance can."""

from collections.abc import Mapping
from typing import Any

from cuminstack.core import InstanceId
from cuminstack.document import Evacuations
from cuminstack.fleet import (
    ControlBeat,
    DeputyElection,
    EndpointReports,
    LeaderBeat,
)
from cuminstack.links import Mesh
from cuminstack.roles._candidate import Candidate
from cuminstack.roles._clock import HeartbeatTimer, steady_now
from cuminstack.roles._ports import EndpointClient, RoleSettings


class Deputy:
    """Dispatches at an entry while no control instance can.

    Args:
        settings: Configuration of the process.
        client: Client that sends orders to endpoints.
        mesh: Links to other instances.
    """

    def __init__(
        self,
        settings: RoleSettings,
        *,
        client: EndpointClient,
        mesh: Mesh,
    ) -> None:
        self._own = settings.own
        self._mesh = mesh
        self._other_deputies: tuple[InstanceId, ...] = ()
        self._heartbeat_timer = HeartbeatTimer()
        self._election = DeputyElection(settings.own, now=steady_now())
        self._candidate = Candidate(
            settings.own,
            zone=settings.zone,
            election=self._election,
            queue_order=settings.order,
            client=client,
            mesh=mesh,
            is_deputy=True,
        )

    @property
    def leads(self) -> bool:
        """Whether this entry dispatches."""
        return self._candidate.leads

    @property
    def other_deputies(self) -> tuple[InstanceId, ...]:
        """The other deputies of this entry's shard."""
        return self._other_deputies

    @property
    def work(self) -> Mapping[str, float]:
        """Amount of each kind of work of the process since the start."""
        return self._candidate.work

    def is_active(self, *, now: float) -> bool:
        """Return whether this entry dispatches or may soon have to."""
        return self.leads or self._election.has_lost_controls(now=now)

    def tick(self, *, now: float, interval: float) -> None:
        """Advance the election; call every 20 ms while `is_active`.

        Args:
            now: The present time.
            interval: Planned seconds since the last tick.
        """
        was_leader = self._candidate.leads
        self._candidate.tick(now=now, interval=interval)
        is_heartbeat_due = self._heartbeat_timer.is_due(now=now)
        if is_heartbeat_due and self._election.has_lost_controls(now=now):
            self._send_deputy_beats(now)
        if self._candidate.leads and (is_heartbeat_due or not was_leader):
            self._send_leader_beats(now)
        update = self._candidate.speed_update(now=now)
        if update is not None:
            self._mesh.send_all(
                self._other_deputies, EndpointReports((), update)
            )

    def resign(self) -> None:
        """Stop dispatching for good, because this entry is about to end."""
        self._election.leave()
        self._candidate.resign()

    def stop(self) -> None:
        """Stop dispatching and cancel the orders in progress."""
        self._candidate.stop()

    def learn_evacuations(self, in_force: Evacuations, *, now: float) -> None:
        """Learn the evacuations of a newer value that is in force."""
        self._candidate.learn_evacuations(in_force, now=now)

    def receive_leader_beat(self, beat: LeaderBeat, *, now: float) -> None:
        """Handle a heartbeat of a control instance; ignore a deputy's."""
        if beat.from_deputy:
            return
        self._election.receive_leader_beat(beat, now=now)
        if beat.term:
            self._follow_plan(beat)
        self._candidate.drop_stale_reports(now=now)

    def receive(self, sender: InstanceId, message: Any, *, now: float) -> None:
        """Handle a message of a deputy, an entry or a control instance."""
        if isinstance(message, ControlBeat):
            self._election.receive_beat(sender, message, now=now)
        else:
            self._candidate.receive(sender, message, now=now)

    def _follow_plan(self, beat: LeaderBeat) -> None:
        """Take over the deputies of this entry's shard, and its zones."""
        others = tuple(entry for entry in beat.deputies if entry != self._own)
        for former in self._other_deputies:
            if former not in others:
                self._mesh.leave(former)
        self._other_deputies = others
        self._mesh.add_peers(others)
        self._candidate.cover(beat.zones)

    def _send_deputy_beats(self, now: float) -> None:
        beat = ControlBeat(
            term=max(self._election.term, self._election.highest_term),
            leads=self._candidate.leads,
            weight=self._candidate.weight(now=now),
            revision=0,
            controls=(),
        )
        self._mesh.send_all(self._other_deputies, beat)

    def _send_leader_beats(self, now: float) -> None:
        beat = LeaderBeat(
            term=self._candidate.term,
            stamp=now,
            controls=(),
            waiting=self._candidate.waiting,
            from_deputy=True,
        )
        self._candidate.send_to_entries(beat)
