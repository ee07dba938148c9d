"""An entry that dispatches while no control instance can."""

from collections.abc import Mapping
from typing import Any

from cuminstack.core import InstanceId
from cuminstack.fleet import (
    ControlBeat,
    DeputyElection,
    LeaderBeat,
)
from cuminstack.links import Mesh
from cuminstack.roles._candidate import Candidate
from cuminstack.roles._clock import TURNS_OF_BEAT, steady_now
from cuminstack.roles._ports import EndpointClient, RoleSettings


class Deputy:
    """The part of an entry that stands in for the control instances.

    Args:
        settings: What the process is told.
        client: Carries orders to endpoints.
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
        self._others: tuple[InstanceId, ...] = ()
        self._turns = 0
        self._election = DeputyElection(settings.own, now=steady_now())
        self._candidate = Candidate(
            settings.own,
            zone=settings.zone,
            election=self._election,
            order=settings.order,
            client=client,
            mesh=mesh,
            is_deputy=True,
        )

    @property
    def leads(self) -> bool:
        """Whether this entry dispatches."""
        return self._candidate.leads

    @property
    def work(self) -> Mapping[str, float]:
        """How much of each kind of work its process has done."""
        return self._candidate.work

    def is_needed(self, *, now: float) -> bool:
        """Tell whether this entry leads, or may come to."""
        return self.leads or self._election.misses_controls(now=now)

    def tick(self, *, now: float, pause: float) -> None:
        """Do what is due; call it every 20 ms while it is needed.

        Args:
            now: The present time.
            pause: Seconds that were planned since the last tick.
        """
        self._turns += 1
        led = self._candidate.leads
        self._candidate.tick(now=now, pause=pause)
        is_due = self._turns % TURNS_OF_BEAT == 0
        if is_due and self._election.misses_controls(now=now):
            self._beat(now)
        if self._candidate.leads and (is_due or not led):
            self._beat_entries(now)

    def resign(self) -> None:
        """Dispatch no more, as this entry is about to end."""
        self._election.leave()
        self._candidate.resign()

    def stop(self) -> None:
        """Carry no more orders, as this entry ends."""
        self._candidate.stop()

    def hear_leader(self, beat: LeaderBeat, *, now: float) -> None:
        """Take a heartbeat of a control instance, or of another deputy."""
        if beat.from_deputy:
            return
        self._election.hear_leader(beat, now=now)
        if beat.term:
            self._others = tuple(
                entry for entry in beat.deputies if entry != self._own
            )
            self._mesh.add_peers(beat.deputies)
        self._candidate.forget_old_reports(now=now)

    def receive(self, sender: InstanceId, message: Any, *, now: float) -> None:
        """Take what other deputies, entries and control instances tell."""
        if isinstance(message, ControlBeat):
            self._election.hear(sender, message, now=now)
        else:
            self._candidate.receive(sender, message, now=now)

    def _beat(self, now: float) -> None:
        beat = ControlBeat(
            term=max(self._election.term, self._election.highest_term),
            leads=self._candidate.leads,
            weight=self._candidate.weight(now=now),
            revision=0,
            controls=(),
        )
        self._mesh.send_all(self._others, beat)

    def _beat_entries(self, now: float) -> None:
        beat = LeaderBeat(
            term=self._candidate.term,
            stamp=now,
            controls=(),
            waiting=self._candidate.waiting,
            from_deputy=True,
        )
        self._candidate.tell_entries(beat)
