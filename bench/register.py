"""What a change of the sheet costs.

Run `python -m bench.register`.  It prints what a commit takes with the first
phase, without it and in the special case of three replicas, with real syncs
of files in a temporary folder; what a change costs on nine instances; and
what it takes to catch up.  Messages take 0.5 ms one way, which is modelled;
syncs and computing are real.
"""

import heapq
import itertools
import random
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Final

from cuminstack import wire
from cuminstack.core import Instance, InstanceId, Send, ZoneName
from cuminstack.register import (
    AcceptorState,
    Done,
    Effects,
    Learned,
    Persist,
    Register,
    Standing,
    Value,
    encode_state,
    starting_state,
)
from cuminstack.sheet import (  # noqa: WPS347
    Member,
    Preference,
    Service,
    Sheet,
    apply_delta,
    diff,
    parse,
    whole,
)
from cuminstack.spread import Apply, Spread, SpreadMessage
from cuminstack.store import DurableFile, Saved

_SEED: Final = 4
_MEMBERS: Final = 780
_SERVICES_EACH: Final = 2
_MANY_SERVICES: Final = 7
_COMMITS: Final = 60
_MISSED: Final = 500
_INSTANCES: Final = 9
_REPLICAS: Final = 3
_CHANGES_A_DAY: Final = 5200
_DAY_SECONDS: Final = 86_400
_ONE_WAY_SECONDS: Final = 0.0005
_TICK_SECONDS: Final = 0.05
_MILLISECONDS: Final = 1000
_ZONES: Final = ('telavi', 'gurjaani', 'sighnaghi')


def make_sheet(
    version: int,
    members: int = _MEMBERS,
    *,
    services: int = _SERVICES_EACH,
) -> Sheet:
    """Make a sheet in which each version changes two rows."""
    rows: list[Member] = []
    offered: list[Service] = []
    for index in range(members):
        name: Any = f'member-{index}'
        share = 2 if index == version % members else 1
        rows.append(Member(name, share, 128, 5000))
        for service in range(services):
            key: Any = f'service-{service}'
            offered.append(Service(name, key, 30_000, 250, Preference.response))
    return Sheet(version, version - 1, tuple(rows), tuple(offered))


@dataclass(order=True)
class _Event:
    at: float
    order: int
    run: Callable[[], None] = field(compare=False)


@dataclass
class _Instance:
    register: Register
    spread: Spread
    file: DurableFile


@dataclass
class Traffic:
    """Messages by kind, and bytes that each instance sent and received."""

    messages: Counter[str] = field(default_factory=Counter)
    moved: Counter[InstanceId] = field(default_factory=Counter)


class Deployment:
    """Nine instances, three of them replicas, in three zones."""

    def __init__(self, folder: Path) -> None:
        """Start them in a folder."""
        numbers = range(_INSTANCES)
        self.names = [InstanceId(f'i{number}') for number in numbers]
        self.replicas = tuple(self.names[:_REPLICAS])
        self.now: float = 0
        self.traffic = Traffic()
        self.cut: set[InstanceId] = set()
        self.done_at: dict[int, float] = {}
        self.applied_at: dict[int, float] = {}
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._instances: dict[InstanceId, _Instance] = {}
        for name in self.names:
            self._start(name, folder / name)

    def run(self, seconds: float) -> None:
        """Run what happens in some time."""
        end = self.now + seconds
        for tick in range(int(seconds / _TICK_SECONDS)):
            self._at(self.now + tick * _TICK_SECONDS, self._tick)
        while self._events and self._events[0].at <= end:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.run()
        self.now = end

    def commit(self, name: InstanceId, sheet: Sheet) -> tuple[float, float]:
        """Give the seconds until the outcome, and until all apply it."""
        begun = self.now
        ticket = sheet.version
        effects = self._instances[name].register.submit(
            sheet, ticket=ticket, now=self.now
        )
        self._perform(name, effects, self.now)
        self.run(1)
        return self.done_at[ticket] - begun, self.applied_at[ticket] - begun

    def sheet(self, name: InstanceId) -> Sheet:
        """Give the sheet in force at an instance."""
        return self._instances[name].spread.sheet

    def heartbeat(self) -> None:
        """Let all instances tell all others which sheet they have."""
        for name, instance in self._instances.items():
            summary = instance.spread.summary()
            for other in self.names:
                if other != name:
                    self._send(name, Send(other, summary), self.now)

    def _start(self, name: InstanceId, folder: Path) -> None:
        state = starting_state(self.replicas, incarnation=1, record=None)
        assert isinstance(state, AcceptorState)
        register = Register(
            name,
            self.replicas,
            incarnation=1,
            chance=random.Random(_SEED),
            state=state if name in self.replicas else None,
        )
        alive = [self._describe(each) for each in self.names]
        spread = Spread(name, self._describe(name).zone, self.replicas)
        self._instances[name] = _Instance(register, spread, DurableFile(folder))
        spread.start(now=0)
        self._perform(name, register.start(now=0), 0)
        self._perform(name, spread.observe_instances(alive, now=0), 0)

    def _describe(self, name: InstanceId) -> Instance:
        zone = _ZONES[self.names.index(name) % len(_ZONES)]
        return Instance(name, ZoneName(zone), 1, '', '')

    def _tick(self) -> None:
        for name, each in self._instances.items():
            self._perform(name, each.register.tick(now=self.now), self.now)
            self._perform(name, each.spread.tick(now=self.now), self.now)

    def _at(self, at: float, run: Callable[[], None]) -> None:
        heapq.heappush(self._events, _Event(at, next(self._order), run))

    def _perform(
        self,
        name: InstanceId,
        effects: Iterable[Any],
        at: float,
    ) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(name, effect, at)
                case Persist():
                    self._sync(name, effect, at)
                case Done():
                    self.done_at[effect.ticket] = at
                case Learned():
                    self._at(at, partial(self._publish, name, effect.sheet))
                case Apply():
                    self.applied_at[effect.sheet.version] = at
                    register = self._instances[name].register
                    register.observe_in_force(effect.sheet)

    def _publish(self, name: InstanceId, sheet: Sheet) -> None:
        spread = self._instances[name].spread
        self._perform(name, spread.publish(sheet, now=self.now), self.now)

    def _sync(self, name: InstanceId, persist: Persist, at: float) -> None:
        begun = time.perf_counter()
        saved = self._instances[name].file.save(encode_state(persist.state))
        spent = time.perf_counter() - begun
        assert saved == Saved()
        self._at(at + spent, partial(self._synced, name, persist.sequence))

    def _synced(self, name: InstanceId, sequence: int) -> None:
        register = self._instances[name].register
        effects = register.persisted(sequence, now=self.now)
        self._perform(name, effects, self.now)

    def _send(self, name: InstanceId, send: Send, at: float) -> None:
        frame = wire.encode(send.message)
        if name in self.cut or send.to in self.cut:
            return
        kind = wire.kind_of(send.message)
        self.traffic.messages[kind] += 1
        self.traffic.moved[name] += len(frame)
        self.traffic.moved[send.to] += len(frame)
        arrival = at + _ONE_WAY_SECONDS
        self._at(arrival, partial(self._receive, name, send.to, frame))

    def _receive(
        self,
        sender: InstanceId,
        receiver: InstanceId,
        frame: bytes,
    ) -> None:
        begun = time.perf_counter()
        message = wire.decode(frame)
        instance = self._instances[receiver]
        receive: Any = instance.register.receive
        if isinstance(message, SpreadMessage):
            receive = instance.spread.receive
        effects: Effects = receive(sender, message, now=self.now)
        spent = time.perf_counter() - begun
        self._perform(receiver, effects, self.now + spent)


def _phases(folder: Path) -> None:
    """Compare the ways to commit, from syncs of a real record."""
    names = (InstanceId('a'), InstanceId('b'), InstanceId('c'))
    value = Value(make_sheet(1))
    state = AcceptorState(names, 1, Standing.voting, value=value)
    record = encode_state(state)
    files = [DurableFile(folder / name) for name in names]
    ways: dict[str, list[float]] = {}
    for _ in range(_COMMITS):
        first = _sync_all(files, record)
        second = _sync_all(files, record)
        own, *others = second
        ways.setdefault('two phases', []).append(
            _quorum_seconds(first) + _quorum_seconds(second)
        )
        ways.setdefault('first phase removed', []).append(
            _quorum_seconds(second)
        )
        # The proposer syncs before it asks; a peer that accepts then knows.
        ways.setdefault('three replicas, removed', []).append(
            own + min(others) + 2 * _ONE_WAY_SECONDS
        )
    print(f'record of {len(record)} bytes, {_COMMITS} commits')
    for way, seconds in ways.items():
        print(_row(way, seconds))


def _sync_all(files: list[DurableFile], record: bytes) -> list[float]:
    spent: list[float] = []
    for file in files:
        begun = time.perf_counter()
        assert file.save(record) == Saved()
        spent.append(time.perf_counter() - begun)
    return spent


def _quorum_seconds(syncs: list[float]) -> float:
    own, *others = syncs
    replies = [own, *(each + 2 * _ONE_WAY_SECONDS for each in others)]
    return sorted(replies)[len(replies) // 2]


def _row(name: str, seconds: list[float]) -> str:
    cuts = statistics.quantiles(seconds, n=100, method='inclusive')
    middle = round(cuts[49] * _MILLISECONDS, 2)
    high = round(cuts[-1] * _MILLISECONDS, 2)
    return f'{name}: p50 {middle} ms, p99 {high} ms'


def _sheets() -> None:
    """Time what is done with one sheet of the largest size in use."""
    text = make_sheet(1, _MEMBERS, services=_MANY_SERVICES).canonical
    old = _timed('check', partial(parse, text))
    new = _timed('check of the next', partial(parse, _next_text(text)))
    assert isinstance(old, Sheet)
    assert isinstance(new, Sheet)
    _timed('canonical text and digest', lambda: new.digest)
    delta = _timed('difference, no records shared', partial(diff, old, new))
    _timed('apply it', partial(apply_delta, old, delta))
    _timed('apply it as a whole', partial(apply_delta, old, whole(new)))


def _next_text(text: bytes) -> bytes:
    changed = text.replace(b'member-7,1,', b'member-7,3,')
    return changed.replace(b'sheet,1,0', b'sheet,2,1')


def _timed(what: str, run: Callable[[], Any]) -> Any:
    begun = time.perf_counter()
    found = run()
    spent = time.perf_counter() - begun
    print(what, round(spent * _MILLISECONDS, 1), 'ms')
    return found


def _changes(deployment: Deployment) -> None:
    """Submit at the instances in turn."""
    done: list[float] = []
    applied: list[float] = []
    deployment.traffic = Traffic()
    first = deployment.sheet(deployment.names[0]).version + 1
    for version in range(first, first + _COMMITS):
        name = deployment.names[version % _INSTANCES]
        in_force, everywhere = deployment.commit(name, make_sheet(version))
        done.append(in_force)
        applied.append(everywhere)
    print(_row('in force', done))
    print(_row('applied on all 9', applied))
    _report(deployment.traffic, _COMMITS)


def _report(traffic: Traffic, changes: int) -> None:
    each = {
        kind: round(count / changes, 1)
        for kind, count in sorted(traffic.messages.items())
    }
    print('messages a change:', each)
    most = max(traffic.moved.values()) / changes
    mean = sum(traffic.moved.values()) / changes / _INSTANCES
    rate = _CHANGES_A_DAY / _DAY_SECONDS
    print('bytes a change and daemon, both ways:', round(mean))
    print('of the daemon with most:', round(most), 'a change,', end=' ')
    print(round(most * rate), 'a second')


def _catch_up(deployment: Deployment, who: InstanceId, missed: int) -> None:
    """Cut an instance off for some changes."""
    deployment.cut = {who}
    first = deployment.sheet(deployment.names[0]).version + 1
    last = first + missed - 1
    for version in range(first, last + 1):
        name = deployment.names[version % 2]
        deployment.commit(name, make_sheet(version))
        if not version % 20:
            deployment.heartbeat()
    deployment.run(2)
    deployment.cut = set()
    deployment.traffic = Traffic()
    begun = deployment.now
    deployment.heartbeat()
    while deployment.sheet(who).version < last:
        deployment.run(_TICK_SECONDS)
    spent = deployment.now - begun
    whole = len(deployment.sheet(who).canonical)
    print(who, 'missed', missed, 'changes; seconds:', round(spent, 2))
    print('  bytes:', deployment.traffic.moved[who], 'whole sheet:', whole)
    deployment.traffic = Traffic()
    deployment.commit(deployment.names[0], make_sheet(last + 1))
    print('  the change after it:', deployment.traffic.moved[who], 'bytes')


def main() -> None:
    """Print the tables."""
    _sheets()
    with tempfile.TemporaryDirectory() as folder:
        _phases(Path(folder) / 'phases')
        deployment = Deployment(Path(folder))
        deployment.run(3)
        deployment.commit(deployment.names[0], make_sheet(1))
        deployment.heartbeat()
        deployment.run(3)
        _changes(deployment)
        _catch_up(deployment, deployment.names[-1], _MISSED)
        _catch_up(deployment, deployment.names[2], _COMMITS)


if __name__ == '__main__':
    main()
