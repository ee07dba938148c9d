"""The desired state on replicas that it names itself."""

import pytest

from cuminstack.core import InstanceId
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
from fakes_document import DocumentWorld

FIRST, SECOND, THIRD = (InstanceId(name) for name in 'abc')


class TestSubmission:
    """What an operator is told."""

    def test_in_force_everywhere(self) -> None:
        world = DocumentWorld()
        ticket = world.submit('a', 4, b'four')
        world.run_for(1)
        assert isinstance(world.outcomes[ticket], InForce)
        versions = [each.in_force.version for each in world.documents.values()]
        assert versions == [4, 4, 4]

    def test_same_again_at_another_instance(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        ticket = world.submit('b', 4, b'four')
        assert isinstance(world.outcomes[ticket], InForce)

    def test_other_content_under_a_version(self) -> None:
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


class TestLosses:
    """Lost power, lost disks, replaced instances."""

    def test_all_lose_power(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        for name in (FIRST, SECOND, THIRD):
            world.stop(name)
        for name in (FIRST, SECOND, THIRD):
            world.boot(name)
        ticket = world.read('b')
        world.run_for(1)
        outcome = world.outcomes[ticket]
        assert isinstance(outcome, InForce)
        assert outcome.value.body == b'four'

    def test_unacknowledged_value_is_not_read_early(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.stop(FIRST)
        world.boot(FIRST)
        assert not world.documents[FIRST].in_force.version

    def test_lost_disk_is_replaced(self) -> None:
        world = DocumentWorld()
        world.submit('a', 4, b'four')
        world.run_for(1)
        world.wipe(THIRD, 77)
        world.submit('a', 6, b'six')
        world.run_for(1)
        assert not world.documents[THIRD].votes
        world.join('c', Replica(THIRD, FIRST_DISK))
        world.run_for(1)
        replicas = world.documents[SECOND].in_force.replicas
        assert Replica(THIRD, DiskId(77)) in replicas
        assert not world.documents[SECOND].in_force.incoming
        # A second loss follows: the new replica is one of the majority.
        world.stop(FIRST)
        ticket = world.submit('b', 8, b'eight')
        world.run_for(1)
        assert isinstance(world.outcomes[ticket], InForce)

    def test_replaced_at_another_address(self) -> None:
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


class TestFuzz:
    """Cuts, losses, power and wiped disks against what was acknowledged."""

    @pytest.mark.parametrize('seed', range(25))
    def test_acknowledged_versions_stay(self, seed: int) -> None:
        world = DocumentWorld(seed=seed)
        world.loss = 0.1
        acknowledged: dict[int, bytes] = {}
        tickets: dict[int, tuple[int, bytes]] = {}
        disk = 100
        for version in range(2, 60, 2):
            name = world.chance.choice('abc')
            body = b'%d by %d' % (version, seed)
            if InstanceId(name) not in world.down:
                ticket = world.submit(name, version, body)
                tickets[ticket] = (version, body)
            world.run_for(world.chance.uniform(0.02, 0.5))
            disk = _trouble(world, disk)
            _check(world, acknowledged, tickets)
        _heal(world)
        ticket = world.read('a')
        world.run_for(4)
        outcome = world.outcomes[ticket]
        assert isinstance(outcome, InForce)
        assert outcome.value.version >= max(acknowledged, default=0)
        known = acknowledged.get(outcome.value.version, outcome.value.body)
        assert outcome.value.body == known

    def test_record(self) -> None:
        state = DocumentWorld().disks[FIRST]
        assert decode_state(encode_state(state)) == state


def _trouble(world: DocumentWorld, disk: int) -> int:
    """Cut, stop, start or wipe one instance; one is lost at a time."""
    names = (FIRST, SECOND, THIRD)
    kind = world.chance.choice(('cut', 'heal', 'stop', 'wipe', 'none'))
    if kind == 'cut':
        world.cut = {frozenset(world.chance.sample(names, 2))}
        return disk
    if kind == 'wipe' and not world.down and not world.cut:
        return _wipe(world, disk)
    if kind == 'stop' and not world.down:
        world.stop(world.chance.choice(names))
        return disk
    for name in tuple(world.down):
        world.boot(name)
    world.cut.clear()
    return disk


def _wipe(world: DocumentWorld, disk: int) -> int:
    """Lose a disk, and give the replica the time to be replaced."""
    name = world.chance.choice((FIRST, SECOND, THIRD))
    before = world.documents[name].replica
    newest = max(
        (document.news for document in world.documents.values()),
        key=lambda each: each.ballot,
    )
    voters = {document.replica for document in world.documents.values()}
    if voters != newest.value.voters:
        # One is lost already; a second is more than is tolerated.
        return disk
    world.wipe(name, disk)
    world.loss = 0
    others = [other for other in (FIRST, SECOND, THIRD) if other != name]
    for _ in range(8):
        news = max(
            (world.documents[other].news for other in others),
            key=lambda each: each.ballot,
        )
        world.perform(name, world.documents[name].learn(news))
        world.join(str(name), before)
        world.run_for(0.5)
    world.loss = 0.1
    return disk + 1


def _check(
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


def _heal(world: DocumentWorld) -> None:
    world.cut.clear()
    world.loss = 0
    for name in tuple(world.down):
        world.boot(name)
    world.run_for(3)
