"""Tree along which a new sheet is pushed."""

from collections.abc import Iterable, Sequence
from typing import Final

from cuminstack.core import Instance, InstanceId, ZoneName

#: Maximum number of children of an instance in the tree of its zone.
_FAN_OUT: Final = 4


def children(
    own: InstanceId,
    root: InstanceId,
    zone: Sequence[InstanceId],
) -> tuple[InstanceId, ...]:
    """Return the children of an instance in the tree of its zone.

    Args:
        own: The instance.
        root: Root of the tree.
        zone: The instances of the zone that are alive, sorted.

    Returns:
        The children; empty if the instance isn't in the tree.
    """
    order = _order_from_root(root, zone)
    if own not in order:
        return ()
    first = order.index(own) * _FAN_OUT + 1
    return tuple(order[first : first + _FAN_OUT])


def choose_zone_roots(
    alive: Iterable[Instance],
    own_zone: ZoneName,
    version: int,
) -> tuple[InstanceId, ...]:
    """Return the root of the tree in each other zone; it varies by version."""
    zones: dict[ZoneName, list[InstanceId]] = {}
    for instance in alive:
        if instance.zone != own_zone:
            zones.setdefault(instance.zone, []).append(instance.instance)
    return tuple(
        sorted(names)[version % len(names)]
        for _, names in sorted(zones.items())
    )


def _order_from_root(
    root: InstanceId,
    zone: Sequence[InstanceId],
) -> list[InstanceId]:
    """Return the instances of a zone in cyclic order, starting at the root."""
    others = [name for name in zone if name != root]
    after = [name for name in others if name > root]
    before = [name for name in others if name < root]
    return [root, *after, *before]
