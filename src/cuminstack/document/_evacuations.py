"""Evacuations: availability zones in which no task may be started."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import ZoneName


@dataclass(frozen=True, slots=True)
class EvacuationOrder:
    """An operator's request to evacuate a zone, or to withdraw that.

    Args:
        zone: The availability zone.
        starts: Whether the evacuation starts; False withdraws it.
    """

    zone: ZoneName
    starts: bool


@dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuations of one value.

    Args:
        revision: Ballot number of the value; 0 if no value is known.
        zones: The evacuated zones, in ascending order.
    """

    revision: int = 0
    zones: tuple[ZoneName, ...] = ()


#: The evacuations of an instance that knows no value.
NO_EVACUATIONS: Final = Evacuations()


def apply_orders(
    zones: Iterable[ZoneName],
    orders: Iterable[EvacuationOrder],
) -> tuple[ZoneName, ...]:
    """Return the evacuated zones after some orders.

    Args:
        zones: The zones that are evacuated before.
        orders: The orders; of several for one zone the last one counts.
    """
    evacuated = set(zones)
    for order in orders:
        if order.starts:
            evacuated.add(order.zone)
        else:
            evacuated.discard(order.zone)
    return tuple(sorted(evacuated))
