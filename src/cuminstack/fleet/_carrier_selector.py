"""Selection of the instance that carries an order to an endpoint."""

import zlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from typing import Final

from cuminstack.core import EndpointId, InstanceId, ZoneName

#: Number of the latest echo requests of which a usable carrier has answered
#: at least one.  Requests are counted rather than timed, so that a dispatcher
#: that is delayed itself doesn't take its carriers for lost.
_ECHO_REQUESTS: Final = 3
#: Fewer usable carriers than this can't carry all orders of a deployment.
_MIN_CARRIERS: Final = 2
#: Seconds for which the first orders wait for echoes: one round trip between
#: availability zones.
_SETTLE_SECONDS: Final = 0.03
#: Seconds for which an endpoint's orders avoid a carrier after an order
#: through it had no answer.
_AVOID_SECONDS: Final = 2.0
#: Seconds after its last heartbeat for which an endpoint is remembered.
_ENDPOINT_EXPIRY_SECONDS: Final = 30.0


@dataclass(frozen=True, slots=True)
class Echo:
    """A carrier's latest reply to an echo request.

    Args:
        stamp: Dispatcher's clock in the request, in seconds.
        clock: Carrier's clock when it replied, in seconds.
        zone: Availability zone of the carrier.
    """

    stamp: float
    clock: float
    zone: str


@dataclass(slots=True)
class _Route:
    """How orders reach one endpoint.

    Args:
        zone: Availability zone of the endpoint; None if it isn't known.
        updated_at: When the zone was last reported.
        ranking: Carriers, the best first; None if they have to be ranked.
        last_used: The carrier of the latest order.
        avoided: The carrier whose order had no answer.
        avoided_until: Time until which that carrier is avoided.
    """

    zone: ZoneName | None
    updated_at: float
    ranking: tuple[InstanceId, ...] | None = None
    last_used: InstanceId | None = None
    avoided: InstanceId | None = None
    avoided_until: float = 0


class CarrierSelector:
    """Selects the instances that carry a dispatcher's orders.

    An instance is usable as a carrier while it answers echo requests.

    Args:
        own: This instance; it carries orders if no other can.
        now: The present time in seconds.
    """

    def __init__(self, own: InstanceId, *, now: float) -> None:
        self._own = own
        self._started_at = now
        self._request_times: deque[float] = deque(maxlen=_ECHO_REQUESTS)
        self._candidates: tuple[InstanceId, ...] = ()
        self._usable: tuple[InstanceId, ...] = ()
        self._echoes: dict[InstanceId, Echo] = {}
        # In the order of their latest heartbeats, the oldest first.
        self._routes: dict[EndpointId, _Route] = {}

    @property
    def requested_at(self) -> float | None:
        """Time of the latest echo request, if there was one."""
        return self._request_times[-1] if self._request_times else None

    def is_settled(self, *, now: float) -> bool:
        """Return whether the usable carriers are known.

        They are once all candidates have answered, or after a time limit.
        """
        if now - self._started_at >= _SETTLE_SECONDS:
            return True
        return bool(self._usable) and self._usable == self._candidates

    def latest_echo(self, carrier: InstanceId) -> Echo | None:
        """Return the latest echo of a carrier, if there is one."""
        return self._echoes.get(carrier)

    def request_echoes(
        self,
        preferred: Iterable[InstanceId],
        others: Iterable[InstanceId],
        *,
        now: float,
    ) -> tuple[InstanceId, ...]:
        """Start an echo request and return the instances to send it to.

        Args:
            preferred: Instances that may carry orders.
            others: Further instances, used only while too few of the
                preferred ones are usable.
            now: The present time in seconds.
        """
        self._request_times.append(now)
        self._candidates = tuple(preferred)
        self._refresh()
        is_new = now - self._started_at < _SETTLE_SECONDS
        if len(self._usable) < _MIN_CARRIERS and not is_new:
            self._candidates = (*self._candidates, *others)
            self._refresh()
        return self._candidates

    def record_echo(self, carrier: InstanceId, echo: Echo) -> None:
        """Record an echo of a carrier, unless a later one is known.

        This instance's own replies are no echoes: none is requested from it, so
        the first one would age until its own orders count as delayed.
        """
        if carrier == self._own:
            return
        known = self._echoes.get(carrier)
        # Compared by the dispatcher's clock, since a carrier's own clock
        # restarts with its machine.
        if known is None or echo.stamp >= known.stamp:
            self._echoes[carrier] = echo
            self._refresh()

    def record_zone(
        self, endpoint: EndpointId, zone: ZoneName, *, now: float
    ) -> None:
        """Record an endpoint's zone, and remove endpoints that expired."""
        route = self._routes.pop(endpoint, None)
        if route is None or route.zone != zone:
            route = _Route(zone, now)
        route.updated_at = now
        self._routes[endpoint] = route
        for name, oldest in tuple(self._routes.items()):
            if now - oldest.updated_at < _ENDPOINT_EXPIRY_SECONDS:
                return
            self._routes.pop(name)

    def choose(self, endpoint: EndpointId, *, now: float) -> InstanceId:
        """Return the instance that carries the next order to an endpoint."""
        route = self._route(endpoint, now)
        if route.ranking is None:
            route.ranking = self._rank(endpoint, route.zone)
        chosen = route.ranking[0]
        if now < route.avoided_until:
            others = (name for name in route.ranking if name != route.avoided)
            chosen = next(others, chosen)
        route.last_used = chosen
        return chosen

    def avoid_last_used(self, endpoint: EndpointId, *, now: float) -> None:
        """Avoid the carrier of an endpoint's latest order for a while.

        Called when that order had no answer.
        """
        route = self._route(endpoint, now)
        if route.last_used is not None:
            route.avoided = route.last_used
            route.avoided_until = now + _AVOID_SECONDS

    def _route(self, endpoint: EndpointId, now: float) -> _Route:
        return self._routes.setdefault(endpoint, _Route(None, now))

    def _refresh(self) -> None:
        """Find the usable candidates; rankings are void if they changed."""
        usable = tuple(
            name
            for name in self._candidates
            if name in self._echoes
            and self._echoes[name].stamp >= self._request_times[0]
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
        """Return the usable carriers, those in the endpoint's zone first.

        Carriers of equal distance are ordered by a hash of carrier and
        endpoint, so that each carries for a similar number of endpoints.
        """
        if not self._usable:
            return (self._own,)
        rank_key = partial(self._rank_key, endpoint, zone)
        return tuple(sorted(self._usable, key=rank_key))

    def _rank_key(
        self,
        endpoint: EndpointId,
        zone: ZoneName | None,
        name: InstanceId,
    ) -> tuple[bool, int]:
        is_far = self._echoes[name].zone != zone
        return is_far, zlib.crc32(f'{name} {endpoint}'.encode())
