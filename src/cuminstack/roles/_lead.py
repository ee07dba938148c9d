"""Runs the dispatcher of one term: gives orders and takes their answers."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from cuminstack.core import EndpointId, InstanceId, Send
from cuminstack.fleet import Dropped, EntryBeat, JobDesk, Submit
from cuminstack.logs import log_event
from cuminstack.pool import (
    Dispatcher,
    EndpointReport,
    EndpointView,
    Fenced,
    Hold,
    Noted,
    OrderRefused,
    Started,
    StartRun,
    StopRun,
    find_order,
)
from cuminstack.roles._clock import steady_now
from cuminstack.roles._ports import EndpointClient
from cuminstack.roles._work import Work, WorkLog
from cuminstack.settings import LogLevel

Sender = Callable[[InstanceId, Any], None]


class Lead:
    """The dispatcher while this instance leads.

    Args:
        term: Number of the term.
        instance: Number of this instance.
        order: Name of the order in which waiting jobs get room.
        client: Carries orders to endpoints.
        fenced: Called when endpoints obey a later term.
        send: Sends a message to an instance.
        work: Counts what is done.
    """

    def __init__(
        self,
        term: int,
        *,
        instance: int,
        order: str,
        client: EndpointClient,
        send: Sender,
        fenced: Callable[[], None],
        work: WorkLog,
    ) -> None:
        self._fenced = fenced
        self._work = work
        self._term = term
        self._client = client
        self._send = send
        self._orders: set[asyncio.Task[None]] = set()
        dispatcher = Dispatcher(
            term=term,
            instance=instance,
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
        for task in self._orders:
            task.cancel()

    def begin_term(self, term: int, *, now: float) -> None:
        """Go on in a later term."""
        log_event('dispatcher.new_term', LogLevel.warning, term=term)
        self._term = term
        self._convey(self._dispatcher.begin_term(term, now=now))

    def observe(self, report: EndpointReport, *, now: float) -> None:
        """Take a heartbeat of an endpoint."""
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

    def tick(self, *, now: float) -> None:
        """Do what is due."""
        self._perform(self._desk.tick(now=now))
        self._convey(self._dispatcher.tick(now=now))

    def _convey(self, effects: tuple[Any, ...]) -> None:
        self._perform(self._desk.convey(effects))

    def _perform(self, effects: tuple[Any, ...]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(effect.to, effect.message)
                case StartRun():
                    self._work.add(Work.starts_decided)
                    self._spawn(self._start(effect))
                case Hold():
                    self._work.add(Work.holds_decided)
                    self._spawn(self._hold(effect))
                case Fenced():
                    self._fenced()
                case StopRun():
                    self._work.add(Work.stops_decided)
                    self._spawn(self._client.stop(effect))
                case Noted():
                    log_event(
                        effect.event,
                        LogLevel.info,
                        **dict(effect.values),
                    )

    def _spawn(self, order: Coroutine[Any, Any, None]) -> None:
        self._work.add(Work.orders_carried)
        task = asyncio.create_task(order)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _start(self, order: StartRun) -> None:
        asked_at = steady_now()
        answer = await self._client.start(order)
        now = steady_now()
        self._work.add(Work.answers_taken)
        if isinstance(answer, Started):
            take = partial(self._dispatcher.start_answered, asked_at=asked_at)
            self._convey(take(order, answer.clock_ms, now=now))
        elif isinstance(answer, OrderRefused):
            refusal = answer.refusal
            self._convey(
                self._dispatcher.start_refused(order, refusal, now=now),
            )
        else:
            self._convey(self._dispatcher.unanswered(order, now=now))

    async def _hold(self, order: Hold) -> None:
        asked_at = steady_now()
        answer = await self._client.hold(order)
        now = steady_now()
        self._work.add(Work.answers_taken)
        if isinstance(answer, EndpointView):
            take = partial(self._dispatcher.hold_answered, asked_at=asked_at)
            self._convey(take(order, answer, now=now))
        elif isinstance(answer, OrderRefused):
            refusal = answer.refusal
            self._convey(
                self._dispatcher.hold_refused(order, refusal, now=now),
            )
        else:
            self._convey(self._dispatcher.unanswered(order, now=now))
