"""Carries orders of a dispatcher to endpoints, and their answers back."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

from cuminstack.core import InstanceId
from cuminstack.fleet import MAX_CARRY_AGE_SECONDS, Carried, Carry
from cuminstack.logs import log_event
from cuminstack.pool import (
    EndpointView,
    Hold,
    NoAnswer,
    OrderRefused,
    Refusal,
    Started,
    StartRun,
)
from cuminstack.roles._batches import Batches
from cuminstack.roles._clock import steady_now
from cuminstack.roles._ports import EndpointClient
from cuminstack.roles._work import Work, WorkLog
from cuminstack.settings import LogLevel

#: Digits of seconds after the point, in the log.
_DIGITS: Final = 3

Sender = Callable[[InstanceId, Any], None]


@dataclass(slots=True)
class _Answers:
    """What goes back to one dispatcher with the next frame."""

    batches: Batches
    session: int = 0
    stamp: float = 0
    started: list[tuple[int, int]] = field(default_factory=list)
    refused: list[tuple[int, Refusal]] = field(default_factory=list)
    views: list[tuple[int, EndpointView]] = field(default_factory=list)
    unanswered: list[tuple[int, str]] = field(default_factory=list)

    def clear(self) -> None:
        """Gather anew."""
        for gathered in (
            self.started,
            self.refused,
            self.views,
            self.unanswered,
        ):
            gathered.clear()


class Carrier:
    """Carries the orders of whoever dispatches.

    Args:
        zone: Availability zone of this instance.
        client: Reaches the endpoints.
        send: Sends a message to an instance.
        work: Counts what is done.
    """

    def __init__(
        self,
        *,
        zone: str,
        client: EndpointClient,
        send: Sender,
        work: WorkLog,
    ) -> None:
        self._zone = zone
        self._client = client
        self._send = send
        self._work = work
        self._answers: dict[InstanceId, _Answers] = {}
        self._calls: set[asyncio.Task[None]] = set()

    def stop(self) -> None:
        """Carry no more."""
        for call in self._calls:
            call.cancel()

    def receive(self, sender: InstanceId, carry: Carry, *, now: float) -> None:
        """Carry orders, unless they were held up on their way."""
        answers = self._answers.get(sender)
        if answers is None:
            answers = _Answers(Batches(partial(self._answer, sender)))
            self._answers[sender] = answers
        if carry.session != answers.session:
            # Nobody waits for the answers to another dispatcher's orders.
            answers.clear()
            answers.session = carry.session
            answers.stamp = 0
        answers.stamp = max(answers.stamp, carry.stamp)
        if carry.has_orders:
            self._carry(sender, carry, now)
        else:
            self._answer(sender)

    def _carry(self, sender: InstanceId, carry: Carry, now: float) -> None:
        age = now - carry.heard
        if age > MAX_CARRY_AGE_SECONDS:
            log_event(
                'orders.held_up',
                LogLevel.warning,
                dispatcher=sender,
                age=round(age, _DIGITS),
                starts=len(carry.starts),
            )
            return
        for number, start in carry.starts:
            self._spawn(self._start(sender, carry.session, number, start))
        for number, hold in carry.holds:
            self._spawn(self._hold(sender, carry.session, number, hold))
        for stop in carry.stops:
            self._spawn(self._client.stop(stop))

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        self._work.add(Work.orders_carried)
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _start(
        self,
        sender: InstanceId,
        session: int,
        number: int,
        order: StartRun,
    ) -> None:
        answer = await self._client.start(order)
        self._gather(sender, session, number, answer)

    async def _hold(
        self,
        sender: InstanceId,
        session: int,
        number: int,
        order: Hold,
    ) -> None:
        answer = await self._client.hold(order)
        self._gather(sender, session, number, answer)

    def _gather(
        self,
        sender: InstanceId,
        session: int,
        number: int,
        answer: Started | OrderRefused | EndpointView | NoAnswer,
    ) -> None:
        answers = self._answers[sender]
        if session != answers.session:
            return
        match answer:
            case Started():
                answers.started.append((number, answer.clock_ms))
            case OrderRefused():
                answers.refused.append((number, answer.refusal))
            case EndpointView():
                answers.views.append((number, answer))
            case NoAnswer():
                answers.unanswered.append((number, answer.reason))
        answers.batches.expect()

    def _answer(self, sender: InstanceId) -> None:
        answers = self._answers[sender]
        carried = Carried(
            session=answers.session,
            stamp=answers.stamp,
            clock=steady_now(),
            zone=self._zone,
            started=tuple(answers.started),
            refused=tuple(answers.refused),
            views=tuple(answers.views),
            unanswered=tuple(answers.unanswered),
        )
        answers.clear()
        self._send(sender, carried)
