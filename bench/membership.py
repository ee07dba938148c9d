"""Failure detection: one time-out against two, and the cost of heartbeats.

`python -m bench.membership` runs the failure detector on a simulated clock.
Instances pause now and then, as a busy host makes them, and one is killed.
"""

import heapq
import itertools
import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

from cuminstack import wire
from cuminstack.core import Instance, InstanceId, Send, ZoneName
from cuminstack.membership import (
    Heartbeat,
    Membership,
    Summary,
    Timing,
    ViewChanged,
    neighbours,
)

#: Simulated seconds of a run; one instance is killed before its end.
_RUN_SECONDS: Final = 1200
_KILLED_AT: Final = 1100

#: Seconds between two ticks of an instance.
_TICK_SECONDS: Final = 0.25

_HOUR_SECONDS: Final = 3600

#: One-way delay of a frame, in seconds.
_DELAY_SECONDS: Final = 0.001

#: Mean seconds between two pauses of an instance, their median and spread.
_PAUSE_EVERY: Final = 60
_PAUSE_MEDIAN: Final = 0.3
_PAUSE_SIGMA: Final = 1.5

#: Bytes around a frame: IP and TCP headers and the websocket's own.
_HEADER_BYTES: Final = 60

#: Bytes of the dispatch policy's summary, with two members at work.
_LOAD_BYTES: Final = 121

_SEEDS: Final = (1, 2, 3)

#: Zones, and instances in each, of the deployments to report.
_SIZES: Final = ((3, 3), (3, 9), (3, 33), (3, 100), (12, 25), (9, 100))


def make_instances(zones: int, each: int) -> tuple[Instance, ...]:
    """Give the instances of a deployment of equal zones."""
    return tuple(
        Instance(
            instance=InstanceId(f'zone-{zone}-{number}'),
            zone=ZoneName(f'zone-{zone}'),
            incarnation=1,
            peer_address='127.0.0.1:1',
            endpoint_address='127.0.0.1:2',
        )
        for zone in range(zones)
        for number in range(each)
    )


@dataclass(slots=True)
class Tally:
    """What went wrong, and how fast the death was noticed."""

    unrouted: int = 0
    removed: int = 0
    noticed: list[float] = field(default_factory=list)


class Simulation:
    """One run of a deployment with pauses and one death."""

    def __init__(self, timing: Timing, *, seed: int) -> None:
        self.tally = Tally()
        self._chance = Random(seed)
        self._instances = make_instances(3, 3)
        self._victim = self._instances[-1].instance
        self._parts = {
            own.instance: Membership(own, self._instances, timing=timing)
            for own in self._instances
        }
        self._views: dict[InstanceId, ViewChanged] = {}
        self._awake_at = dict.fromkeys(self._parts, float(0))
        self._queue: list[tuple[float, int, InstanceId, Any]] = []
        self._numbers = itertools.count()

    def run(self) -> Tally:
        """Run to the end."""
        for own in self._parts:
            self._post(self._chance.random(), own, 'tick')
            self._post(self._chance.expovariate(1 / _PAUSE_EVERY), own, 'nap')
        while self._queue[0][0] < _RUN_SECONDS:
            now, _, name, event = heapq.heappop(self._queue)
            if name == self._victim and now >= _KILLED_AT:
                continue
            if now < self._awake_at[name]:
                self._post(self._awake_at[name], name, event)
            else:
                self._happen(name, event, now)
        return self.tally

    def _happen(self, name: InstanceId, event: Any, now: float) -> None:
        if event == 'tick':
            self._post(now + _TICK_SECONDS, name, 'tick')
            self._apply(name, self._parts[name].tick(now=now), now)
        elif event == 'nap':
            nap = _PAUSE_MEDIAN * self._chance.lognormvariate(0, _PAUSE_SIGMA)
            self._awake_at[name] = now + nap
            wait = self._chance.expovariate(1 / _PAUSE_EVERY)
            self._post(now + nap + wait, name, 'nap')
        else:
            sender, message = event
            part = self._parts[name]
            self._apply(name, part.receive(sender, message, now=now), now)

    def _apply(
        self,
        name: InstanceId,
        effects: Sequence[Any],
        now: float,
    ) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                due = now + _DELAY_SECONDS
                self._post(due, effect.to, (name, effect.message))
            elif isinstance(effect, ViewChanged):
                self._compare(name, effect, now)

    def _compare(
        self,
        name: InstanceId,
        view: ViewChanged,
        now: float,
    ) -> None:
        before = self._views.get(name, view)
        self._views[name] = view
        unrouted = _ids(before.routable) - _ids(view.routable)
        removed = _ids(before.alive) - _ids(view.alive)
        if now >= _KILLED_AT and self._victim in unrouted:
            self.tally.noticed.append(now - _KILLED_AT)
        if now < _KILLED_AT:
            self.tally.unrouted += len(unrouted)
            self.tally.removed += len(removed)

    def _post(self, due: float, name: InstanceId, event: Any) -> None:
        entry = (due, next(self._numbers), name, event)
        heapq.heappush(self._queue, entry)


def _ids(instances: Sequence[Instance]) -> set[InstanceId]:
    return {instance.instance for instance in instances}


def report_timing(label: str, timing: Timing) -> None:
    """Run all seeds with one setting and print a row."""
    tallies = [Simulation(timing, seed=seed).run() for seed in _SEEDS]
    noticed = [one for tally in tallies for one in tally.noticed]
    hours = _KILLED_AT * len(_SEEDS) / _HOUR_SECONDS
    unrouted = sum(one.unrouted for one in tallies)
    removed = sum(one.removed for one in tallies)
    row = (
        round(statistics.median(noticed), 1),
        round(max(noticed), 1),
        round(unrouted / hours),
        round(removed / hours),
    )
    print(label.ljust(24), *(str(cell).rjust(9) for cell in row), flush=True)


def report_size(zones: int, each: int, *, cross_zone_links: int) -> None:
    """Print the cost of heartbeats in a deployment at rest."""
    instances = make_instances(zones, each)
    degrees = [
        len(neighbours(own, instances, cross_zone_links=cross_zone_links))
        for own in instances
    ]
    beat = Heartbeat(
        incarnation=1_764_826_429_000,
        counter=3,
        leaving=False,
        seq=123_456,
        heard=123_456,
        table=bytes(4),
        summary=Summary(5200, bytes(8), 123_456, bytes(_LOAD_BYTES)),
    )
    frame = len(wire.encode(beat)) + _HEADER_BYTES
    most = max(degrees)
    row = (cross_zone_links, most, most * frame)
    label = f'{zones} x {each}'.ljust(10)
    print(label, *(str(cell).rjust(9) for cell in row))


def main() -> None:
    """Print both tables."""
    print(
        'time-outs'.ljust(24),
        'noticed p50, max (s)',
        'false/h: unrouted',
        'removed',
    )
    for seconds in (1.5, 2.5, 5, 10, 30):
        timing = Timing(suspect_timeout=seconds, gone_timeout=seconds)
        report_timing(f'one, {seconds} s', timing)
    for suspect_timeout in (1.5, 2.5, 5):
        timing = Timing(suspect_timeout=suspect_timeout, gone_timeout=30)
        report_timing(f'two, {suspect_timeout} s and 30 s', timing)
    print('zones x each, relays, neighbours, B/s sent and as much received')
    for zones, each in _SIZES:
        report_size(zones, each, cross_zone_links=1)
    report_size(3, 3, cross_zone_links=0)
    report_size(3, 100, cross_zone_links=0)


if __name__ == '__main__':
    main()
