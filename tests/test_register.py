"""Tests of the replicated register on a simulated network."""

import pytest

from cuminstack import wire
from cuminstack.core import InstanceId, Send
from cuminstack.register import (
    Accept,
    Accepted,
    Acceptor,
    AcceptorState,
    Ballot,
    Conflict,
    InForce,
    NoQuorum,
    OtherReplicaSet,
    Persist,
    Prepare,
    Refused,
    SameAgain,
    Stale,
    Standing,
    digest_replica_set,
    encode_state,
    starting_state,
)
from fakes_register_network import Disk, Network, Packet, make_sheet


def _ready(replicas: int = 3, others: int = 2) -> Network:
    """Return a network whose register is founded."""
    network = Network(replicas, others)
    network.run(1)
    return network


class TestOutcomes:
    """Each submission gets the correct outcome."""

    def test_in_force(self) -> None:
        network = _ready()
        sheet = make_sheet(1, 0)
        for name in network.names:
            outcome = network.commit(name, sheet)
            expected = InForce if name == 'i0' else SameAgain
            assert isinstance(outcome, expected)

    def test_single_replica(self) -> None:
        network = _ready(1, 0)
        outcome = network.commit(network.names[0], make_sheet(1, 0))
        assert isinstance(outcome, InForce)

    def test_same_again_after_newer_ones(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        for version in range(1, 6):
            network.commit(one, make_sheet(version, version - 1))
        again = network.commit(two, make_sheet(2, 1))
        assert again == SameAgain(2, make_sheet(2, 1).digest, 5)

    def test_conflict(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        network.commit(one, make_sheet(1, 0))
        taken = network.commit(two, make_sheet(1, 0, 'b'))
        assert taken == Conflict(1, 1)
        network.commit(one, make_sheet(2, 1))
        assert network.commit(two, make_sheet(1, 0, 'b')) == Conflict(1, 2)

    @pytest.mark.parametrize(('version', 'based_on'), [(3, 1), (9, 8)])
    def test_stale(self, version: int, based_on: int) -> None:
        network = _ready()
        one, two, *_ = network.names
        network.commit(one, make_sheet(1, 0))
        network.commit(one, make_sheet(2, 1))
        outcome = network.commit(two, make_sheet(version, based_on))
        assert outcome == Stale(version, based_on, 2)

    def test_concurrent_sheets_of_one_version(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        sheets = [make_sheet(1, 0, 'a'), make_sheet(1, 0, 'b')]
        tickets = [
            network.submit(name, sheet)
            for name, sheet in zip((one, two), sheets, strict=True)
        ]
        network.run(4)
        outcomes = [network.outcome(ticket) for ticket in tickets]
        kinds = {type(outcome) for outcome in outcomes}
        assert kinds == {InForce, Conflict}

    def test_one_sheet_at_all_instances(self) -> None:
        network = _ready()
        tickets = [
            network.submit(name, make_sheet(1, 0)) for name in network.names
        ]
        network.run(4)
        outcomes = [network.outcome(ticket) for ticket in tickets]
        assert all(
            isinstance(outcome, InForce | SameAgain) for outcome in outcomes
        )


class TestPartitions:
    """A majority keeps working, and minorities catch up after healing."""

    def test_cut_off_instance_gets_no_quorum(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        network.isolate([one])
        outcome = network.commit(one, make_sheet(1, 0))
        assert outcome == NoQuorum(maybe_accepted=False)
        outcome = network.commit(two, make_sheet(1, 0, 'b'))
        assert isinstance(outcome, InForce)
        network.heal()
        network.run(3)
        assert network.commit(one, make_sheet(1, 0)) == Conflict(1, 1)

    def test_healed_replica_catches_up(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        network.isolate([one])
        network.commit(two, make_sheet(1, 0))
        network.heal()
        network.commit(two, make_sheet(2, 1))
        network.run(1)
        assert network.synced_version(one) == 2


def _votes(network: Network) -> list[bool]:
    """Return which replicas vote, in the order of the replicas."""
    processes = network.processes
    return [
        name in processes and processes[name].register.votes
        for name in network.replicas
    ]


class TestCrashes:
    """A crash at any step of a commit loses no accepted sheet."""

    @pytest.mark.parametrize('step', range(6))
    @pytest.mark.parametrize('is_synced', [False, True])
    def test_kill_around_each_sync(self, step: int, is_synced: bool) -> None:
        network = _ready()
        sheet = make_sheet(1, 0)
        network.hold_syncs = True
        ticket = network.submit(network.names[0], sheet)
        network.deliver_all()
        for _ in range(step):
            network.sync_next()
            network.deliver_all()
        victim = network.next_to_sync()
        if victim is not None:
            persist = network.processes[victim].syncing.pop(0)
            if is_synced:
                network.disks[victim].record = encode_state(persist.state)
            network.crash(victim)
            network.start(victim)
        network.hold_syncs = False
        for name in network.names:
            network.perform(name, ())
        network.run(5)
        outcome = network.outcome(ticket)
        lost_answer = outcome is None and victim == network.names[0]
        assert lost_answer or isinstance(outcome, InForce)
        again = network.commit(network.names[1], sheet)
        assert isinstance(again, InForce | SameAgain)
        network.run(3)
        versions = {
            process.spread.sheet.version
            for process in network.processes.values()
        }
        assert versions == {1}

    def test_proposer_dies_after_acceptance(self) -> None:
        network = _ready()
        proposer = network.names[3]
        network.should_deliver = lambda packet: (
            packet.to != proposer
            or not isinstance(wire.decode(packet.frame), Accepted)
        )
        network.submit(proposer, make_sheet(1, 0))
        network.deliver_all()
        network.crash(proposer)
        assert not network.all_learned
        network.run(3)
        # The replicas read the register, as no instance knows the outcome.
        assert {sheet.version for sheet in network.all_learned} == {1}

    @pytest.mark.parametrize('seconds', [0, 0.1, 0.5, 0.6])
    def test_crashes_while_founding(self, seconds: float) -> None:
        network = Network(3)
        network.run(seconds)
        for name in network.names:
            network.crash(name)
            network.start(name)
            network.tick()
        network.run(2)
        assert _votes(network) == [True, True, True]

    def test_resend_after_unknown_outcome(self) -> None:
        network = _ready()
        one = network.names[0]
        network.should_deliver = lambda packet: (
            not isinstance(wire.decode(packet.frame), Accept)
        )
        outcome = network.commit(one, make_sheet(1, 0))
        assert outcome == NoQuorum(maybe_accepted=True)
        network.should_deliver = lambda packet: True
        again = network.commit(network.names[1], make_sheet(1, 0))
        assert isinstance(again, InForce | SameAgain)


class TestSyncs:
    """Replies are sent only after the state that they report is synced."""

    def test_replies_wait(self) -> None:
        acceptor, sequence = _acceptor()
        effects = acceptor.receive(_PEER, _prepare(1), now=0)
        assert [type(effect) for effect in effects] == [Persist]
        released = acceptor.persisted(sequence + 1)
        assert [type(effect) for effect in released] == [Send]

    def test_changes_during_a_sync_share_the_next(self) -> None:
        acceptor, sequence = _acceptor()
        acceptor.receive(_PEER, _prepare(1), now=0)
        for number in (2, 3):
            assert not acceptor.receive(_PEER, _prepare(number), now=0)
        first = acceptor.persisted(sequence + 1)
        assert [type(effect) for effect in first] == [Send, Persist]
        rest = acceptor.persisted(sequence + 3)
        assert [type(effect) for effect in rest] == [Send, Send]

    def test_nothing_is_confirmed_after_a_failed_sync(self) -> None:
        acceptor, sequence = _acceptor()
        acceptor.receive(_PEER, _prepare(1), now=0)
        acceptor.persist_failed(sequence + 1, now=0)
        assert not acceptor.votes
        assert not acceptor.persisted(sequence + 1)
        refused = acceptor.receive(_PEER, _prepare(1), now=1)[0]
        assert isinstance(refused, Send)
        assert isinstance(refused.message, Refused)
        assert [type(each) for each in acceptor.tick(now=9)] == [Persist]
        acceptor.persisted(sequence + 1)
        assert acceptor.votes


_PEER = InstanceId('peer')


def _acceptor() -> tuple[Acceptor, int]:
    """Return a voting replica of a set of one, and its last sequence."""
    state = AcceptorState((InstanceId('own'),), 1, Standing.voting)
    acceptor = Acceptor(state)
    persist = acceptor.start()[0]
    assert isinstance(persist, Persist)
    acceptor.persisted(persist.sequence)
    return acceptor, persist.sequence


def _prepare(number: int) -> Prepare:
    stamp = digest_replica_set((InstanceId('own'),))
    return Prepare(Ballot(number, _PEER, 1), stamp)


class TestDisks:
    """Lost, damaged and full disks, and long pauses."""

    @pytest.mark.parametrize('damaged', [False, True])
    def test_lost_disk_recovers(self, damaged: bool) -> None:
        network = _ready()
        one = network.names[0]
        network.commit(one, make_sheet(1, 0))
        network.crash(one)
        network.disks[one] = Disk(damaged=damaged)
        network.start(one)
        assert _votes(network) == [False, True, True]
        network.run(2)
        assert _votes(network) == [True, True, True]
        assert network.synced_version(one) == 1

    def test_no_recovery_without_enough_others(self) -> None:
        network = _ready()
        one, two, three, *_ = network.names
        network.commit(one, make_sheet(1, 0))
        network.crash(three)
        network.lose_disk(one)
        network.start(one)
        network.run(3)
        assert _votes(network) == [False, True, False]
        outcome = network.commit(two, make_sheet(2, 1))
        assert outcome == NoQuorum(maybe_accepted=False)
        network.start(three)
        network.run(3)
        assert _votes(network) == [True, True, True]
        outcome = network.commit(two, make_sheet(2, 1))
        assert isinstance(outcome, InForce)

    def test_two_lost_disks_in_turn(self) -> None:
        network = _ready()
        names = network.names
        network.isolate([names[2]])
        network.commit(names[0], make_sheet(1, 0))
        network.heal()
        for victim in names[:2]:
            network.lose_disk(victim)
            network.start(victim)
            network.run(2)
            assert _votes(network) == [True, True, True]
        again = network.commit(names[2], make_sheet(1, 0))
        assert isinstance(again, SameAgain)

    def test_all_but_one_disk_lost_at_once(self) -> None:
        network = _ready()
        one, two, three, *_ = network.names
        network.commit(one, make_sheet(1, 0))
        for victim in (one, two):
            network.lose_disk(victim)
            network.start(victim)
        network.run(5)
        # The blank replicas must not found a register without the value
        # that the remaining replica holds.
        assert _votes(network) == [False, False, True]

    def test_version_after_loss_of_all_disks(self) -> None:
        network = _ready()
        for version in (1, 2, 3):
            sheet = make_sheet(version, version - 1)
            network.commit(network.names[0], sheet)
        network.run(1)
        for victim in network.replicas:
            network.lose_disk(victim)
        for victim in network.replicas:
            network.start(victim)
        network.run(2)
        one, two, *_ = network.names
        outcome = network.commit(one, make_sheet(2, 0, 'b'))
        assert outcome == Stale(2, 0, 3)
        outcome = network.commit(two, make_sheet(4, 0, 'b'))
        assert isinstance(outcome, InForce)
        network.run(1)
        for process in network.processes.values():
            assert process.spread.sheet.version == 4

    def test_all_files_damaged(self) -> None:
        network = _ready(3, 0)
        network.commit(network.names[0], make_sheet(1, 0))
        for name in network.names:
            network.crash(name)
            network.disks[name].damaged = True
        for name in network.names:
            network.start(name)
        network.run(5)
        assert not any(_votes(network))

    def test_other_replica_set(self) -> None:
        network = _ready()
        record = network.disks[network.names[0]].record
        found = starting_state(
            network.replicas[:2], incarnation=1, record=record
        )
        assert found == OtherReplicaSet(network.replicas)
        torn = starting_state(network.replicas, incarnation=1, record=b'x')
        assert isinstance(torn, AcceptorState)
        assert torn.standing is Standing.recovering

    def test_full_disk_stops_only_voting(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        network.disks[one].fails = True
        outcome = network.commit(two, make_sheet(1, 0))
        assert isinstance(outcome, InForce)
        assert _votes(network) == [False, True, True]
        # The instance still accepts submissions and learns their outcomes.
        outcome = network.commit(one, make_sheet(2, 1))
        assert isinstance(outcome, InForce)
        network.disks[one].fails = False
        network.run(6)
        assert _votes(network) == [True, True, True]
        network.commit(two, make_sheet(3, 2))
        network.run(1)
        assert network.synced_version(one) == 3

    def test_paused_replica_catches_up(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        delayed: list[Packet] = []

        def delay(packet: Packet) -> bool:
            if packet.to == one:
                delayed.append(packet)
            return packet.to != one and packet.sender != one

        network.should_deliver = delay
        for version in range(1, 80):
            network.commit(two, make_sheet(version, version - 1))
        network.should_deliver = lambda packet: True
        network.packets.extend(delayed)
        network.run(3)
        outcome = network.commit(one, make_sheet(80, 79))
        assert isinstance(outcome, InForce)
        network.run(1)
        assert network.synced_version(one) == 80

    def test_promise_before_recovery_is_void(self) -> None:
        """A promise from before a lost disk must not count.

        This is the counterexample that the specification yields without
        fences: a proposer collects a replica's promise, the replica loses
        its disk, recovers and accepts in a lower ballot, and the proposer
        then completes its majority with the old promise.
        """
        network = _ready(3, 1)
        one, two, three, four = network.names
        network.processes[four].register._ballots._highest = 50
        _only(network, {four, one})
        network.submit(four, make_sheet(1, 0, 'a'))
        network.deliver_all()
        _only(network, {one, two, three})
        network.lose_disk(one)
        network.start(one)
        network.run(1)
        _only(network, {one, three})
        outcome = network.commit(one, make_sheet(1, 0, 'b'))
        assert isinstance(outcome, InForce)
        _only(network, {four, two})
        network.run(1)
        assert network.synced_version(two) == 0
        _only(network, {one, two})
        again = network.commit(two, make_sheet(1, 0, 'b'))
        assert isinstance(again, SameAgain)


def _only(network: Network, names: set[InstanceId]) -> None:
    """Deliver packets only between some instances."""
    network.should_deliver = lambda packet: {packet.sender, packet.to} <= names
