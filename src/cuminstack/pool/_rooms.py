"""Endpoints by service, and those that accept starts by free capacity.

A start or an end of a run changes the free capacity of one endpoint only, so
the other endpoints keep their positions between events.  Endpoints of clearly
different speeds are indexed apart, so that the fast ones can come first.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import (
    Callable,
    Collection,
    Container,
    Iterable,
    Iterator,
    Sequence,
)
from itertools import chain, islice
from typing import NamedTuple

from cuminstack.core import EndpointId
from cuminstack.pool._endpoint import Endpoint, Phase
from cuminstack.pool._jobs import Job
from cuminstack.pool._records import Resources
from cuminstack.pool._speed_classes import (
    FreeCapacity,
    SpeedClasses,
    speed_class_of,
    unit_slowness,
)


class _Position(NamedTuple):
    """Where an endpoint is indexed."""

    service: str
    speed_class: int
    capacity: FreeCapacity


class CapacityIndex:
    """Index of endpoints and their capacity, by service.

    Args:
        slowness: Returns the factor on run times at an endpoint, compared
            with the mean of its service.
    """

    def __init__(
        self,
        *,
        slowness: Callable[[EndpointId], float] = unit_slowness,
    ) -> None:
        self._slowness = slowness
        self._changed: dict[int, Endpoint] = {}
        self._positions: dict[int, _Position] = {}
        self._services: dict[int, str] = {}
        self._members: defaultdict[str, dict[int, Endpoint]] = defaultdict(dict)
        self._startable: defaultdict[str, SpeedClasses] = defaultdict(
            SpeedClasses
        )
        # Service and millicores of each endpoint that accepts starts now or
        # will, including quarantined ones.
        self._offers: dict[int, tuple[str, int]] = {}
        self._offered: defaultdict[str, int] = defaultdict(int)
        # Service of each endpoint that is known but evacuated.
        self._evacuated: dict[int, str] = {}
        # Endpoints that are quarantined, or were.
        self._quarantined: dict[int, Endpoint] = {}

    def mark_changed(self, endpoint: Endpoint) -> None:
        """Mark an endpoint that was added, changed or removed."""
        self._changed[endpoint.number] = endpoint

    def startable(self, service: str) -> Sequence[Sequence[FreeCapacity]]:
        """Return the endpoints of a service that accept starts now.

        Later calls change the returned lists; events between calls do not.

        Returns:
            Endpoints by free capacity, for each speed class, the fastest
            first.
        """
        self._apply_changes()
        return self._startable[service].lists

    def members(self, service: str) -> Collection[Endpoint]:
        """Return the endpoints of a service, except gone or evacuated ones."""
        self._apply_changes()
        return self._members[service].values()

    def is_evacuated(self, service: str) -> bool:
        """Return whether all known endpoints of a service are evacuated."""
        self._apply_changes()
        return not self._members[service] and (
            service in self._evacuated.values()
        )

    def capacity(self, service: str, *, now: float) -> int:
        """Return the millicores that accept starts now or will do so soon.

        It includes endpoints that are joining or whose orders are being voided:
        orders are voided within milliseconds, and a new dispatcher joins all
        endpoints as quickly.
        """
        self._apply_changes()
        return self._offered[service] - self._quarantined_millicores(
            service, now
        )

    def _quarantined_millicores(self, service: str, now: float) -> int:
        """Return the millicores of quarantined endpoints of a service."""
        millicores = 0
        for number, endpoint in tuple(self._quarantined.items()):
            name, offered = self._offers.get(number, ('', 0))
            if not endpoint.health.is_quarantined(now=now):
                self._quarantined.pop(number)
            elif name == service:
                millicores += offered
        return millicores

    def _apply_changes(self) -> None:
        for endpoint in self._changed.values():
            self._update_member(endpoint)
            self._update_startable(endpoint)
            self._update_offer(endpoint)
        self._changed.clear()

    def _update_member(self, endpoint: Endpoint) -> None:
        number = endpoint.number
        name = endpoint.report.service
        known = self._services.get(number, name)
        is_gone = endpoint.phase is Phase.gone
        is_member = not (is_gone or endpoint.is_evacuated)
        if known != name or not is_member:
            self._members[known].pop(number, None)
            self._services.pop(number, None)
        self._evacuated.pop(number, None)
        if is_member:
            self._members[name][number] = endpoint
            self._services[number] = name
        elif not is_gone:
            self._evacuated[number] = name

    def _update_offer(self, endpoint: Endpoint) -> None:
        number = endpoint.number
        name, millicores = self._offers.pop(number, ('', 0))
        self._offered[name] -= millicores
        self._quarantined.pop(number, None)
        if endpoint.will_take_starts:
            name = endpoint.report.service
            millicores = endpoint.report.room.millicores
            self._offers[number] = (name, millicores)
            self._offered[name] += millicores
        if endpoint.health.was_quarantined:
            self._quarantined[number] = endpoint

    def _update_startable(self, endpoint: Endpoint) -> None:
        known = self._positions.pop(endpoint.number, None)
        if known is not None:
            self._startable[known.service].remove(
                known.speed_class, known.capacity
            )
        if endpoint.takes_starts:
            name = endpoint.report.service
            free = endpoint.free.millicores
            capacity = FreeCapacity(free, endpoint.number, endpoint)
            speed_class = speed_class_of(
                self._slowness(endpoint.report.endpoint)
            )
            self._startable[name].add(speed_class, capacity)
            position = _Position(name, speed_class, capacity)
            self._positions[endpoint.number] = position


class StartCandidates:
    """Endpoints of a service that may get starts at a given time.

    Quarantined endpoints are included only if there are no others.  An endpoint
    on probation that has a run is full, whatever room it has left, and a cold
    one of a zone that was evacuated is filled gradually.

    Args:
        capacity_index: Index of the endpoints.
        service: Name of the service.
        now: The time in seconds.
        reserved: Serial numbers of endpoints that are left out, as they are
            reserved.
    """

    def __init__(
        self,
        capacity_index: CapacityIndex,
        service: str,
        *,
        now: float,
        reserved: Container[int] = (),
    ) -> None:
        self._reserved = reserved
        self._capacity_index = capacity_index
        self._service = service
        self._now = now
        self._has_healthy = any(
            not each.endpoint.health.is_quarantined(now=now)
            for each in self._all_startable
        )
        self._max_free: Resources | None = None
        self.refresh()

    @property
    def max_millicores(self) -> int:
        """Most free millicores of any candidate; negative if there is none."""
        return self._max_millicores

    @property
    def size(self) -> int:
        """Number of endpoints that accept starts, full ones included."""
        return sum(map(len, self._startable))

    @property
    def _startable(self) -> Sequence[Sequence[FreeCapacity]]:
        return self._capacity_index.startable(self._service)

    @property
    def _all_startable(self) -> Iterable[FreeCapacity]:
        return chain.from_iterable(self._startable)

    def refresh(self) -> None:
        """Recompute the most free millicores, after a start."""
        self._max_millicores = max(
            map(self._most_millicores, self._startable), default=-1
        )

    def record_miss(self) -> None:
        """Record that a task did not fit, to spare other jobs the search.

        The free amounts of other resources are measured once only, as they can
        only decrease at the given time.
        """
        if self._max_free is None:
            free = [endpoint.free for endpoint in self.with_free(0)]
            self._max_free = Resources(
                self._max_millicores,
                max((each.memory_mb for each in free), default=-1),
                max((each.accelerators for each in free), default=-1),
            )

    def may_fit(self, job: Job) -> bool:
        """Return whether a ready task of a job may fit; if not, none does."""
        if self._max_free is None:
            return True
        return any(self._max_free.can_fit(needs) for needs in job.ready_needs)

    def with_free(self, millicores: int) -> Iterator[Endpoint]:
        """Yield candidates with so many millicores free.

        Those of the fastest class come first; within a class, they are in
        ascending order.
        """
        for startable in self._startable:
            first = bisect_left(startable, (millicores,))
            for each in islice(startable, first, None):
                if self._has_room(each.endpoint):
                    yield each.endpoint

    def most_free(self, limit: int) -> Iterator[Endpoint]:
        """Yield up to so many candidates of each class, the most free first."""
        for startable in self._startable:
            for each in islice(reversed(startable), limit):
                if self._has_room(each.endpoint):
                    yield each.endpoint

    def has_any_except(self, excluded: Container[EndpointId]) -> bool:
        """Return whether any candidate, full or not, is outside a set."""
        return any(
            each.endpoint.report.endpoint not in excluded
            for each in self._all_startable
            if self._may_start(each.endpoint)
        )

    def _most_millicores(self, startable: Sequence[FreeCapacity]) -> int:
        for each in reversed(startable):
            if self._has_room(each.endpoint):
                return each.millicores
        return -1

    def _has_room(self, endpoint: Endpoint) -> bool:
        if endpoint.number in self._reserved:
            return False
        is_probed = endpoint.health.is_on_probation and bool(endpoint.runs)
        if is_probed or endpoint.is_filled(now=self._now):
            return False
        return self._may_start(endpoint)

    def _may_start(self, endpoint: Endpoint) -> bool:
        return not (
            self._has_healthy and endpoint.health.is_quarantined(now=self._now)
        )
