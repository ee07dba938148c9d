"""Runs the dispatcher of one term: gives orders and takes their answers."""

import zlib
from collections.abc import Callable, Iterable
from functools import partial
from types import MappingProxyType
from typing import Any, Final

from cuminstack.core import EndpointId, InstanceId, Send
from cuminstack.fleet import (
    Carriage,
    Carried,
    Dropped,
    EntryBeat,
    JobDesk,
    Order,
    OrderAnswered,
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
    Started,
    StartRun,
    StopRun,
    find_order,
)
from cuminstack.roles._batches import Batches
from cuminstack.roles._clock import steady_now
from cuminstack.roles._work import Work, WorkLog
from cuminstack.settings import LogLevel

Sender = Callable[[InstanceId, Any], None]

_DECIDED: Final = MappingProxyType(
    {
        StartRun: Work.starts_decided,
        Hold: Work.holds_decided,
        StopRun: Work.stops_decided,
    },
)


class Lead:
    """The dispatcher while this instance leads.

    Args:
        term: Number of the term.
        own: This instance.
        order: Name of the order in which waiting jobs get room.
        session: Differs from that of every other dispatcher's orders.
        send: Sends a message to an instance.
        fenced: Called when endpoints obey a later term.
        work: Counts what is done.
        now: The present time.
    """

    def __init__(
        self,
        term: int,
        *,
        own: InstanceId,
        order: str,
        session: int,
        send: Sender,
        fenced: Callable[[], None],
        work: WorkLog,
        now: float,
    ) -> None:
        self._fenced = fenced
        self._work = work
        self._term = term
        self._send = send
        self._batches = Batches(self._send_orders)
        self._carriage = Carriage(own, session=session, now=now)
        dispatcher = Dispatcher(
            term=term,
            instance=zlib.crc32(own.encode()),
            order=find_order(order),
        )
        self._dispatcher = dispatcher
        self._desk = JobDesk(dispatcher)

    @property
    def term(self) -> int:
        """Number of the term."""
        return self._term

    @property
    def desk(self) -> JobDesk:
        """The jobs that entries have handed over."""
        return self._desk

    @property
    def waiting(self) -> dict[str, int]:
        """Jobs of which nothing was started, by queue."""
        return self._dispatcher.waiting

    def stop(self) -> None:
        """Give no more orders."""
        self._batches.stop()

    def begin_term(self, term: int, *, now: float) -> None:
        """Go on in a later term."""
        log_event('dispatcher.new_term', LogLevel.warning, term=term)
        self._term = term
        self._convey(self._dispatcher.begin_term(term, now=now))

    def observe(self, report: EndpointReport, *, now: float) -> None:
        """Take a heartbeat of an endpoint."""
        self._carriage.locate(report, now=now)
        self._perform(self._desk.observe(report, now=now))

    def leave(self, endpoint: EndpointId, *, now: float) -> None:
        """Take that an endpoint has deregistered."""
        self._convey(self._dispatcher.leave(endpoint, now=now))

    def submit(
        self,
        entry: InstanceId,
        submit: Submit,
        *,
        is_warm: bool,
        now: float,
    ) -> None:
        """Take a job of an entry."""
        take = partial(self._desk.submit, is_warm=is_warm, now=now)
        self._perform(take(entry, submit))

    def drop(self, entry: InstanceId, dropped: Dropped, *, now: float) -> None:
        """Take that the caller of a job has left."""
        self._perform(self._desk.drop(entry, dropped, now=now))

    def hear(self, entry: InstanceId, beat: EntryBeat, *, now: float) -> None:
        """Take a heartbeat of an entry."""
        self._perform(self._desk.hear(entry, beat, now=now))

    def carried(
        self,
        carrier: InstanceId,
        message: Carried,
        *,
        now: float,
    ) -> None:
        """Take what a carrier says of orders."""
        views: list[tuple[Hold, EndpointView, float]] = []
        for answered in self._carriage.receive(carrier, message):
            self._work.add(Work.answers_taken)
            order, answer = answered.order, answered.answer
            if isinstance(order, Hold) and isinstance(answer, EndpointView):
                views.append((order, answer, answered.asked_at))
            else:
                self._convey(self._take(answered, now))
        if views:
            self._convey(self._dispatcher.holds_answered(views, now=now))
        self._batches.expect()

    def tick(
        self,
        controls: Iterable[InstanceId],
        entries: Iterable[InstanceId],
        *,
        now: float,
    ) -> None:
        """Do what is due.

        Args:
            controls: Other control instances, which carry orders.
            entries: Entries that do if there are hardly any.
            now: The present time.
        """
        for each in self._carriage.ask(controls, entries, now=now):
            self._send(each.to, each.message)
        self._batches.expect()
        self._perform(self._desk.tick(now=now))
        self._convey(self._dispatcher.tick(now=now))

    def _convey(self, effects: tuple[Any, ...]) -> None:
        self._perform(self._desk.convey(effects))

    def _perform(self, effects: tuple[Any, ...]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(effect.to, effect.message)
                case StartRun() | Hold() | StopRun():
                    self._give(effect)
                case Fenced():
                    self._fenced()
                case LogEvent():
                    log_event(
                        effect.event,
                        LogLevel.info,
                        **dict(effect.values),
                    )

    def _give(self, order: Order) -> None:
        self._work.add(_DECIDED[type(order)])
        self._carriage.give(order)
        self._batches.expect()

    def _send_orders(self) -> None:
        for each in self._carriage.collect(now=steady_now()):
            self._send(each.to, each.message)

    def _take(self, answered: OrderAnswered, now: float) -> Effects:
        """Take what an endpoint answered to an order, but for lists."""
        order = answered.order
        answer = answered.answer
        match answer:
            case Started() if isinstance(order, StartRun):
                clock = answer.clock_ms
                take = partial(self._dispatcher.start_answered, order, clock)
                return take(asked_at=answered.asked_at, now=now)
            case OrderRefused() if isinstance(order, StartRun):
                refusal = answer.refusal
                return self._dispatcher.start_refused(order, refusal, now=now)
            case OrderRefused() if isinstance(order, Hold):
                refusal = answer.refusal
                return self._dispatcher.hold_refused(order, refusal, now=now)
        return self._dispatcher.unanswered(order, now=now)
