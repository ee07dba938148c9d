"""Orders of a dispatcher on their way to the instances that carry them.

Decisions need one view of all endpoints; carrying orders doesn't.  So the
instance that decides leaves that to others, in batches.

A carrier may die, hang or be cut off with orders that it was given.  To the
dispatcher these are orders without an answer, which it voids by a hold with a
higher token, through another carrier.  Each order bears its token and the end
of its lease, so that one that was held up does nothing.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import chain
from typing import Final

from cuminstack.core import InstanceId, Send
from cuminstack.fleet._carriers import Carriers, Echo
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

#: Seconds between two requests for echoes.
_ECHO_SECONDS: Final = 0.1
#: Orders of one frame at most: each may bear a payload of 4 kB, and a frame
#: holds 8 MB.
_MOST_ORDERS: Final = 200
#: Seconds after which an order gets no answer any more: all that waits for
#: one has been voided.
_FORGET_SECONDS: Final = 1.5

Order = StartRun | StopRun | Hold
Answer = Started | OrderRefused | EndpointView | NoAnswer


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """The answer to an order.

    Args:
        order: The order.
        asked_at: When it was given to a carrier.
        answer: What the endpoint answered.
    """

    order: StartRun | Hold
    asked_at: float
    answer: Answer


@dataclass(frozen=True, slots=True)
class _Given:
    order: StartRun | Hold
    at: float


class Carriage:
    """Hands orders to carriers, and matches their answers.

    Args:
        own: This instance; it carries orders if no other can.
        session: Differs from that of every other dispatcher's orders.
        now: The present time.
    """

    def __init__(self, own: InstanceId, *, session: int, now: float) -> None:
        self._session = session
        self._carriers = Carriers(own, now=now)
        self._numbers = 0
        # In the order in which they were given.
        self._given: dict[int, _Given] = {}
        self._waiting: list[Order] = []

    def locate(self, report: EndpointReport, *, now: float) -> None:
        """Take where an endpoint is."""
        self._carriers.locate(report.endpoint, report.zone, now=now)

    def give(self, order: Order) -> None:
        """Have an order carried with the next batch."""
        self._waiting.append(order)

    def ask(
        self,
        preferred: Iterable[InstanceId],
        others: Iterable[InstanceId] = (),
        *,
        now: float,
    ) -> tuple[Send, ...]:
        """Ask for echoes if it is time; forget orders that were voided.

        Args:
            preferred: Other instances that may carry orders.
            others: Those that do if hardly any of the preferred can.
            now: The present time.
        """
        self._forget_old(now)
        asked_at = self._carriers.asked_at
        if asked_at is not None and now - asked_at < _ECHO_SECONDS:
            return ()
        carry = Carry(self._session, now)
        asked = self._carriers.ask(preferred, others, now=now)
        return tuple(Send(name, carry) for name in asked)

    def collect(self, *, now: float) -> tuple[Send, ...]:
        """Give the orders that wait, in few batches for each carrier."""
        if not self._waiting or not self._carriers.is_settled(now=now):
            return ()
        batches: defaultdict[InstanceId, list[Order]] = defaultdict(list)
        for order in self._waiting:
            if isinstance(order, Hold) and order.fresh:
                self._carriers.avoid_newest(order.endpoint, now=now)
            name = self._carriers.choose(order.endpoint, now=now)
            batches[name].append(order)
        self._waiting.clear()
        return tuple(
            Send(name, self._batch(name, part, now))
            for name, orders in batches.items()
            for part in _split(orders)
        )

    def receive(
        self,
        sender: InstanceId,
        carried: Carried,
    ) -> Iterator[OrderAnswered]:
        """Take the answers that a carrier got, each once."""
        if carried.session != self._session:
            return
        echo = Echo(carried.stamp, carried.clock, carried.zone)
        self._carriers.hear(sender, echo)
        for number, answer in _answers(carried):
            given = self._given.pop(number, None)
            if given is not None:
                yield OrderAnswered(given.order, given.at, answer)

    def _batch(
        self,
        name: InstanceId,
        orders: list[Order],
        now: float,
    ) -> Carry:
        echo = self._carriers.echo_of(name)
        return Carry(
            self._session,
            now,
            # What an instance gives to itself is not held up.
            heard=now if echo is None else echo.clock,
            starts=tuple(
                (self._number(order, now), order)
                for order in orders
                if isinstance(order, StartRun)
            ),
            holds=tuple(
                (self._number(order, now), order)
                for order in orders
                if isinstance(order, Hold)
            ),
            stops=tuple(
                order for order in orders if isinstance(order, StopRun)
            ),
        )

    def _number(self, order: StartRun | Hold, now: float) -> int:
        self._numbers += 1
        self._given[self._numbers] = _Given(order, now)
        return self._numbers

    def _forget_old(self, now: float) -> None:
        for number, given in tuple(self._given.items()):
            if now - given.at < _FORGET_SECONDS:
                return
            self._given.pop(number)


def _split(orders: list[Order]) -> Iterator[list[Order]]:
    for first in range(0, len(orders), _MOST_ORDERS):
        yield orders[first : first + _MOST_ORDERS]


def _answers(carried: Carried) -> Iterator[tuple[int, Answer]]:
    # An order is carried out before what was asked after it.
    return chain(
        ((number, Started(clock)) for number, clock in carried.started),
        ((number, OrderRefused(why)) for number, why in carried.refused),
        carried.views,
        ((number, NoAnswer(why)) for number, why in carried.unanswered),
    )
