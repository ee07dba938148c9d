"""The control instance: endpoints, desired state, and dispatch if it leads."""

import asyncio
import time
import zlib
from dataclasses import replace
from typing import Any, Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.document import Chosen, Outcome
from cuminstack.fleet import (
    SILENCE_SECONDS,
    ControlBeat,
    Dropped,
    Election,
    EndpointLeft,
    EndpointNews,
    EntryBeat,
    LeaderBeat,
    Submit,
)
from cuminstack.links import Mesh
from cuminstack.logs import log_event
from cuminstack.pool import EndpointReport
from cuminstack.roles._clock import steady_now
from cuminstack.roles._lead import Lead
from cuminstack.roles._memory import EndpointMemory, TermMemory
from cuminstack.roles._ports import EndpointClient, RoleSettings
from cuminstack.roles._register import MESSAGES, RegisterShell
from cuminstack.settings import LogLevel

#: Seconds between two turns of the clockwork; order time-outs are 60 ms.
_TICK_SECONDS: Final = 0.02
#: Turns between heartbeats, so that three fit into the silence after which
#: an instance counts as lost.
_TURNS_OF_BEAT: Final = 5
#: Turns between looks at whether endpoints came or went: each second.
_TURNS_OF_MEMORY: Final = 50
#: Turns between heartbeats to entries while this instance doesn't lead.
_TURNS_OF_IDLE_BEAT: Final = 25
#: Reports older than this, in seconds, are of endpoints that are gone.
_REPORT_SECONDS: Final = 20.0
#: Seconds of touch with an entry until an instance has heard of every
#: endpoint that works for it: two heartbeats of theirs and some.
_WARM_SECONDS: Final = 4.0
#: Silence of an entry, in seconds, that ends the touch with it.
_TOUCH_SECONDS: Final = 1.2
#: Seconds of silence after which an entry is not sent heartbeats any more.
_ENTRY_SECONDS: Final = 10.0


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
        self._client = client
        self._terms = TermMemory(settings.data_folder)
        self._election = Election(
            settings.own,
            highest_term=self._terms.load(),
            now=steady_now(),
        )
        self._lead: Lead | None = None
        self._controls: dict[InstanceId, float] = {}
        self._entries: dict[InstanceId, float] = {}
        self._met_at: dict[InstanceId, float] = {}
        self._endpoint_file = EndpointMemory(settings.data_folder)
        self._reports: dict[EndpointId, tuple[EndpointReport, float]] = {
            report.endpoint: (report, steady_now())
            for report in self._endpoint_file.load()
        }
        self._turns = 0
        self._leaves = False
        self._ticker: asyncio.Task[None] | None = None
        self._mesh = Mesh(
            settings.own,
            incarnation=time.time_ns(),
            receive=self._receive,
            reject=_log_rejected,
        )
        self._register = RegisterShell(
            settings,
            send=self._mesh.send,
            spread=self._spread,
        )

    @property
    def leads(self) -> bool:
        """Whether this instance dispatches."""
        return self._lead is not None

    @property
    def term(self) -> int:
        """Term in which this instance dispatches; 0 if it doesn't."""
        return 0 if self._lead is None else self._lead.term

    @property
    def endpoints(self) -> int:
        """Number of endpoints that sent heartbeats and have not left."""
        return len(self._reports)

    @property
    def waiting(self) -> dict[str, int]:
        """Jobs of which nothing was started, by queue."""
        return {} if self._lead is None else self._lead.waiting

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
        self._follow_election(now)
        self._beat(now)

    async def stop(self) -> None:
        """Stop dispatching and close all links."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._resign()
        await self._mesh.stop()

    def observe(self, report: EndpointReport) -> None:
        """Take a heartbeat of an endpoint, and pass it on."""
        self._mesh.send_all(self._controls, EndpointNews(report))
        self._observe(report)

    def endpoint_left(self, endpoint: EndpointId) -> None:
        """Take that an endpoint has deregistered, and pass it on."""
        self._mesh.send_all(self._controls, EndpointLeft(endpoint))
        self._forget(endpoint)

    async def submit(self, version: int, body: bytes) -> Outcome:
        """Submit a desired state."""
        return await self._register.submit(version, body)

    async def read(self) -> Outcome:
        """Find out which desired state is in force."""
        return await self._register.read()

    def _meet_controls(self, controls: tuple[InstanceId, ...]) -> None:
        for control in controls:
            if control != self._settings.own:
                self._controls.setdefault(control, 0)
        self._mesh.meet(controls)

    async def _tick_forever(self) -> None:
        while True:
            self._tick(steady_now())
            await asyncio.sleep(_TICK_SECONDS)

    def _tick(self, now: float) -> None:
        self._turns += 1
        self._election.tick(weight=self._weight(now), now=now)
        self._terms.keep(self._election.highest_term)
        self._follow_election(now)
        if self._lead is not None:
            self._lead.tick(now=now)
        self._register.tick(self._controls)
        if self._turns % _TURNS_OF_BEAT == 0:
            self._beat(now)
        if self._turns % _TURNS_OF_MEMORY == 0:
            self._remember_endpoints(now)

    def _remember_endpoints(self, now: float) -> None:
        for known, heard_at in tuple(self._reports.values()):
            if now - heard_at > _REPORT_SECONDS:
                self._reports.pop(known.endpoint)
        # What changes with each heartbeat is not worth a sync.
        self._endpoint_file.keep(
            replace(report, sequence=0, cold_seconds=0)
            for report, _ in self._reports.values()
        )

    def _weight(self, now: float) -> int:
        entries = 0
        if self._lead is not None:
            entries = len(self._lead.desk.leased(now=now))
        return entries + len(self._election.live(now=now))

    def _follow_election(self, now: float) -> None:
        term = self._election.term
        if not term:
            self._resign()
        elif self._lead is None:
            self._begin(term, now)
        elif self._lead.term != term:
            self._lead.begin_term(term, now=now)

    def _begin(self, term: int, now: float) -> None:
        log_event(
            'dispatcher.leads',
            LogLevel.warning,
            term=term,
            controls=len(self._election.live(now=now)),
            endpoints=len(self._reports),
        )
        self._lead = Lead(
            term,
            instance=zlib.crc32(self._settings.own.encode()),
            order=self._settings.order,
            client=self._client,
            send=self._mesh.send,
            fenced=self._rise,
        )
        for known, heard_at in tuple(self._reports.values()):
            if now - heard_at < _REPORT_SECONDS:
                self._lead.observe(known, now=now)
        self._beat_entries(now)

    def _rise(self) -> None:
        self._election.fenced(now=steady_now())

    def _resign(self) -> None:
        if self._lead is None:
            return
        log_event(
            'dispatcher.resigned',
            LogLevel.warning,
            term=self._lead.term,
            highest_term=self._election.highest_term,
        )
        self._lead.stop()
        self._lead = None
        self._beat_entries(steady_now())

    def _beat(self, now: float) -> None:
        controls = self._known_controls(now)
        beat = ControlBeat(
            term=max(self._election.term, self._election.highest_term),
            leads=self._lead is not None,
            weight=self._weight(now),
            revision=self._register.revision,
            controls=controls,
            leaves=self._leaves,
        )
        self._mesh.send_all(self._controls, beat)
        if self.leads or self._turns % _TURNS_OF_IDLE_BEAT == 0:
            self._beat_entries(now)

    def _beat_entries(self, now: float) -> None:
        lead = self._lead
        beat = LeaderBeat(
            term=0 if lead is None else lead.term,
            stamp=now,
            controls=self._known_controls(now),
            waiting={} if lead is None else lead.waiting,
        )
        for entry, heard_at in tuple(self._entries.items()):
            if now - heard_at > _ENTRY_SECONDS:
                self._entries.pop(entry)
                self._mesh.leave(entry)
        self._mesh.send_all(self._entries, beat)

    def _known_controls(self, now: float) -> tuple[InstanceId, ...]:
        return (self._settings.own, *self._election.live(now=now))

    def _receive(self, sender: InstanceId, message: Any) -> None:
        now = steady_now()
        match message:
            case ControlBeat():
                self._hear_control(sender, message, now)
            case EntryBeat():
                self._hear_entry(sender, message, now)
            case EndpointNews():
                self._observe(message.report)
            case EndpointLeft():
                self._forget(EndpointId(message.endpoint))
            case Chosen():
                self._register.learn(message)
            case _ if isinstance(message, MESSAGES):
                self._register.receive(sender, message)
            case _ if self._lead is not None:
                self._dispatch(self._lead, sender, message, now)

    def _dispatch(
        self,
        lead: Lead,
        entry: InstanceId,
        message: Any,
        now: float,
    ) -> None:
        if isinstance(message, Dropped):
            lead.drop(entry, message, now=now)
        elif isinstance(message, Submit):
            touch = now - self._met_at.get(entry, now)
            lead.submit(entry, message, is_warm=touch > _WARM_SECONDS, now=now)

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
            self._mesh.send(sender, self._register.news)

    def _hear_entry(
        self,
        sender: InstanceId,
        beat: EntryBeat,
        now: float,
    ) -> None:
        if sender not in self._entries:
            log_event('entry.met', LogLevel.info, entry=sender)
            self._mesh.meet((sender,))
        if now - self._entries.get(sender, 0) > _TOUCH_SECONDS:
            self._met_at[sender] = now
        self._entries[sender] = now
        self._election.hear_entry(sender, beat.leader, now=now)
        if beat.version < self._register.in_force.version:
            self._mesh.send(sender, self._register.news)
        if self._lead is not None:
            self._lead.hear(sender, beat, now=now)

    def _observe(self, report: EndpointReport) -> None:
        now = steady_now()
        self._reports[report.endpoint] = (report, now)
        if self._lead is not None:
            self._lead.observe(report, now=now)

    def _forget(self, endpoint: EndpointId) -> None:
        self._reports.pop(endpoint, None)
        if self._lead is not None:
            self._lead.leave(endpoint, now=steady_now())

    def _spread(self, chosen: Chosen) -> None:
        """Tell all control instances, and the entries if this one leads."""
        self._mesh.send_all(self._controls, chosen)
        if self._lead is not None:
            self._mesh.send_all(self._entries, chosen)


def _log_rejected(sender: InstanceId | None, error: Exception) -> None:
    log_event(
        'link.rejected',
        LogLevel.warning,
        sender=sender,
        error=error,
    )
