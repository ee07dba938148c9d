"""Runs the dispatcher: issues orders and processes their answers."""

import zlib
from collections.abc import Callable, Collection, Iterable
from functools import partial
from types import MappingProxyType
from typing import Any, Final

from cuminstack.core import EndpointId, InstanceId, Send, ZoneName
from cuminstack.fleet import (
    Carried,
    DispatcherService,
    Dropped,
    EntryBeat,
    Order,
    OrderAnswered,
    OrderRouter,
    SpeedPublisher,
    SpeedUpdate,
    Submit,
)
from cuminstack.logs import log_event
from cuminstack.pool import (
    Dispatcher,
    Effects,
    EndpointReport,
    EndpointView,
    Fenced,
    Hold,
    LogEvent,
    OrderRefused,
    SpeedTable,
    Started,
    StartRun,
    StopRun,
    TokensLow,
    find_policy,
)
from cuminstack.roles._batches import BatchSender
from cuminstack.roles._clock import steady_now
from cuminstack.roles._work import WorkKind, WorkLog
from cuminstack.settings import LogLevel

MessageSender = Callable[[InstanceId, Any], None]

_WORK_KINDS: Final = MappingProxyType(
    {
        StartRun: WorkKind.starts_decided,
        Hold: WorkKind.holds_decided,
        StopRun: WorkKind.stops_decided,
    },
)


class ActiveDispatcher:
    """Runs the dispatcher while this instance leads.

    Args:
        term: Number of the term.
        own: This instance.
        queue_order: Name of the scheduling policy.
        session: Number that identifies this dispatcher's orders; unique.
        send: Sends a message to an instance.
        on_term_event: Called with what may require a later term.
        work: Counts the orders and their answers.
        now: The present time.
    """

    def __init__(
        self,
        term: int,
        *,
        own: InstanceId,
        queue_order: str,
        session: int,
        send: MessageSender,
        on_term_event: Callable[[Fenced | TokensLow], None],
        work: WorkLog,
        now: float,
    ) -> None:
        self._on_term_event = on_term_event
        self._work = work
        self._term = term
        self._send = send
        self._batch_sender = BatchSender(self._send_orders)
        self._publisher = SpeedPublisher(now=now)
        self._router = OrderRouter(own, session=session, now=now)
        policy = find_policy(queue_order)
        dispatcher = Dispatcher(
            term=term,
            instance=zlib.crc32(own.encode()),
            order=policy.order,
            sheds_useless=policy.sheds_useless,
            max_reservations=policy.max_reservations,
        )
        self._dispatcher = dispatcher
        self._service = DispatcherService(dispatcher)

    @property
    def term(self) -> int:
        """Number of the term."""
        return self._term

    @property
    def service(self) -> DispatcherService:
        """The service that handles the jobs of entries."""
        return self._service

    @property
    def look_ahead(self) -> dict[str, float]:
        """Counts of reservations and backfills, and seconds passed over."""
        return self._dispatcher.look_ahead

    @property
    def waiting(self) -> dict[str, int]:
        """Number of jobs without a started task, by queue."""
        return self._dispatcher.waiting

    def restore_speeds(self, table: SpeedTable, *, now: float) -> None:
        """Start with the speeds that an earlier dispatcher has learned."""
        self._dispatcher.speeds.restore(table, now=now)

    def speeds(self, *, now: float) -> SpeedTable:
        """Return the speeds of all endpoints that are known."""
        return self._dispatcher.speeds.snapshot(now=now)

    def speed_update(self, *, now: float) -> SpeedUpdate | None:
        """Return the speeds that other instances are to know, if it is time."""
        if not self._publisher.is_due(now=now):
            return None
        table = self.speeds(now=now)
        update = self._publisher.update(table, term=self._term, now=now)
        change = self._publisher.largest_change
        if change is not None and change.is_large:
            log_event(
                'endpoint.speed_changed',
                LogLevel.info,
                endpoint=change.figure.endpoint,
                slowness=change.figure.slowness,
                before=change.before,
                variance=change.figure.variance,
                age=change.figure.age,
                known=len(table.figures),
            )
        return update

    def stop(self) -> None:
        """Send no further orders."""
        self._batch_sender.stop()

    def begin_term(self, term: int, *, now: float) -> None:
        """Continue in a later term."""
        log_event('dispatcher.new_term', LogLevel.warning, term=term)
        self._term = term
        self._perform_dispatcher_effects(
            self._dispatcher.begin_term(term, now=now)
        )

    def evacuate(self, zones: Collection[ZoneName], *, now: float) -> None:
        """Start nothing at endpoints of these zones, but of all others."""
        self._perform_dispatcher_effects(
            self._dispatcher.evacuate(zones, now=now)
        )

    def observe(self, report: EndpointReport, *, now: float) -> None:
        """Record a heartbeat of an endpoint."""
        self._router.record_zone(report, now=now)
        self._perform(self._service.observe(report, now=now))

    def remove_endpoint(self, endpoint: EndpointId, *, now: float) -> None:
        """Remove an endpoint that has deregistered."""
        self._perform_dispatcher_effects(
            self._dispatcher.leave(endpoint, now=now)
        )

    def submit(
        self,
        entry: InstanceId,
        submit: Submit,
        *,
        is_warm: bool,
        now: float,
    ) -> None:
        """Accept a job of an entry.

        Args:
            entry: The entry.
            submit: The job.
            is_warm: Whether heartbeats of all endpoints have been received
                that the entry's last dispatcher may have used.
            now: The present time.
        """
        submit_job = partial(self._service.submit, is_warm=is_warm, now=now)
        self._perform(submit_job(entry, submit))

    def drop(self, entry: InstanceId, dropped: Dropped, *, now: float) -> None:
        """Stop a job whose caller has left."""
        self._perform(self._service.drop(entry, dropped, now=now))

    def receive_entry_beat(
        self, entry: InstanceId, beat: EntryBeat, *, now: float
    ) -> None:
        """Process a heartbeat of an entry."""
        self._perform(self._service.receive_beat(entry, beat, now=now))

    def receive_answers(
        self,
        carrier: InstanceId,
        message: Carried,
        *,
        now: float,
    ) -> None:
        """Process the answers to orders that a carrier returns."""
        views: list[tuple[Hold, EndpointView, float]] = []
        for answered in self._router.receive(carrier, message):
            self._work.add(WorkKind.answers_taken)
            order, answer = answered.order, answered.answer
            if isinstance(order, Hold) and isinstance(answer, EndpointView):
                views.append((order, answer, answered.asked_at))
            else:
                self._perform_dispatcher_effects(
                    self._apply_answer(answered, now)
                )
        if views:
            self._perform_dispatcher_effects(
                self._dispatcher.holds_answered(views, now=now)
            )
        self._batch_sender.schedule()

    def tick(
        self,
        controls: Iterable[InstanceId],
        entries: Iterable[InstanceId],
        *,
        now: float,
    ) -> None:
        """Perform the actions that are due.

        Args:
            controls: Instances that carry orders.
            entries: Entries that carry orders if hardly any of those can.
            now: The present time.
        """
        for outgoing in self._router.request_echoes(controls, entries, now=now):
            self._send(outgoing.to, outgoing.message)
        self._batch_sender.schedule()
        self._perform(self._service.tick(now=now))
        self._perform_dispatcher_effects(self._dispatcher.tick(now=now))

    def _perform_dispatcher_effects(self, effects: tuple[Any, ...]) -> None:
        self._perform(self._service.translate_effects(effects))

    def _perform(self, effects: tuple[Any, ...]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(effect.to, effect.message)
                case StartRun() | Hold() | StopRun():
                    self._issue(effect)
                case Fenced() | TokensLow():
                    self._on_term_event(effect)
                case LogEvent():
                    log_event(
                        effect.event,
                        LogLevel.info,
                        **dict(effect.values),
                    )

    def _issue(self, order: Order) -> None:
        self._work.add(_WORK_KINDS[type(order)])
        self._router.enqueue(order)
        self._batch_sender.schedule()

    def _send_orders(self) -> None:
        for outgoing in self._router.flush(now=steady_now()):
            self._send(outgoing.to, outgoing.message)

    def _apply_answer(self, answered: OrderAnswered, now: float) -> Effects:
        """Process the answer to an order, unless it is a listing."""
        order = answered.order
        answer = answered.answer
        match answer:
            case Started() if isinstance(order, StartRun):
                clock = answer.clock_ms
                report_start = partial(
                    self._dispatcher.start_answered, order, clock
                )
                return report_start(asked_at=answered.asked_at, now=now)
            case OrderRefused() if isinstance(order, StartRun):
                refusal = answer.refusal
                return self._dispatcher.start_refused(order, refusal, now=now)
            case OrderRefused() if isinstance(order, Hold):
                refusal = answer.refusal
                return self._dispatcher.hold_refused(order, refusal, now=now)
        return self._dispatcher.unanswered(order, now=now)
