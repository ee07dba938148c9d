"""Which instance carries the orders of a dispatcher to which endpoint.

Decisions need one view of all endpoints; carrying orders doesn't.  So the
instance that decides leaves that to others, in batches.

A carrier may die, hang or be cut off with orders that it was given.  To the
dispatcher these are orders without an answer, which it voids by a hold with a
higher token, through another carrier.  Each order bears its token and the end
of its lease, so that one that was held up does nothing.
"""

import zlib
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from itertools import chain
from typing import Final

from cuminstack.core import EndpointId, InstanceId, Send, ZoneName
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

#: Seconds between two requests for an echo.
_ECHO_SECONDS: Final = 0.1
#: Requests of which a carrier has to have answered one.  They are counted, as
#: a dispatcher that is late itself must not take its carriers for lost.
_ECHOES: Final = 3
#: Orders of one frame at most: each may bear a payload of 4 kB, and a frame
#: holds 8 MB.
_MOST_ORDERS: Final = 200
#: Carriers that are too few for all orders of a deployment.
_FEW_CARRIERS: Final = 2
#: Seconds for which orders wait for the first echoes; these take one way and
#: back between availability zones.
_SETTLE_SECONDS: Final = 0.03
#: Seconds for which a carrier is left out at an endpoint after an order there
#: had no answer.
_AVOID_SECONDS: Final = 2.0
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


@dataclass(frozen=True, slots=True)
class _Echo:
    stamp: float
    clock: float
    zone: str


@dataclass(frozen=True, slots=True)
class _Avoided:
    carrier: InstanceId
    until: float


class Carriage:
    """Hands orders to carriers, and matches their answers.

    Args:
        own: This instance; it carries orders if no other can.
        session: Differs from that of every other dispatcher's orders.
        now: The present time.
    """

    def __init__(self, own: InstanceId, *, session: int, now: float) -> None:
        self._own = own
        self._session = session
        self._begun_at = now
        self._asked: deque[float] = deque(maxlen=_ECHOES)
        self._candidates: tuple[InstanceId, ...] = ()
        self._echoes: dict[InstanceId, _Echo] = {}
        self._zones: dict[EndpointId, ZoneName] = {}
        self._usable: tuple[InstanceId, ...] = ()
        self._rankings: dict[EndpointId, tuple[InstanceId, ...]] = {}
        self._places: dict[EndpointId, InstanceId] = {}
        self._avoided: dict[EndpointId, _Avoided] = {}
        self._numbers = 0
        self._given: dict[int, _Given] = {}
        self._waiting: list[Order] = []

    @property
    def usable(self) -> tuple[InstanceId, ...]:
        """Carriers that answered lately, as of the last batch."""
        return self._usable

    def locate(self, report: EndpointReport) -> None:
        """Take where an endpoint is."""
        if self._zones.get(report.endpoint) != report.zone:
            self._zones[report.endpoint] = report.zone
            self._rankings.pop(report.endpoint, None)

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
        if self._asked and now - self._asked[-1] < _ECHO_SECONDS:
            return ()
        self._asked.append(now)
        self._candidates = tuple(preferred)
        self._refresh()
        is_new = now - self._begun_at < _SETTLE_SECONDS
        if len(self._usable) < _FEW_CARRIERS and not is_new:
            self._candidates = (*self._candidates, *others)
            self._refresh()
        carry = Carry(self._session, now)
        return tuple(Send(name, carry) for name in self._candidates)

    def collect(self, *, now: float) -> tuple[Send, ...]:
        """Give the orders that wait, in few batches for each carrier."""
        if not self._waiting:
            return ()
        self._refresh()
        if not self._is_settled(now):
            return ()
        batches: defaultdict[InstanceId, list[Order]] = defaultdict(list)
        for order in self._waiting:
            batches[self._choose(order, now)].append(order)
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
        known = self._echoes.get(sender)
        # A carrier's own clock begins anew with its machine.
        if known is None or carried.stamp >= known.stamp:
            echo = _Echo(carried.stamp, carried.clock, carried.zone)
            self._echoes[sender] = echo
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
        echo = self._echoes.get(name)
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

    def _refresh(self) -> None:
        usable = tuple(
            name
            for name in self._candidates
            if name in self._echoes
            and self._echoes[name].stamp >= self._asked[0]
        )
        if usable != self._usable:
            self._usable = usable
            self._rankings.clear()

    def _is_settled(self, now: float) -> bool:
        has_all = self._candidates and len(self._usable) == len(
            self._candidates,
        )
        return bool(has_all) or now - self._begun_at >= _SETTLE_SECONDS

    def _choose(self, order: Order, now: float) -> InstanceId:
        endpoint = order.endpoint
        if isinstance(order, Hold) and order.fresh:
            # What went this way has no answer.
            before = self._places.get(endpoint)
            if before is not None:
                until = now + _AVOID_SECONDS
                self._avoided[endpoint] = _Avoided(before, until)
        place = self._first_of(endpoint, now)
        self._places[endpoint] = place
        return place

    def _first_of(self, endpoint: EndpointId, now: float) -> InstanceId:
        ranking = self._rankings.get(endpoint)
        if ranking is None:
            ranking = self._rank(endpoint)
            self._rankings[endpoint] = ranking
        avoided = self._avoided.get(endpoint)
        if avoided is None:
            return ranking[0]
        if now >= avoided.until:
            self._avoided.pop(endpoint)
            return ranking[0]
        others = (name for name in ranking if name != avoided.carrier)
        return next(others, ranking[0])

    def _rank(self, endpoint: EndpointId) -> tuple[InstanceId, ...]:
        """Put carriers of the endpoint's zone first, spread over endpoints."""
        if not self._usable:
            return (self._own,)
        return tuple(
            sorted(self._usable, key=partial(self._place_of, endpoint)),
        )

    def _place_of(
        self,
        endpoint: EndpointId,
        name: InstanceId,
    ) -> tuple[bool, int]:
        is_far = self._echoes[name].zone != self._zones.get(endpoint)
        return is_far, zlib.crc32(f'{name} {endpoint}'.encode())

    def _forget_old(self, now: float) -> None:
        # Orders are kept in the order in which they were given.
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
