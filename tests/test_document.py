"""Tests of the replicated document: submission, failures, replacement."""

import pytest

from cuminstack.core import InstanceId, Send
from cuminstack.document import (
    FIRST_DISK,
    Conflict,
    DiskId,
    InForce,
    Overtaken,
    Replica,
    Unavailable,
    decode_state,
    encode_state,
)
from cuminstack.document._records import Ballot
from fakes_document import DocumentWorld

FIRST, SECOND, THIRD = (InstanceId(name) for name in 'abc')


class TestSubmission:
    """Outcomes of submitted documents."""

    def test_submission_reaches_all_replicas(self) -> None:
        world = DocumentWorld()
        ticket = world.submit('a', 4, b'four')
        world.run_for(1)
        assert isinstance(world.outcomes[ticket], InForce)
        versions = [each.in_force.version for each in world.documents.values()]
        assert versions == [4, 4, 4]

    def test_resubmission_at_another_instance(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        ticket = world.submit('b', 4, b'four')
        assert isinstance(world.outcomes[ticket], InForce)

    def test_different_bodies_under_one_version(self) -> None:
        world = DocumentWorld()
        tickets = [world.submit('a', 4, b'x'), world.submit('b', 4, b'y')]
        world.run_for(3)
        kinds = {type(world.outcomes[ticket]) for ticket in tickets}
        assert kinds == {InForce, Conflict}

    def test_lower_version_is_overtaken(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        ticket = world.submit('c', 3, b'three')
        world.run_for(1)
        assert isinstance(world.outcomes[ticket], Overtaken)

    def test_no_quorum(self) -> None:
        world = DocumentWorld()
        world.stop(SECOND)
        world.stop(THIRD)
        tickets = [world.submit('a', 4, b'four'), world.read('a')]
        world.run_for(4)
        kinds = {type(world.outcomes[ticket]) for ticket in tickets}
        assert kinds == {Unavailable}


class TestFailures:
    """Power loss, disk loss and replaced instances."""

    def test_value_survives_total_power_loss(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        _restart_all(world)
        ticket = world.read('b')
        world.run_for(1)
        outcome = world.outcomes[ticket]
        assert isinstance(outcome, InForce)
        assert outcome.value.body == b'four'

    # Guards against a deployment that serves nothing after all its processes
    # were killed, until an operator calls.
    def test_value_is_in_force_without_an_operator(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        _restart_all(world)
        world.run_for(3)
        versions = [each.in_force.version for each in world.documents.values()]
        assert versions == [4, 4, 4]

    # Guards against a value that is lost with two disks, one after the other,
    # as no instance knew a value in force and so none was renewed.
    def test_replicas_are_renewed_after_power_loss(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        _restart_all(world)
        world.run_for(3)
        for disk, lost in enumerate((THIRD, SECOND), start=50):
            chosen = world.documents[FIRST].chosen
            world.wipe(lost, disk)
            world.perform(lost, world.documents[lost].learn(chosen))
            world.join(str(lost), Replica(lost, FIRST_DISK))
            world.run_for(1)
        ticket = world.read('c')
        world.run_for(1)
        outcome = world.outcomes[ticket]
        assert isinstance(outcome, InForce)
        assert outcome.value.body == b'four'

    # Guards against a value that is lost with a second disk: a replica was
    # frozen as another one joined, so a lost disk kept its vote for good.
    def test_change_of_replicas_is_finished(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        _join_until_both_vote(world, FIRST, disk=50)
        world.down.add(THIRD)
        world.run_for(1.6)
        world.down.discard(THIRD)
        world.run_for(3)
        replicas = (
            Replica(FIRST, DiskId(50)),
            Replica(SECOND, FIRST_DISK),
            Replica(THIRD, FIRST_DISK),
        )
        for document in world.documents.values():
            assert document.in_force.replicas == replicas
            assert not document.in_force.incoming

    # Guards against the same where the joining instance is lost, too, or all
    # of them restart: nobody remembers that it has to finish the change.
    @pytest.mark.parametrize('restarted', ['a', 'abc'])
    def test_change_is_finished_after_restarts(self, restarted: str) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        _join_until_both_vote(world, FIRST, disk=50)
        for name in restarted:
            world.stop(InstanceId(name))
        world.run_for(0.5)
        if restarted == 'abc':
            for name in restarted:
                world.boot(InstanceId(name))
        world.run_for(3)
        assert not world.documents[SECOND].in_force.incoming
        assert not world.documents[THIRD].in_force.incoming

    # Guards against a change that is acknowledged and not read elsewhere: its
    # ballot had been used before a restart, by a proposer whose disk refused
    # all writes, so the other instances took it for known.
    def test_ballot_is_not_reused_after_a_restart(self) -> None:
        world = DocumentWorld()
        unwritten = world.disks[FIRST]
        world.submit('a', 4, b'four')
        world.run_for(1)
        world.stop(FIRST)
        world.disks[FIRST] = unwritten
        world.boot(FIRST)
        ticket = world.submit('a', 6, b'six')
        world.run_for(2)
        assert isinstance(world.outcomes[ticket], InForce)
        versions = [each.in_force.version for each in world.documents.values()]
        assert versions == [6, 6, 6]

    # Guards against two values under one ballot, of which each replica may hold
    # another one: the first attempt had reached no quorum.
    def test_restarted_proposer_draws_other_ballots(self) -> None:
        world = DocumentWorld()
        unwritten = world.disks[FIRST]
        ballots: list[Ballot] = []
        for _ in range(2):
            effects = world.documents[FIRST].submit(
                4, b'four', ticket=1, now=world.now
            )
            ballots.extend(
                effect.message.ballot
                for effect in effects
                if isinstance(effect, Send)
            )
            world.disks[FIRST] = unwritten
            world.boot(FIRST)
        assert len(set(ballots)) == 2

    # Guards against an instance that keeps an older value, as heartbeats tell
    # the number of the newest ballot and another one had the same.
    def test_values_in_force_have_rising_revisions(self) -> None:
        world = DocumentWorld()
        world.cut_links = {
            frozenset((FIRST, THIRD)),
            frozenset((SECOND, THIRD)),
        }
        world.submit('a', 4, b'four')
        world.run_for(1)
        before = world.documents[SECOND].revision
        world.cut_links.clear()
        world.submit('c', 6, b'six')
        world.run_for(1)
        assert world.documents[SECOND].in_force.version == 6
        assert world.documents[SECOND].revision > before

    # Guards against a second in which nothing is served after a loss of power
    # of all instances: each waited for another one to settle what is in force,
    # and for lost requests.  Links are down at first.
    def test_restart_of_all_settles_at_once(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        for name in (FIRST, SECOND, THIRD):
            world.boot(name)
        world.loss_rate = 1
        world.run_for(0.15)
        world.loss_rate = 0
        world.run_for(0.3)
        versions = [each.in_force.version for each in world.documents.values()]
        assert versions == [4, 4, 4]

    def test_settled_instances_start_no_ballots(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        disks = dict(world.disks)
        world.run_for(5)
        assert world.disks == disks

    def test_unsynced_value_is_lost_on_restart(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.stop(FIRST)
        world.boot(FIRST)
        assert not world.documents[FIRST].in_force.version

    def test_replica_with_lost_disk_is_replaced(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        world.wipe(THIRD, 77)
        world.submit('a', 6, b'six')
        world.run_for(1)
        assert not world.documents[THIRD].is_voter
        world.join('c', Replica(THIRD, FIRST_DISK))
        world.run_for(1)
        replicas = world.documents[SECOND].in_force.replicas
        assert Replica(THIRD, DiskId(77)) in replicas
        assert not world.documents[SECOND].in_force.incoming
        # With a second instance lost, a majority needs the new replica.
        world.stop(FIRST)
        ticket = world.submit('b', 8, b'eight')
        world.run_for(1)
        assert isinstance(world.outcomes[ticket], InForce)

    def test_replica_is_replaced_by_another_instance(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        world.stop(THIRD)
        new = InstanceId('d')
        world.wipe(new, 5)
        world.submit('a', 6, b'six')
        world.run_for(1)
        world.join('d', Replica(THIRD, FIRST_DISK))
        world.run_for(2)
        world.stop(FIRST)
        ticket = world.read('d')
        world.run_for(1)
        outcome = world.outcomes[ticket]
        assert isinstance(outcome, InForce)
        assert outcome.value.body == b'six'


class TestRandomFaults:
    """Acknowledged documents under random faults.

    The faults are cut links, lost messages, power loss and wiped disks.
    """

    @pytest.mark.parametrize('seed', range(25))
    def test_acknowledged_versions_are_kept(self, seed: int) -> None:
        world = DocumentWorld(seed=seed)
        world.loss_rate = 0.1
        acknowledged: dict[int, bytes] = {}
        tickets: dict[int, tuple[int, bytes]] = {}
        disk = 100
        for version in range(2, 60, 2):
            name = world.random_source.choice('abc')
            body = b'%d by %d' % (version, seed)
            if InstanceId(name) not in world.down:
                ticket = world.submit(name, version, body)
                tickets[ticket] = (version, body)
            world.run_for(world.random_source.uniform(0.02, 0.5))
            disk = _inject_fault(world, disk)
            _check_acknowledged(world, acknowledged, tickets)
        _recover_all(world)
        ticket = world.read('a')
        world.run_for(4)
        outcome = world.outcomes[ticket]
        assert isinstance(outcome, InForce)
        assert outcome.value.version >= max(acknowledged, default=0)
        known = acknowledged.get(outcome.value.version, outcome.value.body)
        assert outcome.value.body == known

    def test_state_record_round_trip(self) -> None:
        state = DocumentWorld().disks[FIRST]
        assert decode_state(encode_state(state)) == state


def _restart_all(world: DocumentWorld) -> None:
    """Cut the power of all instances, then start them from their disks."""
    for name in (FIRST, SECOND, THIRD):
        world.stop(name)
    for name in (FIRST, SECOND, THIRD):
        world.boot(name)


def _join_until_both_vote(
    world: DocumentWorld, name: InstanceId, *, disk: int
) -> None:
    """Have an instance join with an empty disk, until the first step is done.

    Then the replicas before and after the change both vote, and all instances
    know it.
    """
    chosen = world.documents[SECOND].chosen
    world.wipe(name, disk)
    world.perform(name, world.documents[name].learn(chosen))
    world.join(str(name), Replica(name, FIRST_DISK))
    while not world.documents[name].in_force.incoming:
        world.run_for(0.02)
    chosen = world.documents[name].chosen
    for other, document in world.documents.items():
        world.perform(other, document.learn(chosen))


def _inject_fault(world: DocumentWorld, disk: int) -> int:
    """Cut one link, stop or wipe one instance, or undo such faults.

    At most one instance is stopped or wiped at a time, which is what three
    replicas tolerate.

    Returns:
        The next unused disk id.
    """
    names = (FIRST, SECOND, THIRD)
    kind = world.random_source.choice(('cut', 'heal', 'stop', 'wipe', 'none'))
    if kind == 'cut':
        world.cut_links = {frozenset(world.random_source.sample(names, 2))}
        return disk
    if kind == 'wipe' and not world.down and not world.cut_links:
        return _wipe_and_replace(world, disk)
    if kind == 'stop' and not world.down:
        world.stop(world.random_source.choice(names))
        return disk
    for name in tuple(world.down):
        world.boot(name)
    world.cut_links.clear()
    return disk


def _wipe_and_replace(world: DocumentWorld, disk: int) -> int:
    """Wipe the disk of one instance and wait until it is replaced.

    Returns:
        The next unused disk id.
    """
    name = world.random_source.choice((FIRST, SECOND, THIRD))
    before = world.documents[name].replica
    newest = max(
        (document.chosen for document in world.documents.values()),
        key=lambda each: each.ballot,
    )
    voters = {document.replica for document in world.documents.values()}
    if voters != newest.value.voters:
        # One replica is lost already; a second loss is not tolerated.
        return disk
    world.wipe(name, disk)
    world.loss_rate = 0
    others = [other for other in (FIRST, SECOND, THIRD) if other != name]
    for _ in range(8):
        newest_chosen = max(
            (world.documents[other].chosen for other in others),
            key=lambda each: each.ballot,
        )
        world.perform(name, world.documents[name].learn(newest_chosen))
        world.join(str(name), before)
        world.run_for(0.5)
    world.loss_rate = 0.1
    return disk + 1


def _check_acknowledged(
    world: DocumentWorld,
    acknowledged: dict[int, bytes],
    tickets: dict[int, tuple[int, bytes]],
) -> None:
    for ticket, (version, body) in tickets.items():
        if isinstance(world.outcomes.get(ticket), InForce):
            acknowledged[version] = body
    for document in world.documents.values():
        value = document.in_force
        known = acknowledged.get(value.version, value.body)
        assert value.body == known


def _recover_all(world: DocumentWorld) -> None:
    world.cut_links.clear()
    world.loss_rate = 0
    for name in tuple(world.down):
        world.boot(name)
    world.run_for(3)
