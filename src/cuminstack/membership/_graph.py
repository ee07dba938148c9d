"""The graph of instances that exchange heartbeats directly.

It depends on the settings alone, so that all instances compute the same
graph.  Its edges are symmetric.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from cuminstack.core import Instance, InstanceId, ZoneName

#: Maximum size of a ring whose elements are all linked to each other.
_MAX_MESH_SIZE: Final = 9


def neighbours(
    own: Instance,
    peers: Iterable[Instance],
    *,
    cross_zone_links: int,
) -> frozenset[InstanceId]:
    """Return the instances that an instance exchanges heartbeats with.

    The instances of a small zone are all linked to each other.  Those of a
    large zone form a ring, sorted by name, in which each is linked to the
    ones at a distance of a power of two.  Zones are adjacent by the same
    rule, and adjacent zones are linked with each other.

    Args:
        own: The instance.
        peers: The configured instances, with or without `own`.
        cross_zone_links: Number of links to each adjacent zone, from each
            instance of the larger of the two zones; 0 links all instances to
            each other.

    Returns:
        The linked instances, without `own`.
    """
    others = {peer.instance for peer in peers} - {own.instance}
    if not cross_zone_links:
        return frozenset(others)
    zones = _by_zone({*peers, own})
    names = sorted(zones)
    position = names.index(own.zone)
    linked = set(_ring_links(zones[own.zone], own.instance))
    for distance in _distances(len(names)):
        other = names[(position + distance) % len(names)]
        linked |= _cross_zone_links(
            zones[own.zone],
            zones[other],
            own.instance,
            cross_zone_links,
        )
    return frozenset(linked - {own.instance})


def _by_zone(
    instances: Iterable[Instance],
) -> dict[ZoneName, list[InstanceId]]:
    zones: dict[ZoneName, set[InstanceId]] = {}
    for instance in instances:
        zones.setdefault(instance.zone, set()).add(instance.instance)
    return {zone: sorted(ids) for zone, ids in zones.items()}


def _distances(size: int) -> tuple[int, ...]:
    """Return the signed distances of the links in a ring of this size."""
    if size <= _MAX_MESH_SIZE:
        return tuple(range(1, size))
    powers = [1 << bit for bit in range((size // 2).bit_length())]
    return (*powers, *(-power for power in powers))


def _ring_links(
    ring: Sequence[InstanceId],
    own: InstanceId,
) -> Iterable[InstanceId]:
    position = ring.index(own)
    size = len(ring)
    return (ring[(position + step) % size] for step in _distances(size))


def _cross_zone_links(
    near: Sequence[InstanceId],
    far: Sequence[InstanceId],
    own: InstanceId,
    cross_zone_links: int,
) -> set[InstanceId]:
    """Return the links of an instance to one other zone.

    Each instance of the larger zone selects as many instances of the smaller
    one as there are links.  Of two zones of the same size, the one whose
    first instance has the lower name selects.
    """
    position = near.index(own)
    if (-len(near), near[0]) < (-len(far), far[0]):
        return {
            far[_select(position, link, far)]
            for link in range(cross_zone_links)
        }
    return {
        other
        for index, other in enumerate(far)
        if any(
            _select(index, link, near) == position
            for link in range(cross_zone_links)
        )
    }


def _select(position: int, link: int, smaller: Sequence[InstanceId]) -> int:
    """Return the index, in the smaller zone, of one end of a link.

    Args:
        position: Index of the other end in the larger zone.
        link: Number of the link, from 0.
        smaller: Instances of the smaller zone.
    """
    return (position + link) % len(smaller)
