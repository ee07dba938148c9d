"""Tests of slot leases between instances, and of failures."""

from collections import deque

from cuminstack import wire
from cuminstack.core import EndpointState, InstanceId
from cuminstack.slots import (
    Claim,
    Claimed,
    EndpointSlots,
    Grant,
    Hint,
    LeasePolicy,
    MemberTerms,
    Preference,
    SlotRequest,
)
from slots_fixtures import BESTELL_DIENST, endpoint, instance, tasks_of
from slots_network import Network

_ZONES = ('telavi', 'gurjaani', 'sighnaghi')


def _network(instances: int = 3, endpoints: int = 3, slots: int = 4) -> Network:
    network = Network(
        [
            instance(f'i{number}', _ZONES[number % 3])
            for number in range(instances)
        ],
        [
            endpoint(f'e{number}', _ZONES[number % 3], slots=slots)
            for number in range(endpoints)
        ],
    )
    network.boot()
    network.deliver()
    return network


def _id(name: str) -> InstanceId:
    return InstanceId(name)


def _free(network: Network) -> int:
    return sum(
        network.policies[own].free_slots for own in network.live_instances()
    )


class TestBorrowing:
    """A job uses free slots wherever they are leased."""

    def test_own_slots_need_no_message(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 4))
        assert len(network.running) == 4
        assert not any(network.links.values())

    def test_all_slots_of_all_zones_serve_one_job(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 12))
        network.deliver()
        assert len(network.running) == 12
        assert network.refusals == 0

    def test_freed_slots_go_to_waiting_instance(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 12))
        network.deliver()
        network.submit(_id('i1'), tasks_of('k', 5))
        network.deliver()
        network.end_all()
        network.deliver()
        assert len(network.running) == 5
        assert network.refusals == 0

    def test_lease_is_used_again_with_no_message(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 12))
        network.deliver()
        network.end_all()
        network.submit(_id('i0'), tasks_of('k', 12))
        assert len(network.running) == 12
        assert not any(network.links.values())

    def test_idle_leases_go_back_to_their_owners(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 12))
        network.deliver()
        network.end_all()
        network.step(12)
        counts = [network.policies[own].free_slots for own in network.policies]
        assert counts == [4, 4, 4]

    def test_connections_are_leased_with_slots(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 6))
        network.deliver()
        for record in network.endpoints:
            limits = [
                policy.connection_limit(record.endpoint)
                for policy in network.policies.values()
            ]
            assert sum(limits) == record.connections

    def test_withdrawn_burst_costs_one_message_a_peer(self) -> None:
        network = _network()
        tasks = tasks_of('j', 1800)
        network.submit(_id('i0'), tasks)
        network.deliver()
        policy = network.policies[_id('i0')]
        waiting = [task.task for task in tasks[12:]]
        sent = policy.withdraw(waiting, now=network.now)
        assert len(sent) == 2
        assert not policy.withdraw(waiting, now=network.now)
        network.perform(_id('i0'), sent)
        network.deliver()
        network.end_all()
        network.deliver()
        assert sum(network.starts.values()) == 12

    def test_messages_survive_encoding(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 30))
        kinds: set[type] = set()
        for _ in range(400):
            network.now += 0.025
            for own, policy in network.policies.items():
                network.perform(own, policy.tick(now=network.now))
            for link in network.links.values():
                link_copy = [wire.decode(wire.encode(each)) for each in link]
                assert link_copy == list(link)
                kinds.update(type(each) for each in link)
            network.end_all()
            network.deliver(1)
        assert kinds >= {SlotRequest, Grant, Claim, Claimed}


class TestFaults:
    """Leases recover, and endpoints aren't overloaded if views agree."""

    def test_owner_killed(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 12))
        network.deliver()
        network.down.add(_id('i1'))
        network.share_view()
        network.end_all()
        network.submit(_id('i2'), tasks_of('k', 30))
        network.step(2)
        assert len(network.running) == 12
        assert network.refusals == 0

    def test_borrower_killed(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 12))
        network.deliver()
        network.down.add(_id('i0'))
        network.share_view()
        network.end_all()
        network.submit(_id('i2'), tasks_of('k', 30))
        network.step(3)
        assert len(network.running) == 12

    def test_owner_paused_and_continued(self) -> None:
        network = _network()
        network.submit(_id('i2'), tasks_of('j', 12))
        network.deliver()
        network.end_all()
        network.down.add(_id('i0'))
        network.share_view()
        network.submit(_id('i1'), tasks_of('k', 12))
        network.step(5)
        network.down.clear()
        network.submit(_id('i0'), tasks_of('l', 12))
        assert network.refusals == 0
        network.share_view()
        network.drain()
        assert not network.unfinished_tasks()
        assert max(network.starts.values()) == 1

    def test_split_views_are_safe_and_recover(self) -> None:
        network = _network()
        sides = {_id('i0'): 0, _id('i1'): 1, _id('i2'): 1}
        network.is_cut = lambda one, two: sides[one] != sides[two]
        for own in network.policies:
            near = [
                peer
                for peer in network.peers
                if sides[peer.instance] == sides[own]
            ]
            network.view(own, near)
        network.step(2)
        for own in network.policies:
            network.submit(own, tasks_of(own, 20))
        network.step(2)
        assert max(network.peak_load.values()) <= 4
        network.is_cut = lambda one, two: False
        network.share_view()
        network.drain()
        assert not network.unfinished_tasks()
        network.step(25)
        assert _free(network) == 12

    def test_instances_that_boot_alone_converge(self) -> None:
        network = _network()
        network.policies = {
            own.instance: LeasePolicy(own, 1) for own in network.peers
        }
        network.links.clear()
        for record in network.endpoints:
            network.announce(record)
        assert _free(network) == 36
        network.share_view()
        network.step(1)
        assert _free(network) == 12
        network.submit(_id('i0'), tasks_of('j', 30))
        network.drain()
        assert network.refusals == 0
        assert not network.unfinished_tasks()

    def test_zone_without_instance(self) -> None:
        network = _network(instances=2)
        network.submit(_id('i1'), tasks_of('j', 12))
        network.deliver()
        assert len(network.running) == 12

    def test_lost_grant_is_reissued(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 12))
        network.deliver(2)
        sent = [message for link in network.links.values() for message in link]
        assert any(isinstance(each, Grant) and each.slots for each in sent)
        network.links.clear()
        network.step(1)
        network.end_all()
        network.step(16)
        network.end_all()
        network.step(16)
        assert _free(network) == 12
        assert not network.unfinished_tasks()

    def test_overstated_slots_cost_few_refusals(self) -> None:
        network = _network(instances=1, endpoints=2)
        network.capacity = {record.endpoint: 4 for record in network.endpoints}
        network.capacity[network.endpoints[0].endpoint] = 1
        network.submit(_id('i0'), tasks_of('j', 40))
        network.step(4)
        assert network.refusals < 40
        network.drain()
        assert not network.unfinished_tasks()

    def test_leaving_instance_hands_over(self) -> None:
        network = _network()
        policy = network.policies[_id('i0')]
        network.perform(_id('i0'), policy.leaving(now=network.now))
        network.step(0.2)
        assert policy.free_slots == 0
        assert _free(network) == 12

    def test_leaving_endpoint_gets_nothing(self) -> None:
        network = _network()
        gone = endpoint(
            'e1',
            _ZONES[1],
            slots=4,
            state=EndpointState.leaving,
        )
        network.announce(gone)
        network.submit(_id('i0'), tasks_of('j', 20))
        network.deliver()
        assert network.load(gone.endpoint) == 0

    def test_shrunk_endpoint_gets_no_more_than_it_has(self) -> None:
        network = _network()
        network.announce(endpoint('e1', _ZONES[1], slots=1))
        network.submit(_id('i0'), tasks_of('j', 20))
        network.deliver()
        assert network.load(network.endpoints[1].endpoint) == 1

    def test_endpoint_forgotten_by_all(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('j', 20))
        network.deliver()
        for own, policy in network.policies.items():
            effects = policy.forget_endpoint(
                network.endpoints[0].endpoint,
                now=network.now,
            )
            network.perform(own, effects)
        network.drain()
        assert not network.unfinished_tasks()

    def test_limited_endpoint(self) -> None:
        network = _network(instances=1, endpoints=1)
        policy = network.policies[_id('i0')]
        place = network.endpoints[0].endpoint
        policy.limit_endpoint(place, 0, now=0)
        network.submit(_id('i0'), tasks_of('j', 9))
        assert not network.running
        network.perform(_id('i0'), policy.limit_endpoint(place, 1, now=0))
        assert len(network.running) == 1
        network.perform(_id('i0'), policy.limit_endpoint(place, None, now=0))
        assert len(network.running) == 4


class TestShares:
    """Division of freed slots among members."""

    def test_backlog_leaves_other_member_its_share(self) -> None:
        network = _network()
        network.submit(_id('i0'), tasks_of('rush', 400))
        network.deliver()
        network.submit(_id('i2'), tasks_of('quote', 4, BESTELL_DIENST))
        network.step(0.1)
        network.end_all()
        network.deliver()
        members = [task.job.member for task in network.running]
        assert members.count(BESTELL_DIENST.member) == 4
        assert len(members) == 12

    def test_cap_holds_and_others_get_the_rest(self) -> None:
        network = _network(instances=1)
        policy = network.policies[_id('i0')]
        terms = {'tkemali': MemberTerms(max_slots=3)}
        policy.apply_terms(terms, now=0)
        network.submit(_id('i0'), tasks_of('j', 20))
        assert len(network.running) == 3
        network.submit(_id('i0'), tasks_of('k', 20, BESTELL_DIENST))
        assert len(network.running) == 12

    def test_cap_holds_over_instances(self) -> None:
        network = _network()
        terms = {'tkemali': MemberTerms(max_slots=6)}
        for policy in network.policies.values():
            policy.apply_terms(terms, now=0)
        network.submit(_id('i0'), tasks_of('j', 4))
        seen = network.policies[_id('i1')]
        summary = network.policies[_id('i0')].summary
        seen.observe_summary(_id('i0'), summary, now=0)
        network.submit(_id('i1'), tasks_of('k', 4))
        assert len(network.running) == 6

    def test_preference_for_fewer_messages(self) -> None:
        sent = {}
        for preference in Preference:
            network = _network(instances=9, endpoints=9)
            terms = {'tkemali': MemberTerms(preference=preference)}
            for policy in network.policies.values():
                policy.apply_terms(terms, now=0)
            network.submit(_id('i0'), tasks_of('j', 36))
            network.deliver()
            network.submit(_id('i1'), tasks_of('k', 1))
            network.step(0.1)
            network.end_all()
            network.deliver()
            assert network.policies[_id('i1')].summary.busy == 1
            sent[preference] = network.delivered
        assert sent[Preference.waste] < sent[Preference.response]

    def test_hint_directs_request_to_most_free(self) -> None:
        network = _network(instances=9, endpoints=9)
        policy = network.policies[_id('i0')]
        policy.observe_hint(_id('i7'), 40, now=0)
        network.submit(_id('i0'), tasks_of('j', 40))
        asked = [to for (_, to), link in network.links.items() if link]
        assert asked[0] == 'i7'


class TestMalformedMessages:
    """Messages of a faulty peer are ignored."""

    def test_unknown_slots_are_ignored(self) -> None:
        network = _network()
        policy = network.policies[_id('i0')]
        strange = (
            EndpointSlots(endpoint('nowhere').endpoint, (0,), (1,)),
            EndpointSlots(network.endpoints[0].endpoint, (99, -1), (1, 1)),
        )
        before = policy.free_slots
        hints = (Hint(_id('i1'), -5, -5, -1),)
        policy.receive(_id('i1'), Grant(None, strange, hints), now=0)
        policy.receive(_id('i1'), Claim(1, strange), now=0)
        policy.receive(_id('i1'), Claimed(77, strange), now=0)
        policy.receive(_id('i1'), 'nonsense', now=0)
        assert policy.free_slots == before
        network.links = {key: deque() for key in network.links}
