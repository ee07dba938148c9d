"""Tests of the dissemination of the sheet on a simulated network."""

import pytest

from cuminstack import sheet as sheets
from cuminstack import wire
from cuminstack.core import InstanceId, ZoneName
from cuminstack.register import InForce
from cuminstack.sheet import Sheet
from cuminstack.spread import (
    CHUNK_BYTES,
    Apply,
    Chunk,
    Freshness,
    Push,
    Spread,
    Summary,
    Update,
    Want,
)
from cuminstack.spread._tree import children
from fakes_register_network import Network, Packet, make_sheet


def _ready(replicas: int = 3, others: int = 6) -> Network:
    """Return a network whose instances have all started."""
    network = Network(replicas, others)
    network.run(3)
    return network


def _versions(network: Network) -> set[int]:
    """Return the sheet versions at the running instances."""
    processes = network.processes.values()
    return {process.spread.sheet.version for process in processes}


def _count(network: Network, kind: type) -> int:
    """Return the number of delivered messages of a kind."""
    messages = (wire.decode(packet.frame) for packet in network.delivered)
    return sum(isinstance(message, kind) for message in messages)


def _big_sheet(version: int, members: int = 3000) -> Sheet:
    """Return a sheet that takes more than one chunk."""
    rows = [f'sheet,{version},0']
    rows += [f'member,m{index},1,0,10' for index in range(members)]
    sheet = sheets.parse('\n'.join(rows).encode())
    assert isinstance(sheet, Sheet)
    return sheet


class TestPush:
    """A change reaches each instance with one push."""

    def test_each_instance_gets_one_push(self) -> None:
        network = _ready()
        for version in range(1, 5):
            network.delivered.clear()
            network.commit(network.names[3], make_sheet(version, version - 1))
            network.deliver_all()
            assert _versions(network) == {version}
            assert _count(network, Push) == len(network.names) - 1
            assert _count(network, Want) == 0

    @pytest.mark.parametrize('size', [1, 2, 5, 6, 22, 60])
    def test_tree_reaches_all_once(self, size: int) -> None:
        zone = sorted(InstanceId(f'i{index}') for index in range(size))
        for root in zone:
            reached = [
                child for own in zone for child in children(own, root, zone)
            ]
            assert sorted([root, *reached]) == zone

    def test_lost_pushes_are_recovered(self) -> None:
        network = _ready()
        network.should_deliver = lambda packet: (
            not isinstance(wire.decode(packet.frame), Push)
        )
        network.commit(network.names[0], make_sheet(1, 0))
        network.run(1)
        assert _versions(network) == {1}


class TestCatchUp:
    """A lagging instance gets one difference or the whole sheet."""

    def test_after_hundreds_of_changes(self) -> None:
        network = _ready(3, 1)
        last = network.names[3]
        network.commit(network.names[0], make_sheet(1, 0))
        network.run(1)
        network.isolate([last])
        for version in range(2, 302):
            network.commit(network.names[0], make_sheet(version, version - 1))
        network.heal()
        network.delivered.clear()
        network.run(1)
        assert _versions(network) == {301}
        updates = [
            packet
            for packet in network.delivered
            if packet.to == last
            and isinstance(wire.decode(packet.frame), Update)
        ]
        assert len(updates) == 1
        applied = [sheet.version for sheet in network.processes[last].applied]
        assert applied == [1, 301]

    def test_whole_sheet_in_chunks(self) -> None:
        network = _ready(3, 1)
        sheet = _big_sheet(1)
        network.commit(network.names[0], sheet)
        network.run(2)
        assert _versions(network) == {1}
        chunks = len(network.names) - 1
        count = -(-len(sheet.canonical) // CHUNK_BYTES)
        assert _count(network, Chunk) == chunks * count
        assert count > 1

    def test_peer_lost_during_transfer(self) -> None:
        network = _ready(3, 1)
        last = network.names[3]
        network.isolate([last])
        network.commit(network.names[0], _big_sheet(1))
        network.run(2)
        network.heal()
        senders: list[InstanceId] = []

        def should_deliver(packet: Packet) -> bool:
            if isinstance(wire.decode(packet.frame), Chunk):
                senders.append(packet.sender)
            return packet.sender not in senders[:1]

        network.should_deliver = should_deliver
        network.run(5)
        assert len(set(senders)) == 2
        assert _versions(network) == {1}


class TestOnlyNewer:
    """Only newer sheets are applied."""

    def test_old_messages_change_nothing(self) -> None:
        spread = Spread(InstanceId('a'), ZoneName('telavi'), ())
        new, old = make_sheet(5, 4), make_sheet(3, 2)
        effects = spread.publish(new, now=0)
        assert effects == (Apply(new),)
        sender = InstanceId('b')
        whole = sheets.whole(old)
        for message in (Update(whole), Push(sender, whole)):
            assert not spread.receive(sender, message, now=1)
        assert not spread.publish(old, now=2)
        assert spread.sheet == new

    def test_divergence_is_reported(self) -> None:
        network = Network(1)
        spread = network.processes[network.names[0]].spread
        spread.publish(make_sheet(1, 0), now=0)
        other = make_sheet(1, 0, 'b')
        summary = Summary(other.version, other.digest)
        effects = spread.observe_summary(InstanceId('x'), summary, now=1)
        assert effects
        assert spread.sheet == make_sheet(1, 0)


class TestFreshness:
    """Freshness reflects what the replicas reported."""

    def test_asks_before_it_serves(self) -> None:
        network = _ready()
        network.commit(network.names[0], make_sheet(1, 0))
        name = network.names[8]
        network.crash(name)
        spread = network.start(name).spread
        assert spread.freshness(now=network.now) is Freshness.asking
        network.run(1)
        assert spread.freshness(now=network.now) is Freshness.confirmed
        assert spread.sheet.version == 1

    def test_cut_off_zone(self) -> None:
        network = _ready()
        network.commit(network.names[0], make_sheet(1, 0))
        network.run(1)
        inside = [network.names[3], network.names[5], network.names[7]]
        network.isolate(inside)
        network.commit(network.names[0], make_sheet(2, 1))
        network.crash(inside[0])
        spread = network.start(inside[0]).spread
        network.run(7)
        assert spread.freshness(now=network.now) is Freshness.cut_off
        assert spread.sheet.version == 1
        network.heal()
        network.run(2)
        assert _versions(network) == {2}
        assert spread.freshness(now=network.now) is Freshness.confirmed

    def test_whole_restart_serves_the_last_sheet(self) -> None:
        network = _ready()
        outcome = network.commit(network.names[0], make_sheet(1, 0))
        assert isinstance(outcome, InForce)
        for name in network.names:
            network.crash(name)
        for name in network.names:
            network.start(name)
        network.run(4)
        assert _versions(network) == {1}
