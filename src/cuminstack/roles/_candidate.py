"""An instance that is eligible to dispatch, and dispatches while elected."""

import secrets
from collections.abc import Iterable, Mapping
from typing import Any, Final

from cuminstack.core import EndpointId, InstanceId, ZoneName
from cuminstack.document import NO_EVACUATIONS, Evacuations
from cuminstack.fleet import (
    Carried,
    Carry,
    Dropped,
    Election,
    EndpointLeft,
    EndpointReports,
    EntryBeat,
    LeaderBeat,
    SpeedRecords,
    SpeedUpdate,
    Submit,
    choose_evenly_spaced,
)
from cuminstack.links import Mesh
from cuminstack.logs import log_event
from cuminstack.pool import EndpointReport, Fenced, TokensLow
from cuminstack.roles._active_dispatcher import ActiveDispatcher
from cuminstack.roles._carrier import Carrier
from cuminstack.roles._clock import TICK_SECONDS, steady_now
from cuminstack.roles._entry_contacts import EntryContacts
from cuminstack.roles._evacuations import ObeyedEvacuations
from cuminstack.roles._ports import EndpointClient
from cuminstack.roles._work import WorkLog
from cuminstack.settings import LogLevel

#: Age of the newest report, in seconds, after which an endpoint is considered
#: lost.
_REPORT_LIFETIME_SECONDS: Final = 20.0
#: Seconds after a start without saved endpoints until most of them have sent a
#: heartbeat; before that, deputies know the endpoints better.
_FIRST_HEARTBEATS_SECONDS: Final = 1.5
#: Seconds of contact with an entry until an instance has received a heartbeat
#: of every endpoint that the entry's jobs may use: two of their heartbeat
#: intervals and a margin.
_WARM_UP_SECONDS: Final = 4.0
#: Maximum number of entries that carry orders if hardly any control instance
#: can: together they have about the processor time of the control instances.
_MAX_ENTRY_CARRIERS: Final = 12
#: Bits of a dispatcher's random session number, so many that two dispatchers
#: never draw the same one.
_SESSION_BITS: Final = 48
#: Decimal places of ages in seconds in the log.
_AGE_DIGITS: Final = 1


class Candidate:
    """Tracks endpoints and entries, and dispatches while elected.

    Args:
        own: This instance.
        zone: Its availability zone.
        election: Decides whether it dispatches.
        queue_order: Name of the scheduling policy.
        client: Client that sends orders to endpoints.
        mesh: Links to other instances.
        reports: Endpoint reports that were saved before a restart.
        is_deputy: Whether this is an entry, which dispatches only while no
            control instance can.
    """

    def __init__(
        self,
        own: InstanceId,
        *,
        zone: str,
        election: Election,
        queue_order: str,
        client: EndpointClient,
        mesh: Mesh,
        reports: Iterable[EndpointReport] = (),
        is_deputy: bool = False,
    ) -> None:
        self._is_deputy = is_deputy
        self._own = own
        self._election = election
        self._queue_order = queue_order
        self._mesh = mesh
        self._work = WorkLog(mesh)
        self._carrier = Carrier(
            zone=zone,
            client=client,
            send=mesh.send,
            work=self._work,
        )
        self._dispatcher: ActiveDispatcher | None = None
        self._contacts = EntryContacts()
        self._zones: frozenset[ZoneName] = frozenset()
        self._evacuations = ObeyedEvacuations()
        self._departures = 0
        self._speed_records = SpeedRecords()
        now = steady_now()
        self._reports: dict[EndpointId, tuple[EndpointReport, float]] = {
            report.endpoint: (report, now) for report in reports
        }
        self._seen_zones = {report.zone for report, _ in self._reports.values()}
        self._heard_endpoints_at = now + _FIRST_HEARTBEATS_SECONDS
        self._knows_endpoints_at = now
        if not self._reports:
            self._knows_endpoints_at = self._heard_endpoints_at

    @property
    def leads(self) -> bool:
        """Whether this instance dispatches."""
        return self._dispatcher is not None

    @property
    def work(self) -> Mapping[str, float]:
        """Amount of each kind of work since the start."""
        return self._work.totals

    @property
    def term(self) -> int:
        """Term in which this instance dispatches; 0 if it doesn't."""
        return 0 if self._dispatcher is None else self._dispatcher.term

    @property
    def look_ahead(self) -> dict[str, float]:
        """Counts of reservations and backfills, if this instance dispatches."""
        return {} if self._dispatcher is None else self._dispatcher.look_ahead

    @property
    def waiting(self) -> dict[str, int]:
        """Number of jobs without a started task, by queue."""
        return {} if self._dispatcher is None else self._dispatcher.waiting

    @property
    def slowness_counts(self) -> Mapping[str, int]:
        """Number of endpoints by the upper bound of their learned slowness."""
        if self._dispatcher is None:
            return {}
        return self._dispatcher.speeds(now=steady_now()).distribution

    @property
    def departures(self) -> int:
        """Number of endpoints that left or began to drain since the start."""
        return self._departures

    @property
    def contacts(self) -> EntryContacts:
        """Entries that this instance hears."""
        return self._contacts

    @property
    def reports(self) -> tuple[EndpointReport, ...]:
        """The newest heartbeat of each known endpoint."""
        return tuple(report for report, _ in self._reports.values())

    @property
    def evacuated_zones(self) -> frozenset[ZoneName]:
        """The availability zones in which this instance starts no task."""
        return self._evacuations.zones

    def has_seen_zone(self, zone: ZoneName) -> bool:
        """Return whether any endpoint has reported a zone since the start."""
        return zone in self._seen_zones

    def has_heard_endpoints(self, *, now: float) -> bool:
        """Return whether each reachable endpoint has sent a heartbeat."""
        return now >= self._heard_endpoints_at

    def learn_evacuations(
        self,
        in_force: Evacuations,
        unsettled: Evacuations = NO_EVACUATIONS,
        *,
        now: float,
    ) -> None:
        """Learn the evacuations, and obey them if this instance dispatches.

        Args:
            in_force: Those of the newest value known to be in force.
            unsettled: Those of a newer value that was only accepted here.
            now: The present time.
        """
        self._evacuations.learn(in_force, unsettled)
        self._obey_evacuations(now)

    def cover(self, zones: Iterable[ZoneName]) -> None:
        """Dispatch only for endpoints in some zones; all if there are none."""
        self._zones = frozenset(zones)

    def weight(self, *, now: float) -> int:
        """Return the number of live control instances and of followers."""
        entries = 0
        if self._dispatcher is not None:
            entries = len(self._dispatcher.service.leased_entries(now=now))
        return entries + len(self._election.live(now=now))

    def tick(self, *, now: float, interval: float = TICK_SECONDS) -> None:
        """Advance the election, and dispatch if elected.

        Args:
            now: The present time.
            interval: Planned seconds since the last tick.
        """
        self._work.tick(interval, now=now)
        self._election.tick(
            weight=self.weight(now=now),
            now=now,
            relieves_deputies=now >= self._knows_endpoints_at,
        )
        self.follow_election(now=now)
        if self._dispatcher is not None:
            entries = self._entry_carriers(now)
            if self._is_deputy:
                self._dispatcher.tick(entries, (), now=now)
            else:
                controls = self._election.live(now=now)
                self._dispatcher.tick(controls, entries, now=now)

    def stop(self) -> None:
        """Stop dispatching and cancel the orders in progress."""
        self.resign()
        self._carrier.stop()

    def follow_election(self, *, now: float) -> None:
        """Start dispatching, begin a later term, or stop, as elected."""
        term = self._election.term
        if not term:
            self.resign()
        elif self._dispatcher is None:
            self._start_dispatching(term, now)
        elif self._dispatcher.term != term:
            self._dispatcher.begin_term(term, now=now)

    def resign(self) -> None:
        """Stop dispatching and notify the entries."""
        if self._dispatcher is None:
            return
        log_event(
            'dispatcher.resigned',
            LogLevel.warning,
            term=self._dispatcher.term,
            highest_term=self._election.highest_term,
        )
        self._dispatcher.stop()
        self._dispatcher = None
        beat = LeaderBeat(
            term=0,
            stamp=steady_now(),
            controls=(),
            waiting={},
            from_deputy=self._is_deputy,
        )
        self.send_to_entries(beat)

    def send_to_entries(
        self,
        beat: LeaderBeat,
        *,
        only: Iterable[InstanceId] | None = None,
    ) -> None:
        """Send a heartbeat to entries, and remove those that are lost.

        Args:
            beat: The heartbeat.
            only: Entries to send it to; None for all.
        """
        for entry in self._contacts.remove_lost(now=beat.stamp):
            self._mesh.leave(entry)
        self._mesh.send_all(
            self._contacts.known if only is None else only, beat
        )

    def drop_stale_reports(self, *, now: float) -> None:
        """Remove endpoints whose newest report is too old."""
        for report, received_at in tuple(self._reports.values()):
            if now - received_at > _REPORT_LIFETIME_SECONDS:
                self._reports.pop(report.endpoint)
        self._speed_records.keep_only(self._reports)

    def speed_update(self, *, now: float) -> SpeedUpdate | None:
        """Return the speeds that other instances are to know, if it is time.

        They are also recorded here, for when this instance leads again.
        """
        if self._dispatcher is None:
            return None
        update = self._dispatcher.speed_update(now=now)
        if update is not None:
            self._speed_records.receive(update, now=now)
        return update

    def receive(self, sender: InstanceId, message: Any, *, now: float) -> None:
        """Handle a message of an entry or of a control instance."""
        match message:
            case EntryBeat():
                self._receive_entry_beat(sender, message, now)
            case EndpointReports():
                for report in message.reports:
                    self.observe(report, now=now)
                if message.speeds is not None:
                    self._speed_records.receive(message.speeds, now=now)
            case EndpointLeft():
                self.remove_endpoint(EndpointId(message.endpoint), now=now)
            case Carry():
                self._carrier.receive(sender, message, now=now)
            case _ if self._dispatcher is not None:
                self._receive_work(self._dispatcher, sender, message, now)

    def observe(self, report: EndpointReport, *, now: float) -> None:
        """Record a heartbeat of an endpoint."""
        known = self._reports.get(report.endpoint)
        if report.draining and not (known and known[0].draining):
            self._departures += 1
        self._reports[report.endpoint] = (report, now)
        self._seen_zones.add(report.zone)
        if self._dispatcher is not None and self._covers(report):
            self._dispatcher.observe(report, now=now)

    def remove_endpoint(self, endpoint: EndpointId, *, now: float) -> None:
        """Remove an endpoint that has deregistered."""
        if self._reports.pop(endpoint, None) is not None:
            self._departures += 1
        if self._dispatcher is not None:
            self._dispatcher.remove_endpoint(endpoint, now=now)

    def _start_dispatching(self, term: int, now: float) -> None:
        table = self._speed_records.table(now=now)
        log_event(
            'dispatcher.leads',
            LogLevel.warning,
            term=term,
            controls=len(self._election.live(now=now)),
            endpoints=len(self._reports),
            speeds=len(table.figures),
            oldest_speed=round(table.max_age, _AGE_DIGITS),
        )
        self._dispatcher = ActiveDispatcher(
            term,
            own=self._own,
            queue_order=self._queue_order,
            session=secrets.randbits(_SESSION_BITS),
            send=self._mesh.send,
            on_term_event=self._on_term_event,
            work=self._work,
            now=now,
        )
        self._obey_evacuations(now)
        for report, received_at in tuple(self._reports.values()):
            is_recent = now - received_at < _REPORT_LIFETIME_SECONDS
            if is_recent and self._covers(report):
                self._dispatcher.observe(report, now=now)
        # The mean of a service counts only the endpoints that are known, so
        # they come first.
        self._dispatcher.restore_speeds(table, now=now)

    def _obey_evacuations(self, now: float) -> None:
        if self._dispatcher is not None:
            self._evacuations.obey(
                self._dispatcher, lambda: self.reports, now=now
            )

    def _covers(self, report: EndpointReport) -> bool:
        return not self._zones or report.zone in self._zones

    def _entry_carriers(self, now: float) -> tuple[InstanceId, ...]:
        entries = set(self._contacts.connected(now=now)) - {self._own}
        return choose_evenly_spaced(entries, most=_MAX_ENTRY_CARRIERS)

    def _on_term_event(self, event: Fenced | TokensLow) -> None:
        now = steady_now()
        match event:
            case Fenced():
                self._election.handle_fenced(
                    event.term, has_obeyed=event.has_obeyed, now=now
                )
            case TokensLow():
                self._election.renew_term(event.term, now=now)

    def _receive_work(
        self,
        dispatcher: ActiveDispatcher,
        sender: InstanceId,
        message: Any,
        now: float,
    ) -> None:
        """Handle a message that only a dispatcher gets."""
        match message:
            case Dropped():
                dispatcher.drop(sender, message, now=now)
            case Carried():
                dispatcher.receive_answers(sender, message, now=now)
            case Submit():
                self._submit(dispatcher, sender, message, now)

    def _submit(
        self,
        dispatcher: ActiveDispatcher,
        entry: InstanceId,
        submit: Submit,
        now: float,
    ) -> None:
        # Tasks may run at endpoints that this instance doesn't cover.
        is_warm = not self._zones and (
            self._contacts.seconds(entry, now=now) > _WARM_UP_SECONDS
        )
        dispatcher.submit(entry, submit, is_warm=is_warm, now=now)

    def _receive_entry_beat(
        self,
        sender: InstanceId,
        beat: EntryBeat,
        now: float,
    ) -> None:
        if self._contacts.record(sender, beat, now=now):
            log_event('entry.met', LogLevel.info, entry=sender)
            self._mesh.add_peers((sender,))
        self._election.record_leader_report(
            sender,
            beat.leader,
            term=beat.term,
            heard=beat.heard,
            now=now,
        )
        # Before the heartbeat lets the dispatcher start the entry's jobs.
        self._evacuations.learn_from_entry(beat)
        self._obey_evacuations(now)
        if self._dispatcher is not None:
            self._dispatcher.receive_entry_beat(sender, beat, now=now)
