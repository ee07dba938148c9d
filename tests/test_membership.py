"""Tests of the failure detector over an in-memory network."""

from collections.abc import Sequence
from typing import Any

import pytest

from cuminstack.core import Instance, InstanceId, Send
from cuminstack.membership import (
    Heartbeat,
    Membership,
    PeerSummary,
    Record,
    Records,
    Standing,
    Summary,
    Superseded,
    Timing,
    ViewChanged,
    neighbours,
)
from fakes_network import FakeNetwork, make_instance, make_instances

STEP = 0.25
TIMING = Timing()


class Deployment:
    """Instances that run the failure detector on a simulated clock."""

    def __init__(
        self, instances: Sequence[Instance], *, cross_zone_links: int
    ) -> None:
        self.network = FakeNetwork()
        self.instances = {item.instance: item for item in instances}
        self.cross_zone_links = cross_zone_links
        self.detectors: dict[str, Membership] = {}
        self.paused: set[str] = set()
        self.events: list[tuple[str, Any]] = []
        self.now: float = 0
        for name in sorted(self.instances):
            self.start(name, incarnation=1)

    def start(self, name: str, *, incarnation: int) -> None:
        own = make_instance(name, incarnation)
        peers = tuple(self.instances.values())
        self.detectors[name] = Membership(
            own, peers, cross_zone_links=self.cross_zone_links
        )

    def kill(self, name: str) -> None:
        self.detectors.pop(name)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += STEP
            self.network.deliver(self.now, self.receive)
            for name, detector in self.detectors.items():
                if name not in self.paused:
                    self.apply(name, detector.tick(now=self.now), self.now)

    def receive(self, sender: str, to: str, message: Any, now: float) -> None:
        detector = self.detectors.get(to)
        if detector is not None and to not in self.paused:
            effects = detector.receive(InstanceId(sender), message, now=now)
            self.apply(to, effects, now)

    def apply(self, name: str, effects: Sequence[Any], now: float) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(name, effect.to, effect.message, now)
            else:
                self.events.append((name, effect))

    def routable(self, name: str) -> str:
        return ' '.join(item.instance for item in self.detectors[name].routable)

    def alive(self, name: str) -> str:
        return ' '.join(item.instance for item in self.detectors[name].alive)

    def record(self, name: str, of: str) -> Record:
        found = self.detectors[name].record_of(InstanceId(of))
        assert found is not None
        return found

    def views(self) -> set[str]:
        return {self.alive(name) for name in self.detectors}


ALL = 'a1 a2 a3 b1 b2 b3 c1 c2 c3'


@pytest.fixture(params=[0, 1], ids=['mesh', 'sparse'])
def nine(request: pytest.FixtureRequest) -> Deployment:
    deployment = Deployment(
        make_instances(3, 3), cross_zone_links=request.param
    )
    deployment.run(3)
    return deployment


class TestNoFailures:
    """Without failures, views are complete and stay as they are."""

    def test_views_are_complete(self, nine: Deployment) -> None:
        assert nine.views() == {ALL}
        assert nine.routable('b2') == ALL
        assert nine.detectors['a1'].all_neighbours_seen
        assert nine.detectors['a1'].zone_of(InstanceId('c2')) == 'c'

    def test_no_view_change_and_no_records(self, nine: Deployment) -> None:
        nine.events.clear()
        before = nine.network.frames
        nine.run(20)
        degree = len(nine.detectors['a1'].neighbours)
        assert not nine.events
        assert nine.network.frames - before == 20 * 9 * degree

    def test_summary_reaches_neighbours(self, nine: Deployment) -> None:
        summary = Summary(7, b'12345678', 3, b'load')
        nine.detectors['a1'].advertise(summary)
        nine.run(2)
        informed = {
            name
            for name, event in nine.events
            if isinstance(event, PeerSummary) and event.summary == summary
        }
        assert informed == set(nine.detectors['a1'].neighbours)

    def test_unknown_senders_and_messages_are_ignored(self) -> None:
        detector = Membership(make_instance('a1', 1), make_instances(1, 2))
        detector.tick(now=0)
        heartbeat = Heartbeat(1, 0, False, 1, 0, b'', Summary())
        assert not detector.receive(InstanceId('zz'), heartbeat, now=0)
        assert not detector.receive(InstanceId('a2'), 'other', now=0)
        assert [item.instance for item in detector.alive] == ['a1']


class TestCrash:
    """An instance crashes, or a link to it fails."""

    def test_suspect_and_gone_timeouts(
        self,
        nine: Deployment,
    ) -> None:
        nine.kill('c3')
        nine.run(TIMING.suspect_timeout + 1)
        assert {nine.routable(name) for name in nine.detectors} == {ALL[:-3]}
        assert nine.views() == {ALL}
        nine.run(TIMING.gone_timeout)
        assert nine.views() == {ALL[:-3]}

    def test_lost_link_stops_routing_at_once(self, nine: Deployment) -> None:
        nine.kill('a2')
        detector = nine.detectors['a1']
        detector.link_lost(InstanceId('a2'), now=nine.now)
        assert 'a2' not in nine.routable('a1')

    def test_suspicion_from_lost_link_is_refuted(
        self, nine: Deployment
    ) -> None:
        effects = nine.detectors['a1'].link_lost(InstanceId('a2'), now=nine.now)
        nine.apply('a1', effects, nine.now)
        nine.run(2)
        assert {nine.routable(name) for name in nine.detectors} == {ALL}

    def test_restart_replaces_incarnation_at_once(
        self, nine: Deployment
    ) -> None:
        nine.kill('b1')
        nine.run(1)
        nine.start('b1', incarnation=2)
        nine.run(1)
        assert {
            nine.record(name, 'b1').incarnation for name in ALL.split()
        } == {2}
        nine.run(2)
        assert {nine.routable(name) for name in nine.detectors} == {ALL}

    def test_late_heartbeat_of_old_incarnation(self, nine: Deployment) -> None:
        nine.kill('b1')
        nine.start('b1', incarnation=2)
        nine.run(2)
        heartbeat = Heartbeat(1, 9, False, 99, 0, b'', Summary())
        nine.detectors['a1'].receive(InstanceId('b1'), heartbeat, now=nine.now)
        assert nine.record('a1', 'b1').incarnation == 2

    def test_old_incarnation_is_superseded(self, nine: Deployment) -> None:
        old = nine.detectors['b1']
        nine.start('b1', incarnation=2)
        nine.run(2)
        records = Records((nine.record('a1', 'b1'),))
        effects = old.receive(InstanceId('a1'), records, now=nine.now)
        assert Superseded(2) in effects


class TestPartitions:
    """Partitions, one-way link failures, pauses and lost frames."""

    def test_zone_partition_and_healing(self, nine: Deployment) -> None:
        nine.network.partition('a1 a2 a3', 'b1 b2 b3 c1 c2 c3')
        nine.run(TIMING.suspect_timeout + 1)
        assert nine.routable('a1') == 'a1 a2 a3'
        assert nine.routable('b1') == 'b1 b2 b3 c1 c2 c3'
        assert nine.alive('a1') == ALL
        nine.run(TIMING.gone_timeout)
        assert nine.alive('a1') == 'a1 a2 a3'
        nine.network.heal()
        nine.run(4)
        assert nine.views() == {ALL}
        assert {nine.routable(name) for name in nine.detectors} == {ALL}

    def test_one_way_failure_stops_routing_both_ways(
        self, nine: Deployment
    ) -> None:
        nine.network.cut('a1', 'a2')
        nine.run(TIMING.acknowledgement_timeout + 2)
        assert 'a2' not in nine.routable('a1')
        assert 'a1' not in nine.routable('a2')
        assert nine.routable('b1') == ALL

    def test_suspicion_of_partitioned_pair_is_refuted(
        self, nine: Deployment
    ) -> None:
        nine.network.partition('a1', 'a2')
        nine.run(TIMING.gone_timeout * 3)
        assert nine.views() == {ALL}
        assert 'a2' not in nine.routable('a1')
        views = [
            event
            for name, event in nine.events
            if name == 'c1' and isinstance(event, ViewChanged)
        ]
        assert all(len(event.alive) == 9 for event in views[-8:])

    def test_own_pause_removes_no_peer(self, nine: Deployment) -> None:
        nine.paused.add('a1')
        nine.run(TIMING.gone_timeout * 2)
        assert nine.alive('b1') == ALL[3:]
        nine.paused.clear()
        nine.events.clear()
        nine.run(STEP)
        assert nine.alive('a1') == ALL
        nine.run(3)
        assert nine.views() == {ALL}
        assert {nine.routable(name) for name in nine.detectors} == {ALL}

    def test_own_pause_does_not_restore_crashed_peer(
        self,
        nine: Deployment,
    ) -> None:
        nine.kill('a2')
        nine.run(TIMING.suspect_timeout + 1)
        nine.paused.add('a1')
        nine.run(TIMING.suspect_timeout * 3)
        nine.paused.clear()
        nine.run(STEP)
        assert 'a2' not in nine.routable('a1')

    # A pause of the own process shorter than the suspect time-out counted as
    # silence of a peer.  The peer was removed although its refutation had
    # arrived during the pause and only hadn't been read yet.
    def test_short_own_pause_removes_no_peer(self) -> None:
        detector = Membership(make_instance('a1', 1), make_instances(1, 2))
        heartbeat = Heartbeat(1, 0, False, 1, 0, b'', Summary())
        detector.tick(now=0)
        detector.receive(InstanceId('a2'), heartbeat, now=0)
        paused_at = TIMING.gone_timeout - TIMING.interval - STEP
        for step in range(1, int(paused_at / STEP) + 1):
            detector.tick(now=step * STEP)
        suspect = detector.record_of(InstanceId('a2'))
        assert suspect is not None
        assert suspect.standing is Standing.suspect
        detector.tick(now=paused_at + TIMING.suspect_timeout)
        assert [item.instance for item in detector.alive] == ['a1', 'a2']

    # If late ticks were discounted in full, an instance whose ticks are always
    # late would never detect a crash.
    def test_late_ticks_detect_crash(self) -> None:
        detector = Membership(make_instance('a1', 1), make_instances(1, 2))
        heartbeat = Heartbeat(1, 0, False, 1, 0, b'', Summary())
        detector.tick(now=0)
        detector.receive(InstanceId('a2'), heartbeat, now=0)
        late = TIMING.suspect_timeout
        ticks = int(TIMING.gone_timeout / TIMING.interval) + 2
        for tick in range(1, ticks + 1):
            detector.tick(now=tick * late)
        assert [item.instance for item in detector.alive] == ['a1']

    def test_starting_instance_suspects_no_peer(self, nine: Deployment) -> None:
        nine.kill('a1')
        nine.events.clear()
        nine.start('a1', incarnation=2)
        nine.run(3)
        routable = [
            {peer.instance for peer in event.routable}
            for name, event in nine.events
            if name == 'b3' and isinstance(event, ViewChanged)
        ]
        assert all(len(instances) >= 8 for instances in routable)

    def test_lost_records_are_sent_again(self, nine: Deployment) -> None:
        nine.network.loss = 0.3
        nine.kill('c3')
        nine.run(TIMING.gone_timeout * 2)
        nine.network.loss = 0
        nine.run(5)
        assert nine.views() == {ALL[:-3]}


class TestLeaving:
    """A graceful shutdown stops routing, then removes the instance."""

    def test_leaving_stops_routing(self, nine: Deployment) -> None:
        nine.apply('b2', nine.detectors['b2'].leave(now=nine.now), nine.now)
        nine.run(1)
        assert all('b2' not in nine.routable(name) for name in nine.detectors)
        assert nine.views() == {ALL}
        nine.run(TIMING.gone_timeout * 2)
        assert nine.views() == {ALL}
        nine.kill('b2')
        nine.run(TIMING.gone_timeout + 2)
        assert nine.views() == {ALL.replace('b2 ', '')}

    def test_suspicion_does_not_override_leaving(
        self, nine: Deployment
    ) -> None:
        nine.apply('b2', nine.detectors['b2'].leave(now=nine.now), nine.now)
        nine.paused.add('b2')
        nine.run(TIMING.suspect_timeout + 1)
        nine.paused.clear()
        nine.run(2)
        assert nine.record('a1', 'b2').standing is Standing.leaving


class TestGraph:
    """The graph of neighbours is symmetric, connected and sparse."""

    @pytest.mark.parametrize(
        ('zones', 'per_zone', 'bound'),
        [(1, 1, 0), (1, 9, 8), (3, 3, 4), (3, 100, 14), (12, 25, 18)],
    )
    def test_symmetric_connected_bounded(
        self,
        zones: int,
        per_zone: int,
        bound: int,
    ) -> None:
        peers = make_instances(zones, per_zone)
        graph = {
            peer.instance: neighbours(peer, peers, cross_zone_links=1)
            for peer in peers
        }
        edges = {(near, far) for near in graph for far in graph[near]}
        assert edges == {(far, near) for near, far in edges}
        assert max(map(len, graph.values())) <= bound
        reached = {peers[0].instance}
        frontier = set(reached)
        while frontier:
            frontier = {far for near in frontier for far in graph[near]}
            frontier -= reached
            reached |= frontier
        assert reached == set(graph)

    def test_uneven_zones_are_symmetric(self) -> None:
        peers = [make_instance(name) for name in 'a1 b1 b2 b3 c1 c2'.split()]
        graph = {
            peer.instance: neighbours(peer, peers, cross_zone_links=1)
            for peer in peers
        }
        edges = {(near, far) for near in graph for far in graph[near]}
        assert edges == {(far, near) for near, far in edges}
