"""The control instance: endpoints, desired state, and dispatch if it leads."""

import asyncio
import time
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.document import Chosen, Outcome
from cuminstack.fleet import (
    SILENCE_SECONDS,
    ControlBeat,
    Election,
    EndpointLeft,
    EndpointNews,
    EntryBeat,
    HeartbeatBuffer,
    LeaderBeat,
    choose_deputies,
)
from cuminstack.links import Mesh
from cuminstack.logs import log_event
from cuminstack.pool import EndpointReport
from cuminstack.roles._candidate import Candidate
from cuminstack.roles._clock import TICK_SECONDS, TURNS_OF_BEAT, steady_now
from cuminstack.roles._memory import EndpointMemory, TermMemory
from cuminstack.roles._ports import EndpointClient, RoleSettings
from cuminstack.roles._register import MESSAGES, RegisterShell
from cuminstack.roles._rejected import log_rejected
from cuminstack.settings import LogLevel

#: Turns between looks at whether endpoints came or went: each five seconds, as
#: a restart learns from their heartbeats what it has missed.
_TURNS_OF_MEMORY: Final = 250
#: Turns between heartbeats to deputies while this instance doesn't lead: two
#: fit into the silence after which a deputy stands.
_TURNS_OF_IDLE_BEAT: Final = 15
#: The same to all entries, which only learn that it is there.
_TURNS_TO_ENTRIES: Final = 50
#: Turns between news of endpoints that are only still there; these send a
#: heartbeat each 1.5 s.
_TURNS_OF_NEWS: Final = 10


class ControlRole:
    """The parts of a control instance, and their life cycle.

    Args:
        settings: What the process is told.
        client: Carries orders to endpoints.
    """

    def __init__(
        self,
        settings: RoleSettings,
        *,
        client: EndpointClient,
    ) -> None:
        self._settings = settings
        self._terms = TermMemory(settings.data_folder)
        self._election = Election(
            settings.own,
            highest_term=self._terms.load(),
            now=steady_now(),
        )
        self._controls: dict[InstanceId, float] = {}
        self._heartbeats = HeartbeatBuffer()
        self._endpoint_file = EndpointMemory(settings.data_folder)
        self._turns = 0
        self._leaves = False
        self._ticker: asyncio.Task[None] | None = None
        self._mesh = Mesh(
            settings.own,
            incarnation=time.time_ns(),
            receive=self._receive,
            reject=log_rejected,
        )
        self._candidate = Candidate(
            settings.own,
            zone=settings.zone,
            election=self._election,
            order=settings.order,
            client=client,
            mesh=self._mesh,
            reports=self._endpoint_file.load(),
        )
        self._register = RegisterShell(
            settings,
            send=self._mesh.send,
            spread=self._spread,
        )

    @property
    def term(self) -> int:
        """Term in which this instance dispatches; 0 if it doesn't."""
        return self._candidate.term

    @property
    def endpoints(self) -> int:
        """Number of endpoints that sent heartbeats and have not left."""
        return len(self._candidate.reports)

    @property
    def waiting(self) -> dict[str, int]:
        """Jobs of which nothing was started, by queue."""
        return self._candidate.waiting

    @property
    def work(self) -> Mapping[str, float]:
        """How much of each kind of work was done."""
        return self._candidate.work

    async def start(self) -> None:
        """Link up with the other control instances."""
        await self._mesh.start()
        self._meet_controls(self._settings.controls)
        self._ticker = asyncio.create_task(self._tick_forever())

    def leave(self) -> None:
        """Have another instance dispatch, before this one ends."""
        self._leaves = True
        self._election.leave()
        now = steady_now()
        self._candidate.follow_election(now=now)
        self._beat(now)

    async def stop(self) -> None:
        """Stop dispatching and close all links."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._candidate.stop()
        await self._mesh.stop()

    def observe(self, report: EndpointReport) -> None:
        """Take a heartbeat of an endpoint, and pass it on."""
        now = steady_now()
        self._tell_candidates(self._heartbeats.take(report), now)
        self._candidate.observe(report, now=now)

    def endpoint_left(self, endpoint: EndpointId) -> None:
        """Take that an endpoint has deregistered, and pass it on."""
        now = steady_now()
        self._heartbeats.forget(endpoint)
        self._mesh.send_all(self._candidates(now), EndpointLeft(endpoint))
        self._candidate.forget(endpoint, now=now)

    async def submit(self, version: int, body: bytes) -> Outcome:
        """Submit a desired state."""
        return await self._register.submit(version, body)

    async def read(self) -> Outcome:
        """Find out which desired state is in force."""
        return await self._register.read()

    def _candidates(self, now: float) -> tuple[InstanceId, ...]:
        """List the other instances that may come to dispatch."""
        return (*self._controls, *self._deputies(now))

    def _tell_candidates(self, news: EndpointNews | None, now: float) -> None:
        if news is not None:
            self._mesh.send_all(self._candidates(now), news)

    def _deputies(self, now: float) -> tuple[InstanceId, ...]:
        return choose_deputies(self._candidate.touched(now=now))

    def _meet_controls(self, controls: tuple[InstanceId, ...]) -> None:
        for control in controls:
            if control != self._settings.own:
                self._controls.setdefault(control, 0)
        self._mesh.add_peers(controls)

    async def _tick_forever(self) -> None:
        while True:
            self._tick(steady_now())
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self, now: float) -> None:
        self._turns += 1
        led = self._candidate.leads
        self._candidate.tick(now=now)
        self._terms.keep(self._election.highest_term)
        self._register.tick(self._controls)
        if self._turns % TURNS_OF_BEAT == 0:
            self._beat(now)
        elif self._candidate.leads and not led:
            self._beat_entries(now)
        if self._turns % _TURNS_OF_NEWS == 0:
            self._tell_candidates(self._heartbeats.flush(), now)
        if self._turns % _TURNS_OF_MEMORY == 0:
            self._remember_endpoints(now)

    def _remember_endpoints(self, now: float) -> None:
        self._candidate.forget_old_reports(now=now)
        known = self._candidate.reports
        self._heartbeats.keep_only(report.endpoint for report in known)
        # What changes with each heartbeat is not worth a sync.
        self._endpoint_file.keep(
            replace(report, sequence=0, cold_seconds=0) for report in known
        )

    def _beat(self, now: float) -> None:
        beat = ControlBeat(
            term=max(self._election.term, self._election.highest_term),
            leads=self._candidate.leads,
            weight=self._candidate.weight(now=now),
            revision=self._register.revision,
            controls=self._known_controls(now),
            leaves=self._leaves,
        )
        self._mesh.send_all(self._controls, beat)
        if self._candidate.leads or self._turns % _TURNS_TO_ENTRIES == 0:
            self._beat_entries(now)
        elif self._turns % _TURNS_OF_IDLE_BEAT == 0:
            self._beat_entries(now, only=self._deputies(now))

    def _beat_entries(
        self,
        now: float,
        *,
        only: tuple[InstanceId, ...] | None = None,
    ) -> None:
        beat = LeaderBeat(
            term=self._candidate.term,
            stamp=now,
            controls=self._known_controls(now),
            waiting=self._candidate.waiting,
            deputies=self._deputies(now),
            entries=len(self._candidate.touched(now=now)),
        )
        self._candidate.tell_entries(beat, only=only)

    def _known_controls(self, now: float) -> tuple[InstanceId, ...]:
        return (self._settings.own, *self._election.live(now=now))

    def _receive(self, sender: InstanceId, message: Any) -> None:
        now = steady_now()
        match message:
            case ControlBeat():
                self._hear_control(sender, message, now)
            case EntryBeat():
                self._candidate.receive(sender, message, now=now)
                self._update_entry(sender, message)
            case Chosen():
                self._register.learn(message)
            case _ if isinstance(message, MESSAGES):
                self._register.receive(sender, message)
            case _:
                self._candidate.receive(sender, message, now=now)

    def _hear_control(
        self,
        sender: InstanceId,
        beat: ControlBeat,
        now: float,
    ) -> None:
        silence = now - self._controls.get(sender, 0)
        if silence > SILENCE_SECONDS:
            log_event('control.met', LogLevel.info, control=sender)
        self._meet_controls((sender, *beat.controls))
        self._controls[sender] = now
        self._election.hear(sender, beat, now=now)
        if beat.revision < self._register.revision:
            self._mesh.send(sender, self._register.chosen)

    def _update_entry(self, entry: InstanceId, beat: EntryBeat) -> None:
        if beat.version < self._register.in_force.version:
            self._mesh.send(entry, self._register.chosen)

    def _spread(self, chosen: Chosen) -> None:
        """Tell all control instances, and the entries if this one leads."""
        self._mesh.send_all(self._controls, chosen)
        if self._candidate.leads:
            self._mesh.send_all(self._candidate.entries, chosen)
