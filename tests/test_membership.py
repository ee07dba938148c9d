"""The failure detector over an in-memory network."""

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

    def __init__(self, instances: Sequence[Instance], *, relays: int) -> None:
        self.network = FakeNetwork()
        self.instances = {item.instance: item for item in instances}
        self.relays = relays
        self.parts: dict[str, Membership] = {}
        self.asleep: set[str] = set()
        self.events: list[tuple[str, Any]] = []
        self.now: float = 0
        for name in sorted(self.instances):
            self.start(name, incarnation=1)

    def start(self, name: str, *, incarnation: int) -> None:
        own = make_instance(name, incarnation)
        peers = tuple(self.instances.values())
        self.parts[name] = Membership(own, peers, relays=self.relays)

    def kill(self, name: str) -> None:
        self.parts.pop(name)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += STEP
            self.network.deliver(self.now, self.receive)
            for name, part in self.parts.items():
                if name not in self.asleep:
                    self.apply(name, part.tick(now=self.now), self.now)

    def receive(self, sender: str, to: str, message: Any, now: float) -> None:
        part = self.parts.get(to)
        if part is not None and to not in self.asleep:
            effects = part.receive(InstanceId(sender), message, now=now)
            self.apply(to, effects, now)

    def apply(self, name: str, effects: Sequence[Any], now: float) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(name, effect.to, effect.message, now)
            else:
                self.events.append((name, effect))

    def routable(self, name: str) -> str:
        return ' '.join(item.instance for item in self.parts[name].routable)

    def alive(self, name: str) -> str:
        return ' '.join(item.instance for item in self.parts[name].alive)

    def record(self, name: str, of: str) -> Record:
        found = self.parts[name].record_of(InstanceId(of))
        assert found is not None
        return found

    def views(self) -> set[str]:
        return {self.alive(name) for name in self.parts}


ALL = 'a1 a2 a3 b1 b2 b3 c1 c2 c3'


@pytest.fixture(params=[0, 1], ids=['mesh', 'sparse'])
def nine(request: pytest.FixtureRequest) -> Deployment:
    deployment = Deployment(make_instances(3, 3), relays=request.param)
    deployment.run(3)
    return deployment


class TestCalm:
    """Nothing fails."""

    def test_all_know_all(self, nine: Deployment) -> None:
        assert nine.views() == {ALL}
        assert nine.routable('b2') == ALL
        assert nine.parts['a1'].all_neighbours_seen
        assert nine.parts['a1'].zone_of(InstanceId('c2')) == 'c'

    def test_no_change_and_no_records_at_rest(self, nine: Deployment) -> None:
        nine.events.clear()
        before = nine.network.frames
        nine.run(20)
        degree = len(nine.parts['a1'].neighbours)
        assert not nine.events
        assert nine.network.frames - before == 20 * 9 * degree

    def test_summary_reaches_neighbours(self, nine: Deployment) -> None:
        summary = Summary(7, b'12345678', 3, b'load')
        nine.parts['a1'].advertise(summary)
        nine.run(2)
        told = {
            name
            for name, event in nine.events
            if isinstance(event, PeerSummary) and event.summary == summary
        }
        assert told == set(nine.parts['a1'].neighbours)

    def test_strangers_and_other_messages_are_dropped(self) -> None:
        part = Membership(make_instance('a1', 1), make_instances(1, 2))
        part.tick(now=0)
        beat = Heartbeat(1, 0, False, 1, 0, b'', Summary())
        assert not part.receive(InstanceId('zz'), beat, now=0)
        assert not part.receive(InstanceId('a2'), 'noise', now=0)
        assert [item.instance for item in part.alive] == ['a1']


class TestDeath:
    """An instance falls silent for good."""

    def test_eager_stops_routing_patient_removes(
        self,
        nine: Deployment,
    ) -> None:
        nine.kill('c3')
        nine.run(TIMING.eager + 1)
        assert {nine.routable(name) for name in nine.parts} == {ALL[:-3]}
        assert nine.views() == {ALL}
        nine.run(TIMING.patient)
        assert nine.views() == {ALL[:-3]}

    def test_lost_link_stops_routing_at_once(self, nine: Deployment) -> None:
        nine.kill('a2')
        part = nine.parts['a1']
        part.link_lost(InstanceId('a2'), now=nine.now)
        assert 'a2' not in nine.routable('a1')

    def test_lost_link_alone_is_refuted(self, nine: Deployment) -> None:
        effects = nine.parts['a1'].link_lost(InstanceId('a2'), now=nine.now)
        nine.apply('a1', effects, nine.now)
        nine.run(2)
        assert {nine.routable(name) for name in nine.parts} == {ALL}

    def test_restart_replaces_at_once(self, nine: Deployment) -> None:
        nine.kill('b1')
        nine.run(1)
        nine.start('b1', incarnation=2)
        nine.run(1)
        assert {
            nine.record(name, 'b1').incarnation for name in ALL.split()
        } == {2}
        nine.run(2)
        assert {nine.routable(name) for name in nine.parts} == {ALL}

    def test_late_heartbeat_of_old_incarnation(self, nine: Deployment) -> None:
        nine.kill('b1')
        nine.start('b1', incarnation=2)
        nine.run(2)
        beat = Heartbeat(1, 9, False, 99, 0, b'', Summary())
        nine.parts['a1'].receive(InstanceId('b1'), beat, now=nine.now)
        assert nine.record('a1', 'b1').incarnation == 2

    def test_old_incarnation_is_superseded(self, nine: Deployment) -> None:
        old = nine.parts['b1']
        nine.start('b1', incarnation=2)
        nine.run(2)
        records = Records((nine.record('a1', 'b1'),))
        effects = old.receive(InstanceId('a1'), records, now=nine.now)
        assert Superseded(2) in effects


class TestCuts:
    """Partitions, whole and one way."""

    def test_zone_cut_and_healing(self, nine: Deployment) -> None:
        nine.network.part('a1 a2 a3', 'b1 b2 b3 c1 c2 c3')
        nine.run(TIMING.eager + 1)
        assert nine.routable('a1') == 'a1 a2 a3'
        assert nine.routable('b1') == 'b1 b2 b3 c1 c2 c3'
        assert nine.alive('a1') == ALL
        nine.run(TIMING.patient)
        assert nine.alive('a1') == 'a1 a2 a3'
        nine.network.heal()
        nine.run(4)
        assert nine.views() == {ALL}
        assert {nine.routable(name) for name in nine.parts} == {ALL}

    def test_one_way_cut_counts_on_both_sides(self, nine: Deployment) -> None:
        nine.network.cut('a1', 'a2')
        nine.run(TIMING.acknowledgement_timeout + 2)
        assert 'a2' not in nine.routable('a1')
        assert 'a1' not in nine.routable('a2')
        assert nine.routable('b1') == ALL

    def test_pair_cut_is_refuted_to_the_rest(self, nine: Deployment) -> None:
        nine.network.part('a1', 'a2')
        nine.run(TIMING.patient * 3)
        assert nine.views() == {ALL}
        assert 'a2' not in nine.routable('a1')
        refuted = [
            event
            for name, event in nine.events
            if name == 'c1' and isinstance(event, ViewChanged)
        ]
        assert all(len(event.alive) == 9 for event in refuted[-8:])

    def test_own_pause_blames_nobody(self, nine: Deployment) -> None:
        nine.asleep.add('a1')
        nine.run(TIMING.patient * 2)
        assert nine.alive('b1') == ALL[3:]
        nine.asleep.clear()
        nine.events.clear()
        nine.run(STEP)
        assert nine.alive('a1') == ALL
        nine.run(3)
        assert nine.views() == {ALL}
        assert {nine.routable(name) for name in nine.parts} == {ALL}

    def test_own_pause_does_not_revive_the_dead(
        self,
        nine: Deployment,
    ) -> None:
        nine.kill('a2')
        nine.run(TIMING.eager + 1)
        nine.asleep.add('a1')
        nine.run(TIMING.eager * 3)
        nine.asleep.clear()
        nine.run(STEP)
        assert 'a2' not in nine.routable('a1')

    # An instance removed a live one, whose refutation it had not read yet, as
    # it counted a pause of its own that was shorter than the eager time-out.
    def test_short_own_pause_removes_nobody(self) -> None:
        part = Membership(make_instance('a1', 1), make_instances(1, 2))
        beat = Heartbeat(1, 0, False, 1, 0, b'', Summary())
        part.tick(now=0)
        part.receive(InstanceId('a2'), beat, now=0)
        paused_at = TIMING.patient - TIMING.interval - STEP
        for step in range(1, int(paused_at / STEP) + 1):
            part.tick(now=step * STEP)
        suspect = part.record_of(InstanceId('a2'))
        assert suspect is not None
        assert suspect.standing is Standing.suspect
        part.tick(now=paused_at + TIMING.eager)
        assert [item.instance for item in part.alive] == ['a1', 'a2']

    # Late ticks must not hide a death from an instance that is always late.
    def test_late_ticks_notice_a_death(self) -> None:
        part = Membership(make_instance('a1', 1), make_instances(1, 2))
        beat = Heartbeat(1, 0, False, 1, 0, b'', Summary())
        part.tick(now=0)
        part.receive(InstanceId('a2'), beat, now=0)
        late = TIMING.eager
        ticks = int(TIMING.patient / TIMING.interval) + 2
        for tick in range(1, ticks + 1):
            part.tick(now=tick * late)
        assert [item.instance for item in part.alive] == ['a1']

    def test_start_accuses_nobody(self, nine: Deployment) -> None:
        nine.kill('a1')
        nine.events.clear()
        nine.start('a1', incarnation=2)
        nine.run(3)
        routed = [
            {peer.instance for peer in event.routable}
            for name, event in nine.events
            if name == 'b3' and isinstance(event, ViewChanged)
        ]
        assert all(len(instances) >= 8 for instances in routed)

    def test_lost_news_is_made_up_for(self, nine: Deployment) -> None:
        nine.network.loss = 0.3
        nine.kill('c3')
        nine.run(TIMING.patient * 2)
        nine.network.loss = 0
        nine.run(5)
        assert nine.views() == {ALL[:-3]}


class TestLeaving:
    """A graceful shutdown."""

    def test_leaving_stops_routing(self, nine: Deployment) -> None:
        nine.apply('b2', nine.parts['b2'].leave(now=nine.now), nine.now)
        nine.run(1)
        assert all('b2' not in nine.routable(name) for name in nine.parts)
        assert nine.views() == {ALL}
        nine.run(TIMING.patient * 2)
        assert nine.views() == {ALL}
        nine.kill('b2')
        nine.run(TIMING.patient + 2)
        assert nine.views() == {ALL.replace('b2 ', '')}

    def test_suspicion_does_not_hide_leaving(self, nine: Deployment) -> None:
        nine.apply('b2', nine.parts['b2'].leave(now=nine.now), nine.now)
        nine.asleep.add('b2')
        nine.run(TIMING.eager + 1)
        nine.asleep.clear()
        nine.run(2)
        assert nine.record('a1', 'b2').standing is Standing.leaving


class TestGraph:
    """Who exchanges heartbeats with whom."""

    @pytest.mark.parametrize(
        ('zones', 'each', 'bound'),
        [(1, 1, 0), (1, 9, 8), (3, 3, 4), (3, 100, 14), (12, 25, 18)],
    )
    def test_symmetric_connected_bounded(
        self,
        zones: int,
        each: int,
        bound: int,
    ) -> None:
        peers = make_instances(zones, each)
        graph = {
            peer.instance: neighbours(peer, peers, relays=1) for peer in peers
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
            peer.instance: neighbours(peer, peers, relays=1) for peer in peers
        }
        edges = {(near, far) for near in graph for far in graph[near]}
        assert edges == {(far, near) for near, far in edges}
