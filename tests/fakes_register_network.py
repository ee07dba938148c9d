"""Instances with a register and a spread, on a network that misbehaves."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from cuminstack import wire
from cuminstack.core import InstanceId, Send
from cuminstack.register import (
    AcceptorState,
    Done,
    Effect,
    Learned,
    Outcome,
    Persist,
    Register,
    decode_state,
    encode_state,
    starting_state,
)
from cuminstack.sheet import Member, Sheet

STEP_SECONDS = 0.05


def make_sheet(version: int, based_on: int, label: str = 'a') -> Sheet:
    """Make a small sheet whose content depends on the label."""
    member: Any = f'member-{label}'
    return Sheet(version, based_on, (Member(member, 1, 0, 10),))


@dataclass
class Disk:
    """What a replica synced; `new` isn't synced yet."""

    record: bytes | None = None
    damaged: bool = False
    fails: bool = False


@dataclass
class Process:
    """One running instance."""

    register: Register
    #: Syncs that were asked for and haven't ended.
    syncing: list[Persist] = field(default_factory=list)
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    learned: list[Sheet] = field(default_factory=list)


@dataclass(frozen=True)
class Packet:
    """A message on its way."""

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
        self.cut: set[frozenset[InstanceId]] = set()
        self.delivered: list[Packet] = []
        self.now: float = 0
        self.hold_syncs = hold_syncs
        self.keep: Callable[[Packet], bool] = lambda packet: True
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
        process = Process(register)
        self.processes[name] = process
        self.perform(name, register.start(now=self.now))
        return process

    def crash(self, name: InstanceId) -> None:
        """End an instance; what wasn't synced is lost."""
        self.processes.pop(name, None)

    def lose_disk(self, name: InstanceId) -> None:
        """End a replica and empty its disk."""
        self.crash(name)
        self.disks[name] = Disk()

    def submit(self, name: InstanceId, sheet: Sheet) -> int:
        """Submit a sheet at an instance, and give its ticket."""
        self._ticket += 1
        register = self.processes[name].register
        effects = register.submit(sheet, ticket=self._ticket, now=self.now)
        self.perform(name, effects)
        return self._ticket

    def outcome(self, ticket: int) -> Outcome | None:
        """Give the outcome of a submission, if it has ended."""
        for name in self.names:
            process = self.processes.get(name)
            if process is not None and ticket in process.outcomes:
                return process.outcomes[ticket]
        return None

    def commit(self, name: InstanceId, sheet: Sheet) -> Outcome:
        """Submit a sheet and run until its outcome."""
        ticket = self.submit(name, sheet)
        self.run_until(lambda: self.outcome(ticket) is not None)
        found = self.outcome(ticket)
        assert found is not None
        return found

    def run(self, seconds: float) -> None:
        """Deliver and tick for some time."""
        end = self.now + seconds
        self.run_until(lambda: self.now >= end, seconds + 1)

    def run_until(
        self,
        done: Callable[[], bool],
        limit_seconds: float = 30,
    ) -> None:
        """Deliver and tick until something holds."""
        end = self.now + limit_seconds
        self.deliver_all()
        while not done() and self.now < end:
            self.tick()
            self.deliver_all()

    def tick(self) -> None:
        """Let some time pass at all instances."""
        self.now += STEP_SECONDS
        for name in tuple(self.processes):
            register = self.processes[name].register
            self.perform(name, register.tick(now=self.now))

    def deliver_all(self) -> None:
        """Deliver packets, in order, until none is left."""
        while self.packets:
            self.deliver(self.packets.pop(0))

    def deliver(self, packet: Packet) -> None:
        """Deliver one packet, unless its way is cut."""
        process = self.processes.get(packet.to)
        way = frozenset((packet.sender, packet.to))
        if process is None or way in self.cut or not self.keep(packet):
            return
        self.delivered.append(packet)
        message = wire.decode(packet.frame)
        effects = process.register.receive(packet.sender, message, now=self.now)
        self.perform(packet.to, effects)

    def perform(self, name: InstanceId, effects: Iterable[Effect]) -> None:
        """Do what a register asked for."""
        process = self.processes[name]
        for effect in effects:
            match effect:
                case Send():
                    frame = wire.encode(effect.message)
                    self.packets.append(Packet(name, effect.to, frame))
                case Persist():
                    process.syncing.append(effect)
                case Done():
                    process.outcomes[effect.ticket] = effect.outcome
                    self.all_outcomes.append((effect.ticket, effect.outcome))
                case Learned():
                    process.learned.append(effect.sheet)
        if not self.hold_syncs:
            self.sync(name)

    def sync(self, name: InstanceId) -> None:
        """End the syncs that are under way at an instance."""
        process = self.processes[name]
        while process.syncing:
            persist = process.syncing.pop(0)
            disk = self.disks[name]
            if disk.fails:
                failed = process.register.persist_failed(
                    persist.sequence, now=self.now
                )
                self.perform(name, failed)
                continue
            disk.record = encode_state(persist.state)
            disk.damaged = False
            effects = process.register.persisted(persist.sequence, now=self.now)
            self.perform(name, effects)

    def isolate(self, names: Iterable[InstanceId]) -> None:
        """Cut some instances off from all others."""
        inside = set(names)
        for name in inside:
            outside = (each for each in self.names if each not in inside)
            self.cut.update(frozenset((name, each)) for each in outside)

    def heal(self) -> None:
        """End all cuts."""
        self.cut.clear()

    def synced_version(self, name: InstanceId) -> int:
        """Give the version that a replica's disk holds."""
        record = self.disks[name].record
        if record is None:
            return -1
        state = decode_state(record)
        assert isinstance(state, AcceptorState)
        return state.value.sheet.version

    def _load(self, name: InstanceId) -> AcceptorState | None:
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
