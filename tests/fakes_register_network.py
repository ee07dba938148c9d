"""Simulated network of instances that have a register and a spread."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from cuminstack import wire
from cuminstack.core import Instance, InstanceId, Send, ZoneName
from cuminstack.register import (
    Accepted,
    AcceptorState,
    Done,
    Effect,
    Learned,
    Outcome,
    Persist,
    Promise,
    Register,
    Standing,
    decode_state,
    encode_state,
    starting_state,
)
from cuminstack.sheet import Member, Sheet
from cuminstack.spread import Apply, Diverged, Spread, SpreadMessage
from cuminstack.spread import Effect as SpreadEffect

TICK_SECONDS = 0.05
TICKS_PER_HEARTBEAT = 10
ZONES = (ZoneName('telavi'), ZoneName('gurjaani'))


def make_sheet(version: int, based_on: int, label: str = 'a') -> Sheet:
    """Return a small sheet whose content depends on the label."""
    member: Any = f'member-{label}'
    return Sheet(version, based_on, (Member(member, 1, 0, 10),))


@dataclass
class Disk:
    """Disk of a replica, with the record that was synced last."""

    record: bytes | None = None
    damaged: bool = False
    fails: bool = False


@dataclass
class Process:
    """One running instance."""

    register: Register
    spread: Spread
    #: Syncs that were started and haven't ended, oldest first.
    syncing: list[Persist] = field(default_factory=list)
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    learned: list[Sheet] = field(default_factory=list)
    applied: list[Sheet] = field(default_factory=list)


@dataclass(frozen=True)
class Packet:
    """An encoded message in transit."""

    sender: InstanceId
    to: InstanceId
    frame: bytes


class Network:
    """Instances, their disks and the packets between them."""

    def __init__(
        self,
        replicas: int = 3,
        others: int = 0,
        *,
        seed: int = 1,
        hold_syncs: bool = False,
    ) -> None:
        names = [InstanceId(f'i{index}') for index in range(replicas + others)]
        self.names = names
        self.replicas = tuple(names[:replicas])
        self.disks = {name: Disk() for name in self.replicas}
        self.processes: dict[InstanceId, Process] = {}
        self.packets: list[Packet] = []
        self.cut_links: set[frozenset[InstanceId]] = set()
        self.delivered: list[Packet] = []
        self.now: float = 0
        self.hold_syncs = hold_syncs
        self.all_learned: list[Sheet] = []
        self.diverged: list[Diverged] = []
        self.ticks = 0
        self.should_deliver: Callable[[Packet], bool] = lambda packet: True
        self.all_outcomes: list[tuple[int, Outcome]] = []
        self._random = random.Random(seed)
        self._incarnation = 100
        self._ticket = 0
        for name in names:
            self.start(name)

    def start(self, name: InstanceId) -> Process:
        """Start an instance from what its disk holds."""
        self._incarnation += 1
        state = self._load(name)
        register = Register(
            name,
            self.replicas,
            incarnation=self._incarnation,
            chance=self._random,
            state=state,
        )
        spread = Spread(name, self.zone_of(name), self.replicas)
        process = Process(register, spread)
        self.processes[name] = process
        spread.start(now=self.now)
        self.perform(name, register.start(now=self.now))
        alive = [self._instance(each) for each in self.names]
        asked = spread.observe_instances(alive, now=self.now)
        self.perform(name, asked)
        return process

    def zone_of(self, name: InstanceId) -> ZoneName:
        """Return the zone of an instance; zones are assigned in turn."""
        return ZONES[self.names.index(name) % len(ZONES)]

    def crash(self, name: InstanceId) -> None:
        """End an instance; unsynced state is lost."""
        self.processes.pop(name, None)

    def lose_disk(self, name: InstanceId) -> None:
        """End a replica and empty its disk."""
        self.crash(name)
        self.disks[name] = Disk()

    def submit(self, name: InstanceId, sheet: Sheet) -> int:
        """Submit a sheet at an instance, and return its ticket."""
        self._ticket += 1
        register = self.processes[name].register
        effects = register.submit(sheet, ticket=self._ticket, now=self.now)
        self.perform(name, effects)
        return self._ticket

    def outcome(self, ticket: int) -> Outcome | None:
        """Return the outcome of a submission, if it has ended."""
        for name in self.names:
            process = self.processes.get(name)
            if process is not None and ticket in process.outcomes:
                return process.outcomes[ticket]
        return None

    def commit(self, name: InstanceId, sheet: Sheet) -> Outcome:
        """Submit a sheet, run until it ends, and return the outcome."""
        ticket = self.submit(name, sheet)
        self.run_until(lambda: self.outcome(ticket) is not None)
        found = self.outcome(ticket)
        assert found is not None
        return found

    def run(self, seconds: float) -> None:
        """Deliver packets and tick for some simulated seconds."""
        end = self.now + seconds
        self.run_until(lambda: self.now >= end, seconds + 1)

    def run_until(
        self,
        done: Callable[[], bool],
        limit_seconds: float = 30,
    ) -> None:
        """Deliver packets and tick until `done` holds or the limit passes."""
        end = self.now + limit_seconds
        self.deliver_all()
        while not done() and self.now < end:
            self.tick()
            self.deliver_all()

    def tick(self) -> None:
        """Advance the clock by one step and tick all instances."""
        self.now += TICK_SECONDS
        for name in tuple(self.processes):
            register = self.processes[name].register
            self.perform(name, register.tick(now=self.now))
            spread = self.processes[name].spread
            self.perform(name, spread.tick(now=self.now))
        self.ticks += 1
        if self.ticks % TICKS_PER_HEARTBEAT == 0:
            self.heartbeat()

    def heartbeat(self) -> None:
        """Send the summary of each instance's sheet to all others."""
        for name, process in self.processes.items():
            frame = wire.encode(process.spread.summary())
            others = (each for each in self.names if each != name)
            self.packets.extend(Packet(name, each, frame) for each in others)

    def deliver_all(self) -> None:
        """Deliver packets, in order, until none is left."""
        while self.packets:
            self.deliver(self.packets.pop(0))

    def deliver(self, packet: Packet) -> None:
        """Deliver one packet, unless its link is cut or it is filtered out."""
        process = self.processes.get(packet.to)
        link = frozenset((packet.sender, packet.to))
        if (
            process is None
            or link in self.cut_links
            or not self.should_deliver(packet)
        ):
            return
        self.delivered.append(packet)
        message = wire.decode(packet.frame)
        receive: Any = process.register.receive
        if isinstance(message, SpreadMessage):
            receive = process.spread.receive
        effects = receive(packet.sender, message, now=self.now)
        self.perform(packet.to, effects)

    def perform(
        self,
        name: InstanceId,
        effects: Iterable[Effect | SpreadEffect],
    ) -> None:
        """Perform the effects of a register or a spread."""
        process = self.processes[name]
        for effect in effects:
            match effect:
                case Send():
                    self._check_synced(name, effect.message)
                    frame = wire.encode(effect.message)
                    self.packets.append(Packet(name, effect.to, frame))
                case Persist():
                    process.syncing.append(effect)
                case Done():
                    process.outcomes[effect.ticket] = effect.outcome
                    self.all_outcomes.append((effect.ticket, effect.outcome))
                case Learned():
                    self._learn(name, effect.sheet)
                case Apply():
                    process.applied.append(effect.sheet)
                    process.register.observe_in_force(effect.sheet)
                case Diverged():
                    self.diverged.append(effect)
        if not self.hold_syncs:
            self.sync(name)

    def sync(self, name: InstanceId) -> None:
        """End the syncs that are running at an instance."""
        process = self.processes[name]
        while process.syncing:
            self.sync_one(name, process.syncing.pop(0))

    def sync_one(self, name: InstanceId, persist: Persist) -> None:
        """End one sync, and report the result to the register."""
        disk = self.disks[name]
        register = self.processes[name].register
        sequence = persist.sequence
        if disk.fails:
            failed = register.persist_failed(sequence, now=self.now)
            self.perform(name, failed)
            return
        disk.record = encode_state(persist.state)
        disk.damaged = False
        self.perform(name, register.persisted(sequence, now=self.now))

    def next_to_sync(self) -> InstanceId | None:
        """Return the first replica that waits for a sync."""
        for name in self.replicas:
            process = self.processes.get(name)
            if process is not None and process.syncing:
                return name
        return None

    def sync_next(self) -> None:
        """End the first sync that is running."""
        name = self.next_to_sync()
        if name is not None:
            self.sync_one(name, self.processes[name].syncing.pop(0))

    def isolate(self, names: Iterable[InstanceId]) -> None:
        """Cut some instances off from all others."""
        inside = set(names)
        for name in inside:
            outside = (each for each in self.names if each not in inside)
            self.cut_links.update(frozenset((name, each)) for each in outside)

    def heal(self) -> None:
        """End all cuts."""
        self.cut_links.clear()

    def synced_version(self, name: InstanceId) -> int:
        """Return the version on a replica's disk; -1 without a record."""
        record = self.disks[name].record
        if record is None:
            return -1
        state = decode_state(record)
        assert isinstance(state, AcceptorState)
        return state.value.sheet.version

    def _check_synced(self, name: InstanceId, message: object) -> None:
        """Check that a promise or acceptance is on the replica's disk."""
        if not isinstance(message, Promise | Accepted):
            return
        record = self.disks[name].record
        assert record is not None
        state = decode_state(record)
        assert isinstance(state, AcceptorState)
        assert state.standing is Standing.voting
        assert state.promised >= message.ballot
        if isinstance(message, Accepted):
            assert state.accepted >= message.ballot

    def _learn(self, name: InstanceId, sheet: Sheet) -> None:
        """Record a sheet in force, and publish it to the spread."""
        process = self.processes[name]
        process.learned.append(sheet)
        self.all_learned.append(sheet)
        self.perform(name, process.spread.publish(sheet, now=self.now))

    def _instance(self, name: InstanceId) -> Instance:
        zone = self.zone_of(name)
        return Instance(name, zone, 1, '', '', name in self.replicas)

    def _load(self, name: InstanceId) -> AcceptorState | None:
        """Return the state that a replica starts with; None for others."""
        disk = self.disks.get(name)
        if disk is None:
            return None
        state = starting_state(
            self.replicas,
            incarnation=self._incarnation,
            record=None if disk.damaged else disk.record,
            damaged=disk.damaged,
        )
        assert isinstance(state, AcceptorState)
        return state
