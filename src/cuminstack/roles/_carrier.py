"""Forwards a dispatcher's orders to endpoints and returns the answers."""

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
from cuminstack.roles._batches import BatchSender
from cuminstack.roles._clock import steady_now
from cuminstack.roles._ports import EndpointClient
from cuminstack.roles._work import WorkKind, WorkLog
from cuminstack.settings import LogLevel

#: Decimal places of seconds in the log.
_LOG_DIGITS: Final = 3

MessageSender = Callable[[InstanceId, Any], None]


@dataclass(slots=True)
class _AnswerBuffer:
    """Answers to send to one dispatcher in the next frame."""

    batch_sender: BatchSender
    session: int = 0
    stamp: float = 0
    started: list[tuple[int, int]] = field(default_factory=list)
    refused: list[tuple[int, Refusal]] = field(default_factory=list)
    views: list[tuple[int, EndpointView]] = field(default_factory=list)
    unanswered: list[tuple[int, str]] = field(default_factory=list)

    def clear(self) -> None:
        """Discard the buffered answers."""
        for items in (
            self.started,
            self.refused,
            self.views,
            self.unanswered,
        ):
            items.clear()


class Carrier:
    """Forwards orders to endpoints for each dispatcher that sends some.

    Args:
        zone: Availability zone of this instance.
        client: Client that sends orders to endpoints.
        send: Sends a message to an instance.
        work: Counts the orders.
    """

    def __init__(
        self,
        *,
        zone: str,
        client: EndpointClient,
        send: MessageSender,
        work: WorkLog,
    ) -> None:
        self._zone = zone
        self._client = client
        self._send = send
        self._work = work
        self._buffers: dict[InstanceId, _AnswerBuffer] = {}
        self._calls: set[asyncio.Task[None]] = set()

    def stop(self) -> None:
        """Cancel all orders in progress."""
        for call in self._calls:
            call.cancel()

    def receive(self, sender: InstanceId, carry: Carry, *, now: float) -> None:
        """Forward orders, unless they were delayed in transit.

        A message without orders is answered at once.

        Args:
            sender: The dispatcher.
            carry: Its orders.
            now: The present time.
        """
        buffer = self._buffers.get(sender)
        if buffer is None:
            buffer = _AnswerBuffer(
                BatchSender(partial(self._send_answers, sender))
            )
            self._buffers[sender] = buffer
        if carry.session != buffer.session:
            # Answers to an earlier dispatcher's orders are no longer needed.
            buffer.clear()
            buffer.session = carry.session
            buffer.stamp = 0
        buffer.stamp = max(buffer.stamp, carry.stamp)
        if carry.has_orders:
            self._execute(sender, carry, now)
        else:
            self._send_answers(sender)

    def _execute(self, sender: InstanceId, carry: Carry, now: float) -> None:
        age = now - carry.heard
        if age > MAX_CARRY_AGE_SECONDS:
            log_event(
                'orders.held_up',
                LogLevel.warning,
                dispatcher=sender,
                age=round(age, _LOG_DIGITS),
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
        self._work.add(WorkKind.orders_carried)
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
        self._add_answer(sender, session, number, answer)

    async def _hold(
        self,
        sender: InstanceId,
        session: int,
        number: int,
        order: Hold,
    ) -> None:
        answer = await self._client.hold(order)
        self._add_answer(sender, session, number, answer)

    def _add_answer(
        self,
        sender: InstanceId,
        session: int,
        number: int,
        answer: Started | OrderRefused | EndpointView | NoAnswer,
    ) -> None:
        buffer = self._buffers[sender]
        if session != buffer.session:
            return
        match answer:
            case Started():
                buffer.started.append((number, answer.clock_ms))
            case OrderRefused():
                buffer.refused.append((number, answer.refusal))
            case EndpointView():
                buffer.views.append((number, answer))
            case NoAnswer():
                buffer.unanswered.append((number, answer.reason))
        buffer.batch_sender.schedule()

    def _send_answers(self, sender: InstanceId) -> None:
        buffer = self._buffers[sender]
        carried = Carried(
            session=buffer.session,
            stamp=buffer.stamp,
            clock=steady_now(),
            zone=self._zone,
            started=tuple(buffer.started),
            refused=tuple(buffer.refused),
            views=tuple(buffer.views),
            unanswered=tuple(buffer.unanswered),
        )
        buffer.clear()
        self._send(sender, carried)
