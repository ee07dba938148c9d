"""Who passes a new sheet on to whom."""

from collections.abc import Iterable, Sequence
from typing import Final

from cuminstack.core import Instance, InstanceId, ZoneName

#: To how many instances of its zone each instance passes it on.
_FAN_OUT: Final = 4


def children(
    own: InstanceId,
    root: InstanceId,
    zone: Sequence[InstanceId],
) -> tuple[InstanceId, ...]:
    """Give the instances below one in the tree of its zone.

    Args:
        own: Whose children.
        root: Where the tree of the zone begins.
        zone: The instances of the zone that are alive, sorted.
    """
    order = _from_root(root, zone)
    if own not in order:
        return ()
    first = order.index(own) * _FAN_OUT + 1
    return tuple(order[first : first + _FAN_OUT])


def heads(
    alive: Iterable[Instance],
    own_zone: ZoneName,
    version: int,
) -> tuple[InstanceId, ...]:
    """Give one instance of each other zone, another for each version."""
    zones: dict[ZoneName, list[InstanceId]] = {}
    for instance in alive:
        if instance.zone != own_zone:
            zones.setdefault(instance.zone, []).append(instance.instance)
    return tuple(
        sorted(names)[version % len(names)]
        for _, names in sorted(zones.items())
    )


def _from_root(
    root: InstanceId,
    zone: Sequence[InstanceId],
) -> list[InstanceId]:
    others = [name for name in zone if name != root]
    after = [name for name in others if name > root]
    before = [name for name in others if name < root]
    return [root, *after, *before]
