"""Slopes of membership: per instance of the deployment."""

import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from bench._slope import Slope, measure, retained_bytes
from cuminstack import wire
from cuminstack.core import Instance, InstanceId, Send, ZoneName
from cuminstack.membership import Membership

#: Zones, and instances of each.
_MESH_EACH: Final = ((3, 2), (3, 3), (13, 1))
_SPARSE_EACH: Final = ((13, 1), (13, 2), (13, 3))
_MESH: Final = 0
_SPARSE: Final = 1
#: Seconds that are simulated until all know all, and then measured.
_SETTLE_SECONDS: Final = 3.0
_SECONDS: Final = 3.0
#: Pause between two ticks, in seconds.
_STEP: Final = 0.1
_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class Rest:
    """What membership costs one instance where nothing happens.

    Args:
        size: Bytes that it sends in a second, without frames below CBOR.
        percent: Processor time, in percent of a core, codec included.
        start_size: Bytes that it sent when all started at once.
    """

    size: float
    percent: float
    start_size: float


def instances(zones: int, each: int) -> tuple[Instance, ...]:
    """Give instances with names and addresses of common length."""
    return tuple(
        _instance(zone, number)
        for zone in range(zones)
        for number in range(each)
    )


def _instance(zone: int, number: int) -> Instance:
    name = f'zone-{zone}'
    address = f'10.0.{zone}.{number}'
    return Instance(
        InstanceId(f'{name}-{number}'),
        ZoneName(name),
        1,
        f'{address}:8003',
        f'{address}:8002',
    )


class Mesh:
    """Instances that run the failure detector, all frames arriving."""

    def __init__(
        self, members: Sequence[Instance], *, cross_zone_links: int
    ) -> None:
        self._parts = {
            own.instance: Membership(
                own, members, cross_zone_links=cross_zone_links
            )
            for own in members
        }
        self._now: float = 0
        self.sent = 0

    def run(self, seconds: float) -> None:
        """Let simulated time pass."""
        until = self._now + seconds
        while self._now < until:
            self._now += _STEP
            for name, part in self._parts.items():
                self._deliver(name, part.tick(now=self._now))

    def _deliver(self, sender: InstanceId, effects: Sequence[object]) -> None:
        waiting = [(sender, effect) for effect in effects]
        while waiting:
            origin, effect = waiting.pop()
            if not isinstance(effect, Send):
                continue
            frame = wire.encode(effect.message)
            self.sent += len(frame)
            part = self._parts[effect.to]
            told = part.receive(origin, wire.decode(frame), now=self._now)
            waiting += [(effect.to, each) for each in told]


def at_rest(members: Sequence[Instance], *, cross_zone_links: int) -> Rest:
    """Measure the cost of one instance among these."""
    mesh = Mesh(members, cross_zone_links=cross_zone_links)
    mesh.run(_SETTLE_SECONDS)
    sent = mesh.sent
    began = time.process_time()
    mesh.run(_SECONDS)
    used = time.process_time() - began
    share = _SECONDS * len(members)
    return Rest(
        (mesh.sent - sent) / share,
        used / share * _PERCENT,
        sent / len(members),
    )


@measure('membership')
def membership_slopes() -> tuple[Slope, ...]:
    """Measure all-to-all heartbeats against the sparse graph."""
    return (
        *_rest_slopes('each to each', _MESH, _MESH_EACH),
        *_rest_slopes('sparse graph', _SPARSE, _SPARSE_EACH),
        _memory_slope(),
    )


def _rest_slopes(
    label: str,
    cross_zone_links: int,
    sizes: Sequence[tuple[int, int]],
) -> tuple[Slope, ...]:
    groups = [instances(zones, each) for zones, each in sizes]
    rests = [
        (len(group), at_rest(group, cross_zone_links=cross_zone_links))
        for group in groups
    ]
    starts = tuple((size, rest.start_size) for size, rest in rests)
    sent = tuple((size, rest.size) for size, rest in rests)
    used = tuple((size, rest.percent) for size, rest in rests)
    return (
        Slope(f'heartbeats, {label}', 'instance', 'B/s', sent),
        Slope(f'heartbeats, {label}', 'instance', '% core', used),
        Slope(f'common start, {label}', 'instance', 'B', starts),
    )


def _memory_slope() -> Slope:
    groups = [instances(zones, each) for zones, each in _SPARSE_EACH]
    points = tuple((len(group), _memory(group)) for group in groups)
    return Slope('memory of membership', 'instance', 'B', points)


def _memory(members: Sequence[Instance]) -> float:
    used, _ = retained_bytes(lambda: _settled(members))
    # All instances are in this one process, so each has its share.
    return used / len(members)


def _settled(members: Sequence[Instance]) -> Mesh:
    mesh = Mesh(members, cross_zone_links=_SPARSE)
    mesh.run(_SETTLE_SECONDS)
    return mesh
