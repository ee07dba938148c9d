"""Endpoints by service, and those that take starts by their free room.

A start or an end changes the room of one endpoint, so the others keep their
places from event to event.
"""

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Collection, Container, Iterator, Sequence
from itertools import islice
from typing import NamedTuple

from cuminstack.core import EndpointId
from cuminstack.pool._endpoint import Endpoint, Phase
from cuminstack.pool._jobs import Job
from cuminstack.pool._records import Room


class FreeRoom(NamedTuple):
    """An endpoint by its free room; the least comes first.

    Args:
        millicores: What is free of them.
        number: Of the endpoint.
        endpoint: The endpoint.
    """

    millicores: int
    number: int
    endpoint: Endpoint


class Rooms:
    """The endpoints of all services, and their room."""

    def __init__(self) -> None:
        self._changed: dict[int, Endpoint] = {}
        self._known: dict[int, tuple[str, FreeRoom]] = {}
        self._services: dict[int, str] = {}
        self._members: defaultdict[str, dict[int, Endpoint]] = defaultdict(dict)
        self._takers: defaultdict[str, list[FreeRoom]] = defaultdict(list)
        # What takes starts now or will, put aside or not.
        self._offers: dict[int, tuple[str, int]] = {}
        self._offered: defaultdict[str, int] = defaultdict(int)
        # Endpoints that are put aside, or were.
        self._aside: dict[int, Endpoint] = {}

    def note(self, endpoint: Endpoint) -> None:
        """Take that an endpoint has come, changed or left."""
        self._changed[endpoint.number] = endpoint

    def takers(self, service: str) -> Sequence[FreeRoom]:
        """List the endpoints of a service that take starts now.

        The list is changed by later calls, not by events between them.
        """
        self._put_changed()
        return self._takers[service]

    def members(self, service: str) -> Collection[Endpoint]:
        """List the endpoints of a service that are not gone."""
        self._put_changed()
        return self._members[service].values()

    def capacity(self, service: str, *, now: float) -> int:
        """Sum up the millicores that will take starts, though not yet.

        Orders are voided within milliseconds, and a new dispatcher joins all
        endpoints as quickly.
        """
        self._put_changed()
        return self._offered[service] - self._put_aside(service, now)

    def _put_aside(self, service: str, now: float) -> int:
        """Sum up the millicores of endpoints that are put aside."""
        millicores = 0
        for number, endpoint in tuple(self._aside.items()):
            name, offered = self._offers.get(number, ('', 0))
            if not endpoint.health.is_aside(now=now):
                self._aside.pop(number)
            elif name == service:
                millicores += offered
        return millicores

    def _put_changed(self) -> None:
        for endpoint in self._changed.values():
            self._put_member(endpoint)
            self._put_taker(endpoint)
            self._put_offer(endpoint)
        self._changed.clear()

    def _put_member(self, endpoint: Endpoint) -> None:
        number = endpoint.number
        name = endpoint.report.service
        known = self._services.get(number, name)
        if known != name or endpoint.phase is Phase.gone:
            self._members[known].pop(number, None)
            self._services.pop(number, None)
        if endpoint.phase is not Phase.gone:
            self._members[name][number] = endpoint
            self._services[number] = name

    def _put_offer(self, endpoint: Endpoint) -> None:
        number = endpoint.number
        name, millicores = self._offers.pop(number, ('', 0))
        self._offered[name] -= millicores
        self._aside.pop(number, None)
        if endpoint.will_take_starts:
            name = endpoint.report.service
            millicores = endpoint.report.room.millicores
            self._offers[number] = (name, millicores)
            self._offered[name] += millicores
        if endpoint.health.may_be_aside:
            self._aside[number] = endpoint

    def _put_taker(self, endpoint: Endpoint) -> None:
        known = self._known.pop(endpoint.number, None)
        if known is not None:
            name, room = known
            takers = self._takers[name]
            takers.pop(bisect_left(takers, room))
        if endpoint.takes_starts:
            name = endpoint.report.service
            free = endpoint.free.millicores
            room = FreeRoom(free, endpoint.number, endpoint)
            insort(self._takers[name], room)
            self._known[endpoint.number] = (name, room)


class Starters:
    """The endpoints of a service that may get starts at a moment.

    Those put aside are among them only if no others are left.

    Args:
        rooms: Knows the endpoints.
        service: The service.
        now: The moment.
    """

    def __init__(self, rooms: Rooms, service: str, *, now: float) -> None:
        self._rooms = rooms
        self._service = service
        self._now = now
        self._has_sound = any(
            not each.endpoint.health.is_aside(now=now) for each in self._takers
        )
        self._most: Room | None = None
        self.measure()

    @property
    def millicores(self) -> int:
        """The most that is free at one of them; negative if none is."""
        return self._millicores

    @property
    def _takers(self) -> Sequence[FreeRoom]:
        return self._rooms.takers(self._service)

    def measure(self) -> None:
        """Take how much is free at most, after a start."""
        largest = (
            each.millicores
            for each in reversed(self._takers)
            if self._may_start(each.endpoint)
        )
        self._millicores = next(largest, -1)

    def missed(self) -> None:
        """Take that a task found no room, so that others spare the search.

        What is free of other resources is measured once, as it only becomes
        less within the moment.
        """
        if self._most is None:
            rooms = [endpoint.free for endpoint in self.holding(0)]
            self._most = Room(
                self._millicores,
                max((room.memory_mb for room in rooms), default=-1),
                max((room.accelerators for room in rooms), default=-1),
            )

    def suits(self, job: Job) -> bool:
        """Tell whether a task of a job may find room; if not, none does."""
        if self._most is None:
            return True
        return any(self._most.holds(needs) for needs in job.ready_needs)

    def holding(self, millicores: int) -> Iterator[Endpoint]:
        """List those with so much free, that with the least room first."""
        takers = self._takers
        first = bisect_left(takers, (millicores,))
        for each in islice(takers, first, None):
            if self._may_start(each.endpoint):
                yield each.endpoint

    def has_others(self, than: Container[EndpointId]) -> bool:
        """Tell whether there are any, with room or not, beside some."""
        return any(
            each.endpoint.report.endpoint not in than
            for each in self._takers
            if self._may_start(each.endpoint)
        )

    def _may_start(self, endpoint: Endpoint) -> bool:
        return not (self._has_sound and endpoint.health.is_aside(now=self._now))
