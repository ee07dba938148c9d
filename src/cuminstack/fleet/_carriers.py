"""Which instances can carry orders, and which of them goes to an endpoint."""

import zlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from typing import Final

from cuminstack.core import EndpointId, InstanceId, ZoneName

#: Requests for an echo of which a carrier has to have answered one.  They are
#: counted, as a dispatcher that is late itself must not take its carriers for
#: lost.
_ECHOES: Final = 3
#: Carriers that are too few for all orders of a deployment.
_FEW_CARRIERS: Final = 2
#: Seconds for which the first orders wait for echoes; these take one way and
#: back between availability zones.
_SETTLE_SECONDS: Final = 0.03
#: Seconds for which a carrier is left out at an endpoint after an order there
#: had no answer.
_AVOID_SECONDS: Final = 2.0
#: Seconds after its last heartbeat for which an endpoint is remembered.
_FORGET_SECONDS: Final = 30.0


@dataclass(frozen=True, slots=True)
class Echo:
    """The newest answer of a carrier.

    Args:
        stamp: Clock of the dispatcher that it answered.
        clock: Clock of the carrier then.
        zone: Availability zone of the carrier.
    """

    stamp: float
    clock: float
    zone: str


@dataclass(slots=True)
class _Route:
    """How orders go to one endpoint.

    Args:
        zone: Where the endpoint is.
        located_at: When that was heard.
        ranking: Carriers, the best first; None if they are not ranked yet.
        newest: The one that had the newest order.
        avoided: One whose order had no answer.
        avoided_until: Until when it is left out.
    """

    zone: ZoneName | None
    located_at: float
    ranking: tuple[InstanceId, ...] | None = None
    newest: InstanceId | None = None
    avoided: InstanceId | None = None
    avoided_until: float = 0


class Carriers:
    """The instances that carry a dispatcher's orders.

    Args:
        own: This instance; it carries orders if no other can.
        now: The present time.
    """

    def __init__(self, own: InstanceId, *, now: float) -> None:
        self._own = own
        self._begun_at = now
        self._asked: deque[float] = deque(maxlen=_ECHOES)
        self._candidates: tuple[InstanceId, ...] = ()
        self._usable: tuple[InstanceId, ...] = ()
        self._echoes: dict[InstanceId, Echo] = {}
        # The one that was located longest ago comes first.
        self._routes: dict[EndpointId, _Route] = {}

    @property
    def asked_at(self) -> float | None:
        """When echoes were asked for last, if they were."""
        return self._asked[-1] if self._asked else None

    def is_settled(self, *, now: float) -> bool:
        """Tell whether it is known by now who can carry orders."""
        if now - self._begun_at >= _SETTLE_SECONDS:
            return True
        return bool(self._usable) and self._usable == self._candidates

    def echo_of(self, carrier: InstanceId) -> Echo | None:
        """Give the newest echo of a carrier."""
        return self._echoes.get(carrier)

    def ask(
        self,
        preferred: Iterable[InstanceId],
        others: Iterable[InstanceId],
        *,
        now: float,
    ) -> tuple[InstanceId, ...]:
        """Give the instances that are to send an echo.

        Args:
            preferred: Those that may carry orders.
            others: Those that do if hardly any of the preferred can.
            now: The present time.
        """
        self._asked.append(now)
        self._candidates = tuple(preferred)
        self._refresh()
        is_new = now - self._begun_at < _SETTLE_SECONDS
        if len(self._usable) < _FEW_CARRIERS and not is_new:
            self._candidates = (*self._candidates, *others)
            self._refresh()
        return self._candidates

    def hear(self, carrier: InstanceId, echo: Echo) -> None:
        """Take an echo."""
        known = self._echoes.get(carrier)
        # A carrier's own clock begins anew with its machine.
        if known is None or echo.stamp >= known.stamp:
            self._echoes[carrier] = echo
            self._refresh()

    def locate(
        self, endpoint: EndpointId, zone: ZoneName, *, now: float
    ) -> None:
        """Take where an endpoint is, and forget those that are gone."""
        route = self._routes.pop(endpoint, None)
        if route is None or route.zone != zone:
            route = _Route(zone, now)
        route.located_at = now
        self._routes[endpoint] = route
        for name, oldest in tuple(self._routes.items()):
            if now - oldest.located_at < _FORGET_SECONDS:
                return
            self._routes.pop(name)

    def choose(self, endpoint: EndpointId, *, now: float) -> InstanceId:
        """Give who carries an order to an endpoint."""
        route = self._route(endpoint, now)
        if route.ranking is None:
            route.ranking = self._rank(endpoint, route.zone)
        chosen = route.ranking[0]
        if now < route.avoided_until:
            others = (name for name in route.ranking if name != route.avoided)
            chosen = next(others, chosen)
        route.newest = chosen
        return chosen

    def avoid_newest(self, endpoint: EndpointId, *, now: float) -> None:
        """Take that what went to an endpoint last had no answer."""
        route = self._route(endpoint, now)
        if route.newest is not None:
            route.avoided = route.newest
            route.avoided_until = now + _AVOID_SECONDS

    def _route(self, endpoint: EndpointId, now: float) -> _Route:
        return self._routes.setdefault(endpoint, _Route(None, now))

    def _refresh(self) -> None:
        usable = tuple(
            name
            for name in self._candidates
            if name in self._echoes
            and self._echoes[name].stamp >= self._asked[0]
        )
        if usable != self._usable:
            self._usable = usable
            for route in self._routes.values():
                route.ranking = None

    def _rank(
        self,
        endpoint: EndpointId,
        zone: ZoneName | None,
    ) -> tuple[InstanceId, ...]:
        """Put carriers of the endpoint's zone first, spread over endpoints."""
        if not self._usable:
            return (self._own,)
        place = partial(self._place_of, endpoint, zone)
        return tuple(sorted(self._usable, key=place))

    def _place_of(
        self,
        endpoint: EndpointId,
        zone: ZoneName | None,
        name: InstanceId,
    ) -> tuple[bool, int]:
        is_far = self._echoes[name].zone != zone
        return is_far, zlib.crc32(f'{name} {endpoint}'.encode())
