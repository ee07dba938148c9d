"""Stateful test of the register and the spread under random faults."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cuminstack.core import InstanceId
from cuminstack.register import (
    AcceptorState,
    Conflict,
    InForce,
    NoQuorum,
    Outcome,
    SameAgain,
    Stale,
    Standing,
    decode_state,
    encode_state,
)
from cuminstack.sheet import Sheet
from fakes_register_network import Disk, Network, make_sheet

_REPLICAS = 3
_OTHERS = 1
_MAJORITY = 2
_LABELS = ('a', 'b')

_indexes = st.integers(0, _REPLICAS + _OTHERS - 1)
_replica_indexes = st.integers(0, _REPLICAS - 1)
_picks = st.integers(0, 1000)


class RegisterMachine(RuleBasedStateMachine):
    """Injects faults; at most one replica at a time has lost its disk.

    The outcomes that instances report are compared with the sheets that were
    submitted and with the records on the disks.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network = Network(_REPLICAS, _OTHERS)
        self.submitted: dict[int, Sheet] = {}
        self.checked = 0
        #: Digests of the sheets that are or were in force, by version.
        self.in_force: dict[int, bytes] = {}
        #: Digests of sheets that can no longer come into force.
        self.refused: set[bytes] = set()
        #: Digests of sheets submitted once that no replica accepted.
        self.unaccepted: set[bytes] = set()

    @initialize(held=st.booleans())
    def found(self, held: bool) -> None:
        self.network.run(1)
        self.network.hold_syncs = held

    @rule(at=_indexes, ahead=st.integers(0, 2), label=st.sampled_from(_LABELS))
    def submit(self, at: int, ahead: int, label: str) -> None:
        name = self.network.names[at]
        if name not in self.network.processes:
            return
        newest = max(self.in_force, default=0)
        version = max(1, newest + ahead)
        sheet = make_sheet(version, version - 1, label)
        ticket = self.network.submit(name, sheet)
        self.unaccepted.discard(sheet.digest)
        self.submitted[ticket] = sheet

    @rule(pick=_picks, keep=st.booleans())
    def deliver(self, pick: int, keep: bool) -> None:
        packets = self.network.packets
        if packets:
            packet = packets[pick % len(packets)]
            if not keep:
                packets.remove(packet)
            self.network.deliver(packet)

    @rule(pick=_picks)
    def drop(self, pick: int) -> None:
        packets = self.network.packets
        if packets:
            packets.pop(pick % len(packets))

    @rule(count=st.integers(1, 12))
    def deliver_some(self, count: int) -> None:
        for _ in range(min(count, len(self.network.packets))):
            self.network.deliver(self.network.packets.pop(0))

    @rule(count=st.integers(1, 20))
    def tick(self, count: int) -> None:
        for _ in range(count):
            self.network.tick()

    @rule(at=_replica_indexes, fails=st.booleans())
    def sync(self, at: int, fails: bool) -> None:
        name = self.network.names[at]
        process = self.network.processes.get(name)
        if process is not None and process.syncing:
            self.network.disks[name].fails = fails
            self.network.sync_one(name, process.syncing.pop(0))
            self.network.disks[name].fails = False

    @rule(at=_replica_indexes)
    def crash_after_sync(self, at: int) -> None:
        """Crash after the record reaches the disk, before any reply."""
        name = self.network.names[at]
        process = self.network.processes.get(name)
        if process is not None and process.syncing:
            persist = process.syncing.pop(0)
            self.network.disks[name].record = encode_state(persist.state)
            self.network.disks[name].damaged = False
            self.network.crash(name)

    @rule(at=_indexes)
    def crash(self, at: int) -> None:
        self.network.crash(self.network.names[at])

    @rule(at=_indexes)
    def restart(self, at: int) -> None:
        name = self.network.names[at]
        self.network.crash(name)
        self.network.start(name)

    @rule(at=_replica_indexes, damaged=st.booleans())
    def lose_disk(self, at: int, damaged: bool) -> None:
        name = self.network.names[at]
        others = [each for each in self.network.replicas if each != name]
        if all(self._has_votes(other) for other in others):
            self.network.crash(name)
            self.network.disks[name] = Disk(damaged=damaged)
            self.network.start(name)

    @rule(at=_indexes)
    def cut(self, at: int) -> None:
        self.network.isolate([self.network.names[at]])

    @rule()
    def heal(self) -> None:
        self.network.heal()

    @rule()
    def settle(self) -> None:
        if not self.network.hold_syncs:
            self.network.run(1)

    @invariant()
    def outcomes_are_correct(self) -> None:
        for sheet in self.network.all_learned:
            self._record_in_force(sheet.version, sheet.digest)
        self.network.all_learned.clear()
        for ticket, outcome in self.network.all_outcomes[self.checked :]:
            self._check(self.submitted[ticket], outcome)
        self.checked = len(self.network.all_outcomes)

    @invariant()
    def versions_never_decrease(self) -> None:
        for process in self.network.processes.values():
            versions = [sheet.version for sheet in process.applied]
            assert versions == sorted(set(versions))
            for sheet in process.applied:
                assert self.in_force[sheet.version] == sheet.digest
        assert not self.network.diverged

    def teardown(self) -> None:
        """End all faults; then all instances must agree and work again."""
        network = self.network
        network.hold_syncs = False
        network.heal()
        for name in network.names:
            if name not in network.processes:
                network.start(name)
            network.perform(name, ())
        network.run(12)
        self.outcomes_are_correct()
        newest = max(self.in_force, default=0)
        sheet = make_sheet(newest + 1, newest, 'last')
        self.submitted[network.submit(network.names[-1], sheet)] = sheet
        network.run(3)
        self.outcomes_are_correct()
        self.versions_never_decrease()
        assert self.in_force[newest + 1] == sheet.digest
        for process in network.processes.values():
            assert process.spread.sheet == sheet

    def _record_in_force(self, version: int, digest: bytes) -> None:
        known = self.in_force.setdefault(version, digest)
        assert known == digest
        assert digest not in self.refused
        assert digest not in self.unaccepted

    def _check(self, sheet: Sheet, outcome: Outcome) -> None:
        match outcome:
            case InForce():
                assert self._holders(sheet) >= _MAJORITY
                self._record_in_force(sheet.version, sheet.digest)
            case SameAgain():
                self._record_in_force(sheet.version, sheet.digest)
            case Conflict():
                self.refused.add(sheet.digest)
                assert self.in_force.get(sheet.version) != sheet.digest
            case Stale():
                assert sheet.based_on != outcome.in_force
                # A sheet based on a later version may still come into force.
                if sheet.based_on < outcome.in_force:
                    self.refused.add(sheet.digest)
                    assert self.in_force.get(sheet.version) != sheet.digest
            case NoQuorum():
                sheets = list(self.submitted.values())
                if not outcome.maybe_accepted and sheets.count(sheet) == 1:
                    self.unaccepted.add(sheet.digest)

    def _holders(self, sheet: Sheet) -> int:
        """Count the replicas that hold a sheet, or may have lost it."""
        return sum(self._holds(name, sheet) for name in self.network.replicas)

    def _holds(self, name: InstanceId, sheet: Sheet) -> bool:
        """Return whether a replica has a sheet, or lost its disk."""
        state = self._synced(name)
        if state is None or state.standing is not Standing.voting:
            return True
        held = state.value.sheet
        return held.digest == sheet.digest or any(
            sheet.digest.startswith(entry.short_digest)
            for entry in state.value.history
        )

    def _has_votes(self, name: InstanceId) -> bool:
        """Return whether the record of a replica is that of a voter."""
        state = self._synced(name)
        return state is not None and state.standing is Standing.voting

    def _synced(self, name: InstanceId) -> AcceptorState | None:
        """Return the state on a replica's disk, if it is readable."""
        disk = self.network.disks[name]
        if disk.record is None or disk.damaged:
            return None
        state = decode_state(disk.record)
        assert isinstance(state, AcceptorState)
        return state


class TestAnyFaults:
    """The state machine, with fixed seeds."""

    def test_register_and_spread(self) -> None:
        run_state_machine_as_test(
            RegisterMachine,
            settings=settings(
                derandomize=True,
                max_examples=40,
                stateful_step_count=40,
                deadline=None,
                # Shrinking a long sequence of steps takes minutes.
                phases=(Phase.generate,),
            ),
        )
