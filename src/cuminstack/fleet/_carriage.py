"""Routing of a dispatcher's orders to endpoints through carriers.

Deciding needs a single view of all endpoints, but sending the orders doesn't.
The dispatcher therefore sends its orders in batches to other instances, the
carriers, which forward them to the endpoints and return the answers.

A carrier may crash, hang or be cut off with orders that it was given.  For
the dispatcher these are unanswered orders, which it voids by a hold with a
higher fencing token, sent through another carrier.  Each order has its token
and the end of its lease, so that a delayed order has no effect.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import chain
from typing import Final

from cuminstack.core import InstanceId, Send
from cuminstack.fleet._carrier_selector import CarrierSelector, Echo
from cuminstack.fleet._carry_messages import Carried, Carry
from cuminstack.pool import (
    EndpointReport,
    EndpointView,
    Hold,
    NoAnswer,
    OrderRefused,
    Started,
    StartRun,
    StopRun,
)

#: Seconds between two echo requests.
_ECHO_INTERVAL_SECONDS: Final = 0.1
#: Orders in one frame at most.  An order may have a payload of 4 kB, and a
#: frame holds 8 MB.
_MAX_ORDERS_PER_FRAME: Final = 200
#: Seconds after which the answer to an order is ignored: unanswered orders
#: have been voided by then.
_ORDER_EXPIRY_SECONDS: Final = 1.5

Order = StartRun | StopRun | Hold
Answer = Started | OrderRefused | EndpointView | NoAnswer


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """The answer to an order.

    Args:
        order: The order.
        asked_at: When the order was sent to a carrier, in seconds.
        answer: Answer of the endpoint, or why there is none.
    """

    order: StartRun | Hold
    asked_at: float
    answer: Answer


@dataclass(frozen=True, slots=True)
class _SentOrder:
    order: StartRun | Hold
    sent_at: float


class OrderRouter:
    """Routes orders to carriers and matches answers with orders.

    Args:
        own: This instance; it carries orders if no other can.
        session: Identifies this dispatcher's orders; no other dispatcher has
            the same.
        now: The present time in seconds.
    """

    def __init__(self, own: InstanceId, *, session: int, now: float) -> None:
        self._session = session
        self._selector = CarrierSelector(own, now=now)
        self._last_number = 0
        # In the order in which they were sent.
        self._unanswered: dict[int, _SentOrder] = {}
        self._queued: list[Order] = []

    def record_zone(self, report: EndpointReport, *, now: float) -> None:
        """Record the zone of an endpoint from its heartbeat."""
        self._selector.record_zone(report.endpoint, report.zone, now=now)

    def enqueue(self, order: Order) -> None:
        """Add an order to the next batch."""
        self._queued.append(order)

    def request_echoes(
        self,
        preferred: Iterable[InstanceId],
        others: Iterable[InstanceId] = (),
        *,
        now: float,
    ) -> tuple[Send, ...]:
        """Return echo requests if they are due, and remove expired orders.

        Args:
            preferred: Other instances that may carry orders.
            others: Further instances, used only while too few of the
                preferred ones are usable.
            now: The present time in seconds.
        """
        self._remove_expired(now)
        requested_at = self._selector.requested_at
        if (
            requested_at is not None
            and now - requested_at < _ECHO_INTERVAL_SECONDS
        ):
            return ()
        carry = Carry(self._session, now)
        receivers = self._selector.request_echoes(preferred, others, now=now)
        return tuple(Send(name, carry) for name in receivers)

    def flush(self, *, now: float) -> tuple[Send, ...]:
        """Return the queued orders, in one or a few batches per carrier."""
        if not self._queued or not self._selector.is_settled(now=now):
            return ()
        batches: defaultdict[InstanceId, list[Order]] = defaultdict(list)
        for order in self._queued:
            if isinstance(order, Hold) and order.fresh:
                # It voids earlier orders, so it avoids their carrier.
                self._selector.avoid_last_used(order.endpoint, now=now)
            name = self._selector.choose(order.endpoint, now=now)
            batches[name].append(order)
        self._queued.clear()
        return tuple(
            Send(name, self._build_batch(name, part, now))
            for name, orders in batches.items()
            for part in _split_into_frames(orders)
        )

    def receive(
        self,
        sender: InstanceId,
        carried: Carried,
    ) -> Iterator[OrderAnswered]:
        """Yield the answers that a carrier returned, each once.

        Answers to another dispatcher's orders are ignored.
        """
        if carried.session != self._session:
            return
        echo = Echo(carried.stamp, carried.clock, carried.zone)
        self._selector.record_echo(sender, echo)
        for number, answer in _numbered_answers(carried):
            sent = self._unanswered.pop(number, None)
            if sent is not None:
                yield OrderAnswered(sent.order, sent.sent_at, answer)

    def _build_batch(
        self,
        name: InstanceId,
        orders: list[Order],
        now: float,
    ) -> Carry:
        echo = self._selector.latest_echo(name)
        return Carry(
            self._session,
            now,
            # Without an echo this instance carries the orders itself, and
            # they can't be delayed in a link.
            heard=now if echo is None else echo.clock,
            starts=tuple(
                (self._register_sent(order, now), order)
                for order in orders
                if isinstance(order, StartRun)
            ),
            holds=tuple(
                (self._register_sent(order, now), order)
                for order in orders
                if isinstance(order, Hold)
            ),
            stops=tuple(
                order for order in orders if isinstance(order, StopRun)
            ),
        )

    def _register_sent(self, order: StartRun | Hold, now: float) -> int:
        """Return a new number for an order whose answer is expected."""
        self._last_number += 1
        self._unanswered[self._last_number] = _SentOrder(order, now)
        return self._last_number

    def _remove_expired(self, now: float) -> None:
        for number, sent in tuple(self._unanswered.items()):
            if now - sent.sent_at < _ORDER_EXPIRY_SECONDS:
                return
            self._unanswered.pop(number)


def _split_into_frames(orders: list[Order]) -> Iterator[list[Order]]:
    for first in range(0, len(orders), _MAX_ORDERS_PER_FRAME):
        yield orders[first : first + _MAX_ORDERS_PER_FRAME]


def _numbered_answers(carried: Carried) -> Iterator[tuple[int, Answer]]:
    # Starts come before views, as a view that was requested later may
    # already include their runs.
    return chain(
        ((number, Started(clock)) for number, clock in carried.started),
        ((number, OrderRefused(why)) for number, why in carried.refused),
        carried.views,
        ((number, NoAnswer(why)) for number, why in carried.unanswered),
    )
