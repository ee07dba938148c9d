"""Which instances exchange heartbeats directly.

The graph is a function of the settings alone, so every instance works out
the same one, and edges are symmetric.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from cuminstack.core import Instance, InstanceId, ZoneName

#: Up to this many in a ring, each is linked to each.
_MESH_LIMIT: Final = 9


def neighbours(
    own: Instance,
    peers: Iterable[Instance],
    *,
    relays: int,
) -> frozenset[InstanceId]:
    """Give the instances that one exchanges heartbeats with.

    In its own zone those are all instances of a small zone, and of a large
    one those at distances of powers of two.  In each adjacent zone they are
    `relays` instances; zones are adjacent as instances of one zone are.

    Args:
        own: The instance.
        peers: The configured instances, with or without `own`.
        relays: Links to each adjacent zone, from each instance of the
            larger of the two; 0 links each instance to each.
    """
    others = {peer.instance for peer in peers} - {own.instance}
    if not relays:
        return frozenset(others)
    zones = _by_zone({*peers, own})
    names = sorted(zones)
    place = names.index(own.zone)
    found = set(_ring_links(zones[own.zone], own.instance))
    for distance in _distances(len(names)):
        other = names[(place + distance) % len(names)]
        found |= _cross_links(
            zones[own.zone],
            zones[other],
            own.instance,
            relays,
        )
    return frozenset(found - {own.instance})


def _by_zone(
    instances: Iterable[Instance],
) -> dict[ZoneName, list[InstanceId]]:
    zones: dict[ZoneName, set[InstanceId]] = {}
    for instance in instances:
        zones.setdefault(instance.zone, set()).add(instance.instance)
    return {zone: sorted(ids) for zone, ids in zones.items()}


def _distances(size: int) -> tuple[int, ...]:
    """Give the signed distances at which a ring of this size is linked."""
    if size <= _MESH_LIMIT:
        return tuple(range(1, size))
    powers = [1 << bit for bit in range((size // 2).bit_length())]
    return (*powers, *(-power for power in powers))


def _ring_links(
    ring: Sequence[InstanceId],
    own: InstanceId,
) -> Iterable[InstanceId]:
    place = ring.index(own)
    size = len(ring)
    return (ring[(place + step) % size] for step in _distances(size))


def _cross_links(
    near: Sequence[InstanceId],
    far: Sequence[InstanceId],
    own: InstanceId,
    relays: int,
) -> set[InstanceId]:
    """Give the links of one instance to one other zone.

    Each instance of the larger zone picks `relays` of the smaller; of two
    zones of one size, the one whose first name is lower picks.
    """
    place = near.index(own)
    if (-len(near), near[0]) < (-len(far), far[0]):
        return {far[_pick(place, turn, far)] for turn in range(relays)}
    return {
        other
        for index, other in enumerate(far)
        if any(_pick(index, turn, near) == place for turn in range(relays))
    }


def _pick(place: int, turn: int, smaller: Sequence[InstanceId]) -> int:
    return (place + turn) % len(smaller)
