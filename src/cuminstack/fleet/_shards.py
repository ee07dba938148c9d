"""Shards: availability zones that deputies dispatch for together.

An entry has less processor time than a control instance.  Where one of them
can't dispatch for all endpoints, the zones are divided into shards, each with
deputies of its own.
"""

import math
import zlib
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId, ZoneName
from cuminstack.fleet._deputies import choose_deputies
from cuminstack.fleet._messages import EndpointReports

#: Deputies of each of several shards: the loss of a zone leaves entries and
#: endpoints of other shards in use.
_DEPUTIES_PER_SHARD: Final = 2
#: Endpoints that one core can dispatch for.  A busy endpoint takes six
#: milliseconds a second, and half of the core is left for the entry itself.
_ENDPOINTS_PER_CORE: Final = 80


def endpoint_capacity(cores: float) -> int:
    """Return for how many endpoints an instance with some cores dispatches."""
    return max(1, int(cores * _ENDPOINTS_PER_CORE))


@dataclass(frozen=True, slots=True)
class EntryInfo:
    """What an entry says of itself in its heartbeats.

    Args:
        zone: Its availability zone.
        capacity: Number of endpoints that it can dispatch for; 0 if it isn't
            known.
    """

    zone: ZoneName
    capacity: int


@dataclass(frozen=True, slots=True)
class DeputyShard:
    """Availability zones that are dispatched together without control.

    Args:
        zones: The zones; empty for all.
        deputies: Entries that may dispatch for their endpoints.
        entries: All entries in these zones.
    """

    zones: tuple[ZoneName, ...]
    deputies: tuple[InstanceId, ...]
    entries: tuple[InstanceId, ...]

    def select(self, reports: EndpointReports) -> EndpointReports:
        """Return the heartbeats of the endpoints in this shard."""
        if not self.zones:
            return reports
        zones = self.zones
        return EndpointReports(
            tuple(each for each in reports.reports if each.zone in zones)
        )


@dataclass(frozen=True, slots=True)
class DeputyPlan:
    """All shards of a deployment.

    Args:
        shards: The shards; none if there is no entry.
    """

    shards: tuple[DeputyShard, ...] = ()

    @property
    def deputies(self) -> tuple[InstanceId, ...]:
        """The deputies of all shards."""
        return tuple(name for shard in self.shards for name in shard.deputies)

    def shard_of(self, zone: ZoneName) -> DeputyShard:
        """Return the shard of a zone; the first one for an unknown zone."""
        for shard in self.shards:
            if not shard.zones or zone in shard.zones:
                return shard
        return self.shards[0] if self.shards else _NO_SHARD


_NO_SHARD: Final = DeputyShard((), (), ())


def plan_deputies(
    entries: Mapping[InstanceId, EntryInfo],
    *,
    endpoints: Mapping[ZoneName, int],
) -> DeputyPlan:
    """Divide the zones into as few shards as the entries can dispatch for.

    Args:
        entries: The entries that are in touch.
        endpoints: Number of endpoints in each zone.
    """
    if not entries:
        return DeputyPlan()
    by_zone: defaultdict[ZoneName, list[InstanceId]] = defaultdict(list)
    for name in sorted(entries):
        by_zone[entries[name].zone].append(name)
    capacity = min(entry.capacity for entry in entries.values())
    total = sum(endpoints.values())
    count = math.ceil(total / capacity) if capacity else 1
    count = min(count, len(by_zone))
    if count <= 1:
        names = tuple(sorted(entries))
        return DeputyPlan((DeputyShard((), choose_deputies(names), names),))
    # Zones without entries come last, as each shard needs some entries.
    zones = [*sorted(by_zone), *sorted(endpoints.keys() - by_zone.keys())]
    return DeputyPlan(
        tuple(
            _make_shard(zones[first::count], by_zone) for first in range(count)
        )
    )


def _make_shard(
    zones: list[ZoneName],
    by_zone: Mapping[ZoneName, list[InstanceId]],
) -> DeputyShard:
    entries = sorted(name for zone in zones for name in by_zone[zone])
    # Ranked by a hash, so that few deputies change when entries come and go.
    ranked = sorted(entries, key=lambda name: zlib.crc32(name.encode()))
    deputies = sorted(ranked[:_DEPUTIES_PER_SHARD])
    return DeputyShard(tuple(zones), tuple(deputies), tuple(entries))
