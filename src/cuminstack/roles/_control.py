"""The control instance: endpoints, desired state, and dispatch if elected."""

import asyncio
import time
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Final

from cuminstack.core import EndpointId, InstanceId, ZoneName
from cuminstack.document import Chosen, EvacuationOrder, Outcome, Unavailable
from cuminstack.fleet import (
    HEARTBEAT_TIMEOUT_SECONDS,
    ControlBeat,
    DeputyPlan,
    DeputyShard,
    Election,
    EndpointLeft,
    EndpointReports,
    EntryBeat,
    HeartbeatBuffer,
    LeaderBeat,
    SpeedUpdate,
    plan_deputies,
)
from cuminstack.links import Mesh
from cuminstack.listeners import Listeners
from cuminstack.logs import log_event
from cuminstack.pool import EndpointReport
from cuminstack.roles._candidate import Candidate
from cuminstack.roles._clock import (
    TICK_SECONDS,
    HeartbeatTimer,
    steady_now,
)
from cuminstack.roles._desired_state import (
    DOCUMENT_MESSAGES,
    DesiredStateRunner,
)
from cuminstack.roles._evacuations import unserved_services
from cuminstack.roles._guard import contain_errors
from cuminstack.roles._ports import EndpointClient, RoleSettings
from cuminstack.roles._rejected import log_rejected
from cuminstack.roles._restart_state import EndpointStore, TermStore
from cuminstack.settings import LogLevel

#: Ticks between two saves of the known endpoints: five seconds, since after a
#: restart their heartbeats supply what was not saved.  Endpoints that left or
#: drain are saved at once, as a restarted instance would use them again.
_ENDPOINT_SAVE_TICKS: Final = 250
#: While this instance doesn't lead, each third heartbeat goes to deputies: two
#: fit into the silence after which a deputy stands for election.
_IDLE_DEPUTY_BEATS: Final = 3
#: While it doesn't lead, each tenth heartbeat goes to all entries; it only
#: announces that the instance is reachable.
_IDLE_ENTRY_BEATS: Final = 10
#: Ticks between two batches of endpoint heartbeats that report no change; an
#: endpoint sends a heartbeat every 1.5 s.
_REPORT_FLUSH_TICKS: Final = 10


class ControlRole:
    """Runs the components of a control instance.

    Args:
        settings: Configuration of the process.
        client: Client that sends orders to endpoints.
        listeners: Listeners of the process, which bound what clients use; by
            default with the default limits.
    """

    def __init__(
        self,
        settings: RoleSettings,
        *,
        client: EndpointClient,
        listeners: Listeners | None = None,
    ) -> None:
        self._settings = settings
        self._term_store = TermStore(settings.data_folder)
        self._election = Election(
            settings.own,
            highest_term=self._term_store.load(),
            now=steady_now(),
        )
        # Time of the last heartbeat of each; 0 before the first.
        self._controls: dict[InstanceId, float] = {}
        self._heartbeat_buffer = HeartbeatBuffer()
        self._plan = DeputyPlan()
        self._endpoint_store = EndpointStore(settings.data_folder)
        self._saved_departures = 0
        self._ticks = 0
        self._heartbeat_timer = HeartbeatTimer()
        self._beats = 0
        self._is_leaving = False
        self._ticker: asyncio.Task[None] | None = None
        self._mesh = Mesh(
            settings.own,
            incarnation=time.time_ns(),
            receive=contain_errors(self._receive),
            reject=log_rejected,
            listeners=listeners,
        )
        self._candidate = Candidate(
            settings.own,
            zone=settings.zone,
            election=self._election,
            queue_order=settings.order,
            client=client,
            mesh=self._mesh,
            reports=self._endpoint_store.load(),
        )
        self._desired_state = DesiredStateRunner(
            settings,
            send=self._mesh.send,
            broadcast=self._broadcast,
        )

    @property
    def term(self) -> int:
        """Term in which this instance dispatches; 0 if it doesn't."""
        return self._candidate.term

    @property
    def endpoints(self) -> int:
        """Number of endpoints that sent heartbeats and didn't deregister."""
        return len(self._candidate.reports)

    @property
    def look_ahead(self) -> dict[str, float]:
        """Counts of reservations and backfills, if this instance dispatches."""
        return self._candidate.look_ahead

    @property
    def waiting(self) -> dict[str, int]:
        """Number of jobs without a started task, by queue."""
        return self._candidate.waiting

    @property
    def slowness_counts(self) -> Mapping[str, int]:
        """Number of endpoints by the upper bound of their learned slowness."""
        return self._candidate.slowness_counts

    @property
    def work(self) -> Mapping[str, float]:
        """Amount of each kind of work since the start."""
        return self._candidate.work

    @property
    def evacuated_zones(self) -> frozenset[ZoneName]:
        """The availability zones in which this instance starts no task."""
        return self._candidate.evacuated_zones

    @property
    def unserved_services(self) -> tuple[str, ...]:
        """Services whose endpoints are all in evacuated zones."""
        return unserved_services(self._candidate.reports, self.evacuated_zones)

    async def start(self) -> None:
        """Open links to the other control instances, and start to tick."""
        await self._mesh.start()
        self._connect_controls(self._settings.controls)
        self._ticker = asyncio.create_task(self._tick_forever())

    def leave(self) -> None:
        """Hand over dispatching before this instance ends."""
        self._is_leaving = True
        self._election.leave()
        now = steady_now()
        self._candidate.follow_election(now=now)
        self._send_beats(now)

    async def stop(self) -> None:
        """Stop dispatching and close all links."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._candidate.stop()
        await self._mesh.stop()

    def observe(self, report: EndpointReport) -> None:
        """Record a heartbeat of an endpoint and forward it to candidates."""
        now = steady_now()
        self._send_to_candidates(self._heartbeat_buffer.add(report))
        self._candidate.observe(report, now=now)

    def endpoint_left(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that has deregistered, and notify candidates."""
        now = steady_now()
        self._heartbeat_buffer.forget(endpoint)
        self._mesh.send_all(
            (*self._controls, *self._plan.deputies), EndpointLeft(endpoint)
        )
        self._candidate.remove_endpoint(endpoint, now=now)

    async def submit(self, version: int, body: bytes) -> Outcome:
        """Submit a desired state and return the outcome."""
        return await self._desired_state.submit(version, body)

    async def read(self) -> Outcome:
        """Query a majority for the desired state in force."""
        return await self._desired_state.read()

    async def order_evacuation(self, order: EvacuationOrder) -> Outcome | None:
        """Start or withdraw the evacuation of an availability zone.

        Args:
            order: The order.

        Returns:
            The outcome; None if the zone is unknown, which changes nothing.
        """
        if not self._knows_zone(order.zone):
            if not self._candidate.has_heard_endpoints(now=steady_now()):
                return Unavailable()
            # An order that another instance accepted must not be refused.
            outcome = await self.read()
            if isinstance(outcome, Unavailable):
                return outcome
            if order.zone not in outcome.value.evacuations:
                return None
        return await self._desired_state.order_evacuation(order)

    def _knows_zone(self, zone: ZoneName) -> bool:
        return (
            zone in self._settings.zones
            or zone in self._desired_state.in_force.evacuations
            or self._candidate.has_seen_zone(zone)
        )

    def _send_to_candidates(self, reports: EndpointReports | None) -> None:
        """Forward heartbeats to the instances that may dispatch."""
        if reports is None:
            return
        self._mesh.send_all(self._controls, reports)
        for shard in self._plan.shards:
            selected = shard.select(reports)
            if selected.reports:
                self._mesh.send_all(shard.deputies, selected)

    def _send_speeds(self, update: SpeedUpdate | None) -> None:
        """Send learned speeds to the instances that may dispatch."""
        if update is None:
            return
        self._mesh.send_all(self._controls, EndpointReports((), update))
        zone_of = {
            report.endpoint: report.zone for report in self._candidate.reports
        }
        for shard in self._plan.shards:
            selected = update.select(shard.zones, zone_of)
            self._mesh.send_all(shard.deputies, EndpointReports((), selected))

    def _update_plan(self, now: float) -> None:
        self._plan = plan_deputies(
            self._candidate.contacts.infos(now=now),
            endpoints=Counter(
                report.zone for report in self._candidate.reports
            ),
        )

    def _connect_controls(self, controls: tuple[InstanceId, ...]) -> None:
        for control in controls:
            if control != self._settings.own:
                self._controls.setdefault(control, 0)
        self._mesh.add_peers(controls)

    async def _tick_forever(self) -> None:
        tick = contain_errors(self._tick)
        while True:
            tick(steady_now())
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self, now: float) -> None:
        self._ticks += 1
        was_leader = self._candidate.leads
        # Before this instance may begin to dispatch.
        self._learn_evacuations(now)
        self._candidate.tick(now=now)
        self._term_store.save_in_background(self._election.highest_term)
        self._desired_state.tick(self._controls)
        if self._heartbeat_timer.is_due(now=now):
            self._send_beats(now)
        elif self._candidate.leads and not was_leader:
            self._send_leader_beats(now)
        self._send_speeds(self._candidate.speed_update(now=now))
        if self._ticks % _REPORT_FLUSH_TICKS == 0:
            self._send_to_candidates(self._heartbeat_buffer.flush())
        if self._ticks % _ENDPOINT_SAVE_TICKS == 0 or self._has_departures:
            self._save_endpoints(now)

    def _learn_evacuations(self, now: float) -> None:
        self._candidate.learn_evacuations(
            self._desired_state.evacuations,
            self._desired_state.unsettled_evacuations,
            now=now,
        )

    @property
    def _has_departures(self) -> bool:
        """Whether endpoints that left or drain are saved as usable ones."""
        is_saved = self._saved_departures == self._candidate.departures
        return not (is_saved or self._endpoint_store.is_saving)

    def _save_endpoints(self, now: float) -> None:
        if not self._endpoint_store.is_saving:
            self._saved_departures = self._candidate.departures
        self._candidate.drop_stale_reports(now=now)
        reports = self._candidate.reports
        self._heartbeat_buffer.keep_only(report.endpoint for report in reports)
        # Fields that change with each heartbeat would cost a sync every time.
        self._endpoint_store.save_in_background(
            replace(report, sequence=0, cold_seconds=0) for report in reports
        )

    def _send_beats(self, now: float) -> None:
        self._update_plan(now)
        self._beats += 1
        beat = ControlBeat(
            term=max(self._election.term, self._election.highest_term),
            leads=self._candidate.leads,
            weight=self._candidate.weight(now=now),
            revision=self._desired_state.revision,
            controls=self._known_controls(now),
            leaves=self._is_leaving,
            resigned_term=self._election.resigned_term,
            leaderless=self._election.is_leaderless(now=now),
        )
        self._mesh.send_all(self._controls, beat)
        if self._candidate.leads or self._beats % _IDLE_ENTRY_BEATS == 0:
            self._send_leader_beats(now)
        elif self._beats % _IDLE_DEPUTY_BEATS == 0:
            self._send_leader_beats(now, only=self._plan.deputies)

    def _send_leader_beats(
        self,
        now: float,
        *,
        only: tuple[InstanceId, ...] | None = None,
    ) -> None:
        receivers: defaultdict[DeputyShard, list[InstanceId]] = defaultdict(
            list
        )
        for entry in self._candidate.contacts.known if only is None else only:
            shard = self._plan.shard_of(self._candidate.contacts.zone_of(entry))
            receivers[shard].append(entry)
        beat = LeaderBeat(
            term=self._candidate.term,
            stamp=now,
            controls=self._known_controls(now),
            waiting=self._candidate.waiting,
            reach=self._election.reach(now=now),
        )
        for shard, entries in receivers.items():
            shard_beat = replace(
                beat,
                deputies=shard.deputies,
                entries=len(shard.entries),
                zones=shard.zones,
            )
            self._candidate.send_to_entries(shard_beat, only=entries)

    def _known_controls(self, now: float) -> tuple[InstanceId, ...]:
        return (self._settings.own, *self._election.live(now=now))

    def _receive(self, sender: InstanceId, message: Any) -> None:
        now = steady_now()
        match message:
            case ControlBeat():
                self._receive_control_beat(sender, message, now)
            case EntryBeat():
                self._candidate.receive(sender, message, now=now)
                self._send_newer_state(sender, message)
            case Chosen():
                self._desired_state.learn(message)
            case _ if isinstance(message, DOCUMENT_MESSAGES):
                self._desired_state.receive(sender, message)
            case _:
                self._candidate.receive(sender, message, now=now)

    def _receive_control_beat(
        self,
        sender: InstanceId,
        beat: ControlBeat,
        now: float,
    ) -> None:
        silence = now - self._controls.get(sender, 0)
        if silence > HEARTBEAT_TIMEOUT_SECONDS:
            log_event('control.met', LogLevel.info, control=sender)
        self._connect_controls((sender, *beat.controls))
        self._controls[sender] = now
        self._election.receive_beat(sender, beat, now=now)
        if beat.revision < self._desired_state.revision:
            self._mesh.send(sender, self._desired_state.latest_chosen)

    def _send_newer_state(self, entry: InstanceId, beat: EntryBeat) -> None:
        has_older = beat.version < self._desired_state.in_force.version
        # Earlier versions of entries don't tell the revision.
        if beat.revision is not None:
            has_older = beat.revision < self._desired_state.revision
        if has_older:
            self._mesh.send(entry, self._desired_state.latest_chosen)

    def _broadcast(self, chosen: Chosen) -> None:
        """Send a value to control instances, and if leading, to entries."""
        self._learn_evacuations(steady_now())
        self._mesh.send_all(self._controls, chosen)
        if self._candidate.leads:
            self._mesh.send_all(self._candidate.contacts.known, chosen)
