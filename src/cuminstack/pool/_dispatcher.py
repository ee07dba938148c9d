"""Dispatcher: decides which tasks start on which endpoints."""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import replace
from itertools import count
from typing import Final

from cuminstack.core import EndpointId, InstanceId, JobKey, ZoneName
from cuminstack.pool._admission import Load
from cuminstack.pool._assignment import Assigner
from cuminstack.pool._effects import (
    Effect,
    Effects,
    Fenced,
    JobEnded,
    JobState,
    TokensLow,
)
from cuminstack.pool._endpoint import Endpoint, Phase
from cuminstack.pool._evacuation import EvacuatedZones
from cuminstack.pool._exchange import EndpointView, Hold, Refusal, StartRun
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Submission
from cuminstack.pool._lookahead import MAX_RESERVATIONS
from cuminstack.pool._notes import (
    dropped_event,
    pace_event,
    ready_event,
    start_refused_event,
)
from cuminstack.pool._orders import QueueOrder
from cuminstack.pool._pace import LatenessMonitor
from cuminstack.pool._progress import RunAssessor
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._records import EndpointReport
from cuminstack.pool._refuser import AdmissionControl
from cuminstack.pool._rooms import CapacityIndex
from cuminstack.pool._runs import RunTracker
from cuminstack.pool._speeds import EndpointSpeeds
from cuminstack.pool._watch import EndpointWatch

#: Seconds of silence after which an endpoint is removed.  It sends a heartbeat
#: every 1.5 s, but may be partitioned for a while and run tasks for another
#: dispatcher.
_FORGET_SECONDS: Final = 20.0
#: Seconds between checks of an endpoint without events.
_CHECK_INTERVAL_SECONDS: Final = 1.0
#: Seconds between sweeps through all jobs, for those to refuse or discard.
_SWEEP_SECONDS: Final = 0.1
#: Refusals after which all orders of an endpoint are voided and its runs
#: listed.
_VOIDING_REFUSALS: Final = frozenset(
    (Refusal.fenced, Refusal.room, Refusal.unreachable, Refusal.late),
)


class Dispatcher:
    """Sole writer to all endpoints of a connected set of instances.

    It performs no I/O.  Each event method takes the current time and returns
    the effects that follow, such as orders to endpoints and outcomes of jobs.

    Args:
        term: Number of the term, higher than those of all earlier
            dispatchers.
        instance: Number of this instance, unique in the deployment.
        order: Queue order of the waiting jobs.
        sheds_useless: Whether jobs are refused or ended once they can't be
            useful, instead of at their deadlines.
        max_reservations: Number of endpoints that may be reserved at a time.
    """

    def __init__(
        self,
        *,
        term: int,
        instance: int,
        order: QueueOrder,
        sheds_useless: bool = True,
        max_reservations: int = MAX_RESERVATIONS,
    ) -> None:
        self._watch = EndpointWatch(term=term, instance=instance)
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._lateness_monitor = LatenessMonitor()
        self._swept_at: float = 0
        self._numbers = count()
        self._speeds = EndpointSpeeds(self._endpoints)
        self._capacity_index = CapacityIndex(slowness=self._speeds.slowness)
        self._evacuated_zones = EvacuatedZones()
        self._last_contacts: dict[EndpointId, float] = {}
        queue = JobQueue(order)
        self._jobs = JobTable(queue, term=term)
        self._runs = RunTracker(
            self._endpoints,
            self._jobs,
            RunAssessor(self._jobs, self._speeds, self._capacity_index),
        )
        self._assigner = Assigner(
            self._endpoints,
            self._capacity_index,
            queue,
            slowness=self._speeds.slowness,
            max_reservations=max_reservations,
        )
        self._admission = AdmissionControl(
            self._jobs,
            Load(self._capacity_index, queue, counts_running=not sheds_useless),
            sheds_useless=sheds_useless,
        )

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All known endpoints."""
        return tuple(self._endpoints.values())

    @property
    def speeds(self) -> EndpointSpeeds:
        """Speeds of the endpoints."""
        return self._speeds

    @property
    def waiting(self) -> dict[str, int]:
        """Number of jobs without a started task, by queue."""
        return self._jobs.waiting

    @property
    def look_ahead(self) -> dict[str, float]:
        """Counts of reservations and backfills, and seconds passed over."""
        return self._assigner.look_ahead_counts.as_dict()

    def has_active_job(self, key: JobKey) -> bool:
        """Return whether a job is present and a client waits for it."""
        job = self._jobs.find(key)
        return job is not None and not job.abandoned

    def entry_of(self, key: JobKey) -> InstanceId | None:
        """Return the entry instance that handed a job over last."""
        job = self._jobs.find(key)
        return None if job is None else job.submission.entry

    def record_entry_contact(self, entry: InstanceId, stamp: float) -> None:
        """Record that an entry instance has been in contact.

        Args:
            entry: The entry instance.
            stamp: Time of the newest message of this dispatcher that the entry
                instance had received, on this dispatcher's clock.
        """
        self._assigner.record_entry_contact(entry, stamp)

    def begin_term(self, term: int, *, now: float) -> Effects:
        """Continue in a later term, with tokens above those of a rival.

        Each endpoint gets starts again once it has listed its runs, as the
        rival may have started some there.
        """
        self._watch.begin_term(term)
        self._jobs.begin_term(term)
        effects: list[Effect] = []
        for endpoint in self._endpoints.values():
            endpoint.rejoin(now=now)
            if endpoint.phase is Phase.ready:
                effects.append(self._watch.request_listing(endpoint, now=now))
            else:
                effects.extend(self._watch.void(endpoint, 'term', now=now))
        return tuple(effects)

    def recent_outcome(self, key: JobKey) -> JobState | None:
        """Return the final state of a job that ended recently."""
        return self._jobs.recent_outcome(key)

    def observe(self, report: EndpointReport, *, now: float) -> Effects:
        """Handle a heartbeat of an endpoint."""
        known = self._endpoints.get(report.endpoint)
        if known is None:
            token = self._watch.tokens.issue()
            known = Endpoint(
                report,
                token=token,
                number=next(self._numbers),
                on_change=self._capacity_index.mark_changed,
                evacuated_zones=self._evacuated_zones,
            )
            self._endpoints[report.endpoint] = known
        if 0 < report.lifetime < known.lifetime.number:
            return tuple(self._check_lifetime(known, now))
        if not known.is_news(report):
            return ()
        self._last_contacts[report.endpoint] = now
        known.report = report
        known.unanswered_holds = 0
        if report.lifetime > known.lifetime.number:
            return tuple(self._reset_lifetime(known, report.lifetime, now))
        return tuple(self._watch.send_due_orders(known, now=now))

    def evacuate(self, zones: Collection[ZoneName], *, now: float) -> Effects:
        """Start nothing at endpoints of some zones; their runs go on.

        Args:
            zones: All zones that are evacuated from now on.
            now: Current time in seconds.
        """
        changed = self._evacuated_zones.replace(zones, now=now)
        for endpoint in self._endpoints.values():
            if endpoint.report.zone in changed:
                self._capacity_index.mark_changed(endpoint)
        return self._assigner.assign(now=now) if changed else ()

    def leave(self, endpoint: EndpointId, *, now: float) -> Effects:
        """Handle the deregistration of an endpoint.

        Its runs may go on for a while, so they count until the endpoint lists
        their ends or its lease has expired.
        """
        known = self._endpoints.get(endpoint)
        if known is None or not known.runs:
            return self.forget(endpoint, now=now)
        known.report = replace(known.report, draining=True)
        return tuple(self._watch.void(known, 'left', now=now))

    def forget(self, endpoint: EndpointId, *, now: float) -> Effects:
        """Remove an endpoint of which no run can be running any more."""
        known = self._endpoints.pop(endpoint, None)
        self._last_contacts.pop(endpoint, None)
        if known is None:
            return ()
        self._speeds.forget(endpoint)
        known.phase = Phase.gone
        return (
            *self._runs.requeue_lost_runs(known),
            *self._assigner.assign(now=now),
        )

    def submit(self, submission: Submission, *, now: float) -> Effects:
        """Admit a job from an entry instance, or refuse it."""
        key = submission.request.key
        entry = submission.entry
        outcome = self._jobs.recent_outcome(key)
        if outcome is not None:
            return (JobEnded(key, entry, outcome),)
        job = self._jobs.resume(submission)
        if job is None:
            job = self._jobs.create(submission)
            refused = self._admission.check_admission(job, now=now)
            if refused:
                return refused
            self._jobs.add(job)
        self._runs.claim(job, now=now)
        return (
            *self._runs.apply_foreign_ends(job, now=now),
            *self._assigner.assign(now=now),
        )

    def drop(self, key: JobKey, *, now: float) -> Effects:
        """Stop a job that no client waits for any more."""
        job = self._jobs.find(key)
        if job is None or job.abandoned:
            return ()
        self._jobs.abandon(job, now=now)
        return (
            dropped_event(job, now=now),
            *self._runs.stop_all(job, now),
            *self._assigner.assign(now=now),
        )

    def start_answered(
        self,
        order: StartRun,
        clock_ms: int,
        *,
        asked_at: float,
        now: float,
    ) -> Effects:
        """Handle the confirmation that a run has begun.

        Args:
            order: The start that was answered.
            clock_ms: Reading of the endpoint's clock in milliseconds.
            asked_at: Time at which the start was sent.
            now: Current time in seconds.
        """
        endpoint = self._endpoints.get(order.endpoint)
        run = None if endpoint is None else endpoint.runs.get(order.run)
        if endpoint is None or run is None:
            return ()
        if run.confirmed_at is None:
            run.confirmed_at = now
        clock = endpoint.lifetime.clock
        if clock.has_restarted(clock_ms, asked_at=asked_at):
            return tuple(self._reset_lifetime(endpoint, 0, now))
        clock.read(clock_ms, asked_at=asked_at, now=now)
        return ()

    def start_refused(
        self,
        order: StartRun,
        refusal: Refusal,
        *,
        now: float,
    ) -> Effects:
        """Handle the refusal of a start, whose run has not begun."""
        endpoint = self._endpoints.get(order.endpoint)
        if endpoint is None:
            return ()
        if refusal is Refusal.other_lifetime:
            return self.forget(order.endpoint, now=now)
        is_current = order.token == endpoint.token
        if not is_current or endpoint.remove(order.run) is None:
            return ()
        self._runs.requeue(order.run)
        effects: list[Effect] = [start_refused_event(order, refusal)]
        if refusal is Refusal.unhealthy:
            endpoint.health.quarantine(now=now)
        elif refusal in _VOIDING_REFUSALS:
            cause = refusal.value
            effects.extend(self._watch.void(endpoint, cause, now=now))
        return (*effects, *self._assigner.assign(now=now))

    def unanswered(self, order: StartRun | Hold, *, now: float) -> Effects:
        """Handle an order without an answer, which may still take effect."""
        endpoint = self._endpoints.get(order.endpoint)
        if endpoint is None or order.token != endpoint.token:
            return ()
        if endpoint.phase is not Phase.ready:
            return ()
        return tuple(self._watch.void(endpoint, 'no_answer', now=now))

    def hold_refused(
        self,
        order: Hold,
        refusal: Refusal,
        *,
        now: float,
    ) -> Effects:
        """Handle the refusal of a hold."""
        endpoint = self._endpoints.get(order.endpoint)
        if endpoint is None:
            return ()
        if refusal is Refusal.other_lifetime:
            return self.forget(order.endpoint, now=now)
        if order.token != endpoint.token:
            return ()
        if refusal is Refusal.fenced:
            return (
                Fenced(
                    order.endpoint,
                    self._watch.tokens.term,
                    endpoint.has_joined,
                ),
            )
        if endpoint.phase is not Phase.ready:
            return ()
        return tuple(self._watch.void(endpoint, refusal.value, now=now))

    def hold_answered(
        self,
        order: Hold,
        view: EndpointView,
        *,
        asked_at: float,
        now: float,
    ) -> Effects:
        """Handle the answer to one hold; see `holds_answered`."""
        return self.holds_answered(((order, view, asked_at),), now=now)

    def holds_answered(
        self,
        answers: Iterable[tuple[Hold, EndpointView, float]],
        *,
        now: float,
    ) -> Effects:
        """Handle the answers to several holds, assigning tasks once for all.

        Args:
            answers: Each hold, its answer, and the time at which it was sent.
            now: Current time in seconds.
        """
        effects: list[Effect] = []
        seen: list[Endpoint] = []
        for order, view, asked_at in answers:
            endpoint = self._endpoints.get(order.endpoint)
            if endpoint is None or order.token != endpoint.token:
                continue
            if self._is_same_lifetime(endpoint, view):
                taken = self._apply_view(endpoint, order, view, asked_at, now)
                effects.extend(taken)
                seen.append(endpoint)
            else:
                effects.extend(
                    self._reset_lifetime(endpoint, view.lifetime, now)
                )
        if seen:
            effects.extend(self._assigner.assign(now=now))
        for endpoint in seen:
            effects.extend(self._watch.send_due_orders(endpoint, now=now))
        return tuple(effects)

    def tick(self, *, now: float) -> Effects:
        """Perform due actions; to be called many times a second."""
        effects: list[Effect] = []
        was_behind = self._lateness_monitor.is_behind
        late = self._lateness_monitor.tick(now=now)
        if self._lateness_monitor.is_behind != was_behind:
            effects.append(pace_event(self._lateness_monitor))
        if self._watch.tokens.is_running_low:
            effects.append(TokensLow(self._watch.tokens.term))
        for endpoint in tuple(self._endpoints.values()):
            if late:
                self._watch.discount_stall(endpoint, late, now=now)
            if now >= endpoint.due_at:
                effects.extend(self._check(endpoint, now))
        if now - self._swept_at >= _SWEEP_SECONDS:
            self._swept_at = now
            self._jobs.sweep(now=now)
            effects.extend(self._admission.shed_waiting(now=now))
        effects.extend(self._assigner.assign(now=now))
        return tuple(effects)

    def _is_same_lifetime(self, endpoint: Endpoint, view: EndpointView) -> bool:
        """Return whether a view belongs to the known lifetime of an endpoint.

        If the lifetime is still unknown, the view sets it.  A view without a
        lifetime matches, as an endpoint need not report it.
        """
        if not endpoint.lifetime.number:
            endpoint.lifetime.number = view.lifetime
        return view.lifetime in {0, endpoint.lifetime.number}

    def _apply_view(
        self,
        endpoint: Endpoint,
        order: Hold,
        view: EndpointView,
        asked_at: float,
        now: float,
    ) -> Iterator[Effect]:
        lifetime = endpoint.lifetime
        self._last_contacts[order.endpoint] = now
        if endpoint.hold is not None and endpoint.hold.number == order.number:
            endpoint.hold = None
        endpoint.unanswered_holds = 0
        lifetime.clock.read(view.clock_ms, asked_at=asked_at, now=now)
        lifetime.record_listing(now=now)
        lifetime.acknowledged_end = max(
            lifetime.acknowledged_end, order.last_end
        )
        yield from self._runs.apply_view(endpoint, view, asked_at, now)
        if endpoint.phase is not Phase.ready:
            yield ready_event(endpoint, view)
            endpoint.phase = Phase.ready
        endpoint.record_listing(asked_at)

    def _check(self, endpoint: Endpoint, now: float) -> Iterator[Effect]:
        """Perform due actions at an endpoint, and schedule the next check."""
        yield from self._watch.void_overdue(endpoint, now=now)
        yield from self._watch.send_due_orders(endpoint, now=now)
        yield from self._expire_silent(endpoint, now)
        due_at = self._watch.due_at(endpoint)
        endpoint.schedule_check(
            due_at=min(due_at, now + _CHECK_INTERVAL_SECONDS)
        )

    def _expire_silent(
        self, endpoint: Endpoint, now: float
    ) -> Iterator[Effect]:
        if endpoint.phase is Phase.voiding and now > endpoint.leases_end_at:
            endpoint.phase = Phase.silent
            yield from self._runs.requeue_lost_runs(endpoint)
        name = endpoint.report.endpoint
        silence = now - self._last_contacts.get(name, now)
        if silence > _FORGET_SECONDS and not endpoint.runs:
            yield from self.forget(name, now=now)

    def _check_lifetime(
        self, endpoint: Endpoint, now: float
    ) -> Iterator[Effect]:
        """Ask an endpoint that reports an earlier lifetime for its present one.

        The heartbeat is late, or the endpoint has restarted after its clock
        was set back.
        """
        if endpoint.phase is Phase.ready:
            yield from self._watch.void(endpoint, 'lifetime', now=now)

    def _reset_lifetime(
        self,
        endpoint: Endpoint,
        lifetime: int,
        now: float,
    ) -> Iterator[Effect]:
        """Ask a restarted endpoint which of its runs are there.

        Starts that were sent before the restart was known may be carried out
        in the new lifetime, so no run counts as lost until the endpoint has
        listed its runs, or the leases have surely expired.

        Args:
            endpoint: The endpoint.
            lifetime: Number of the new lifetime; 0 if it is not known.
            now: Current time in seconds.

        Yields:
            A log event, and a hold with a new fencing token.
        """
        endpoint.begin_lifetime(lifetime, now=now)
        yield from self._watch.void(endpoint, 'restart', now=now)
