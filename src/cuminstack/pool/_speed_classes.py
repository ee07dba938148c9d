"""Endpoints that accept starts, by speed and free capacity."""

import math
from bisect import bisect_left, insort
from typing import Final, NamedTuple

from cuminstack.core import EndpointId
from cuminstack.pool._endpoint import Endpoint

#: Width of a speed class, as the logarithm of slowness.  Run times of equal
#: tasks differ by 15%, so a smaller difference is not worth a worse gap.
_CLASS_WIDTH: Final = 0.2
#: Slowness from which on no more classes are made, so that there are at most
#: eleven; an endpoint that is slower is not healthy.
_MAX_SLOWNESS: Final = math.e


def speed_class_of(slowness: float) -> int:
    """Return the number of a speed class; the fastest is the lowest."""
    if slowness == 1:
        return 0
    bounded = min(max(slowness, 1 / _MAX_SLOWNESS), _MAX_SLOWNESS)
    return round(math.log(bounded) / _CLASS_WIDTH)


def unit_slowness(endpoint: EndpointId) -> float:
    """Return the slowness of an endpoint of which nothing is known."""
    return 1.0


class FreeCapacity(NamedTuple):
    """Sort entry of an endpoint; the one with the least free comes first.

    Args:
        millicores: Free millicores of the endpoint.
        number: Serial number of the endpoint, which breaks ties.
        endpoint: The endpoint.
    """

    millicores: int
    number: int
    endpoint: Endpoint


class SpeedClasses:
    """Endpoints that accept starts, by speed class and free capacity."""

    def __init__(self) -> None:
        self._lists: dict[int, list[FreeCapacity]] = {}
        self._ordered: tuple[list[FreeCapacity], ...] = ()

    @property
    def lists(self) -> tuple[list[FreeCapacity], ...]:
        """A sorted list for each class, the fastest class first."""
        return self._ordered

    def add(self, speed_class: int, capacity: FreeCapacity) -> None:
        """Add an endpoint."""
        if speed_class not in self._lists:
            self._lists[speed_class] = []
            self._ordered = tuple(
                self._lists[number] for number in sorted(self._lists)
            )
        insort(self._lists[speed_class], capacity)

    def remove(self, speed_class: int, capacity: FreeCapacity) -> None:
        """Remove an endpoint that was added with the same arguments."""
        entries = self._lists[speed_class]
        entries.pop(bisect_left(entries, capacity))
