"""An instance that may dispatch, and the dispatcher while it does."""

import secrets
from collections.abc import Iterable, Mapping
from typing import Any, Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.fleet import (
    Carried,
    Carry,
    Dropped,
    Election,
    EndpointLeft,
    EndpointNews,
    EntryBeat,
    LeaderBeat,
    Submit,
    choose_spread,
)
from cuminstack.links import Mesh
from cuminstack.logs import log_event
from cuminstack.pool import EndpointReport
from cuminstack.roles._carrier import Carrier
from cuminstack.roles._clock import TICK_SECONDS, steady_now
from cuminstack.roles._lead import Lead
from cuminstack.roles._ports import EndpointClient
from cuminstack.roles._work import WorkLog
from cuminstack.settings import LogLevel

#: Reports older than this, in seconds, are of endpoints that are gone.
_REPORT_SECONDS: Final = 20.0
#: Seconds of touch with an entry until an instance has heard of every
#: endpoint that works for it: two heartbeats of theirs and some.
_WARM_SECONDS: Final = 4.0
#: Silence of an entry, in seconds, that ends the touch with it.
_TOUCH_SECONDS: Final = 1.2
#: Entries that carry orders where hardly any control instance can: together
#: they have about the processor time of the control instances.
_ENTRY_CARRIERS: Final = 12
#: Bits of the number of a dispatcher's orders; two never share one by chance.
_SESSION_BITS: Final = 48
#: Seconds of silence after which an entry is not sent heartbeats any more.
_ENTRY_SECONDS: Final = 10.0


class Candidate:
    """Knows endpoints and entries, and dispatches for them if elected.

    Args:
        own: This instance.
        zone: Its availability zone.
        election: Decides whether it dispatches.
        order: Name of the order in which waiting jobs get room.
        client: Carries orders to endpoints.
        mesh: Links to other instances.
        reports: What is remembered of endpoints.
        is_deputy: Whether this is an entry that stands in.
    """

    def __init__(
        self,
        own: InstanceId,
        *,
        zone: str,
        election: Election,
        order: str,
        client: EndpointClient,
        mesh: Mesh,
        reports: Iterable[EndpointReport] = (),
        is_deputy: bool = False,
    ) -> None:
        self._is_deputy = is_deputy
        self._own = own
        self._election = election
        self._order = order
        self._mesh = mesh
        self._work = WorkLog(mesh)
        self._carrier = Carrier(
            zone=zone,
            client=client,
            send=mesh.send,
            work=self._work,
        )
        self._lead: Lead | None = None
        self._entries: dict[InstanceId, float] = {}
        self._met_at: dict[InstanceId, float] = {}
        self._reports: dict[EndpointId, tuple[EndpointReport, float]] = {
            report.endpoint: (report, steady_now()) for report in reports
        }

    @property
    def leads(self) -> bool:
        """Whether this instance dispatches."""
        return self._lead is not None

    @property
    def work(self) -> Mapping[str, float]:
        """How much of each kind of work was done."""
        return self._work.totals

    @property
    def term(self) -> int:
        """Term in which this instance dispatches; 0 if it doesn't."""
        return 0 if self._lead is None else self._lead.term

    @property
    def waiting(self) -> dict[str, int]:
        """Jobs of which nothing was started, by queue."""
        return {} if self._lead is None else self._lead.waiting

    @property
    def entries(self) -> tuple[InstanceId, ...]:
        """Entries that are sent heartbeats."""
        return tuple(self._entries)

    @property
    def reports(self) -> tuple[EndpointReport, ...]:
        """Newest heartbeats of the endpoints that are known."""
        return tuple(report for report, _ in self._reports.values())

    def touched(self, *, now: float) -> tuple[InstanceId, ...]:
        """List the entries that were heard lately."""
        return tuple(
            entry
            for entry, heard_at in self._entries.items()
            if now - heard_at < _TOUCH_SECONDS
        )

    def touch_of(self, entry: InstanceId, *, now: float) -> float:
        """Give the seconds for which an entry has been in touch.

        After a cut its jobs may come before its first heartbeat.
        """
        if now - self._entries.get(entry, 0) > _TOUCH_SECONDS:
            return 0
        return now - self._met_at.get(entry, now)

    def weight(self, *, now: float) -> int:
        """Count the instances that this one is in touch with."""
        entries = 0
        if self._lead is not None:
            entries = len(self._lead.desk.leased(now=now))
        return entries + len(self._election.live(now=now))

    def tick(self, *, now: float, pause: float = TICK_SECONDS) -> None:
        """Follow the election, and dispatch.

        Args:
            now: The present time.
            pause: Seconds that were planned since the last tick.
        """
        self._work.turn(pause, now=now)
        self._election.tick(weight=self.weight(now=now), now=now)
        self.follow_election(now=now)
        if self._lead is not None:
            entries = self._entry_carriers(now)
            if self._is_deputy:
                self._lead.tick(entries, (), now=now)
            else:
                controls = self._election.live(now=now)
                self._lead.tick(controls, entries, now=now)

    def stop(self) -> None:
        """Dispatch no more, and carry no more orders."""
        self.resign()
        self._carrier.stop()

    def follow_election(self, *, now: float) -> None:
        """Begin to dispatch, go on in a later term, or stop."""
        term = self._election.term
        if not term:
            self.resign()
        elif self._lead is None:
            self._begin(term, now)
        elif self._lead.term != term:
            self._lead.begin_term(term, now=now)

    def resign(self) -> None:
        """Dispatch no more, and tell the entries."""
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
        beat = LeaderBeat(
            term=0,
            stamp=steady_now(),
            controls=(),
            waiting={},
            from_deputy=self._is_deputy,
        )
        self.tell_entries(beat)

    def tell_entries(
        self,
        beat: LeaderBeat,
        *,
        only: Iterable[InstanceId] | None = None,
    ) -> None:
        """Send a heartbeat to the entries in touch, or to some of them."""
        for entry, heard_at in tuple(self._entries.items()):
            if beat.stamp - heard_at > _ENTRY_SECONDS:
                self._entries.pop(entry)
                self._mesh.leave(entry)
        self._mesh.send_all(self._entries if only is None else only, beat)

    def forget_old_reports(self, *, now: float) -> None:
        """Forget endpoints that have been silent for long."""
        for known, heard_at in tuple(self._reports.values()):
            if now - heard_at > _REPORT_SECONDS:
                self._reports.pop(known.endpoint)

    def receive(self, sender: InstanceId, message: Any, *, now: float) -> None:
        """Take what entries and control instances tell a dispatcher."""
        match message:
            case EntryBeat():
                self._hear_entry(sender, message, now)
            case EndpointNews():
                for report in message.reports:
                    self.observe(report, now=now)
            case EndpointLeft():
                self.forget(EndpointId(message.endpoint), now=now)
            case Dropped() if self._lead is not None:
                self._lead.drop(sender, message, now=now)
            case Carry():
                self._carrier.receive(sender, message, now=now)
            case Carried() if self._lead is not None:
                self._lead.carried(sender, message, now=now)
            case Submit() if self._lead is not None:
                self._submit(self._lead, sender, message, now)

    def observe(self, report: EndpointReport, *, now: float) -> None:
        """Take a heartbeat of an endpoint."""
        self._reports[report.endpoint] = (report, now)
        if self._lead is not None:
            self._lead.observe(report, now=now)

    def forget(self, endpoint: EndpointId, *, now: float) -> None:
        """Take that an endpoint has deregistered."""
        self._reports.pop(endpoint, None)
        if self._lead is not None:
            self._lead.leave(endpoint, now=now)

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
            own=self._own,
            order=self._order,
            session=secrets.randbits(_SESSION_BITS),
            send=self._mesh.send,
            fenced=self._rise,
            work=self._work,
            now=now,
        )
        for known, heard_at in tuple(self._reports.values()):
            if now - heard_at < _REPORT_SECONDS:
                self._lead.observe(known, now=now)

    def _entry_carriers(self, now: float) -> tuple[InstanceId, ...]:
        entries = set(self.touched(now=now)) - {self._own}
        return choose_spread(entries, most=_ENTRY_CARRIERS)

    def _rise(self) -> None:
        self._election.fenced(now=steady_now())

    def _submit(
        self,
        lead: Lead,
        entry: InstanceId,
        submit: Submit,
        now: float,
    ) -> None:
        is_warm = self.touch_of(entry, now=now) > _WARM_SECONDS
        lead.submit(entry, submit, is_warm=is_warm, now=now)

    def _hear_entry(
        self,
        sender: InstanceId,
        beat: EntryBeat,
        now: float,
    ) -> None:
        if sender not in self._entries:
            log_event('entry.met', LogLevel.info, entry=sender)
            self._mesh.add_peers((sender,))
        if now - self._entries.get(sender, 0) > _TOUCH_SECONDS:
            self._met_at[sender] = now
        self._entries[sender] = now
        self._election.hear_entry(
            sender,
            beat.leader,
            term=beat.term,
            now=now,
        )
        if self._lead is not None:
            self._lead.hear(sender, beat, now=now)
