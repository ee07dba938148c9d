"""Tests of the policies without leases."""

from collections import Counter

import pytest

from cuminstack.core import EndpointState, Needs, Send, TaskId
from cuminstack.slots import (
    EndpointLoad,
    LoadReport,
    MemberTerms,
    Policy,
    QueuedTask,
    make_policy,
)
from slots_fixtures import (
    BESTELL_DIENST,
    endpoint,
    instance,
    starts,
    tasks_of,
)

_NAMES = ('local', 'random', 'round_robin', 'two_choices')


def _single(name: str, slots: int = 8, seed: int = 1) -> Policy:
    policy = make_policy(name, instance('i1'), seed=seed)
    policy.observe_instances([instance('i1')], now=0)
    policy.observe_endpoint(endpoint('e1', slots=slots), now=0)
    return policy


@pytest.mark.parametrize('name', _NAMES)
class TestEveryBaseline:
    """Requirements of every baseline policy, on a single instance."""

    def test_starts_up_to_the_slots(self, name: str) -> None:
        policy = _single(name)
        begun = starts(policy.submit(tasks_of('j', 20), now=0))
        assert [start.task.index for start in begun] == list(range(8))

    def test_freed_slot_goes_to_the_next(self, name: str) -> None:
        policy = _single(name)
        begun = starts(policy.submit(tasks_of('j', 20), now=0))
        more = starts(
            policy.finished(
                begun[0].task,
                begun[0].endpoint,
                started=True,
                now=1,
            ),
        )
        assert [start.task.index for start in more] == [8]

    def test_finished_twice_frees_once(self, name: str) -> None:
        policy = _single(name, slots=1)
        done = starts(policy.submit(tasks_of('j', 9), now=0))[0]
        for _ in range(3):
            policy.finished(done.task, done.endpoint, started=True, now=1)
        assert not starts(policy.tick(now=2))

    def test_withdrawn_is_never_started(self, name: str) -> None:
        policy = _single(name, slots=1)
        tasks = tasks_of('j', 3)
        begun = starts(policy.submit(tasks, now=0))[0]
        policy.withdraw([tasks[1].task], now=0)
        more = starts(
            policy.finished(begun.task, begun.endpoint, started=True, now=1),
        )
        assert [start.task.index for start in more] == [2]

    def test_refused_start_is_not_requeued(self, name: str) -> None:
        policy = _single(name)
        begun = starts(policy.submit(tasks_of('j', 1), now=0))[0]
        policy.finished(begun.task, begun.endpoint, started=False, now=0)
        assert not starts(policy.tick(now=1))

    def test_refusing_endpoint_cools_down(
        self,
        name: str,
    ) -> None:
        policy = _single(name)
        begun = starts(policy.submit(tasks_of('j', 1), now=0))[0]
        policy.finished(begun.task, begun.endpoint, started=False, now=0)
        again = TaskId(begun.task.job, 0, 2)
        retry = [QueuedTask(again, tasks_of('j', 1)[0].service)]
        assert not starts(policy.submit(retry, now=0))
        assert starts(policy.tick(now=0.05))[0].task == again

    def test_unfit_endpoint_gets_nothing(
        self,
        name: str,
    ) -> None:
        policy = _single(name)
        large = QueuedTask(
            tasks_of('j', 1)[0].task,
            BESTELL_DIENST,
            Needs(processors=32),
        )
        assert not starts(policy.submit([large], now=0))
        policy.observe_endpoint(
            endpoint('e1', state=EndpointState.leaving),
            now=0,
        )
        assert not starts(policy.submit(tasks_of('k', 1), now=0))

    def test_cap_of_a_member(self, name: str) -> None:
        policy = _single(name)
        policy.apply_terms({'tkemali': MemberTerms(max_slots=3)}, now=0)
        assert len(starts(policy.submit(tasks_of('j', 9), now=0))) == 3

    def test_same_seed_same_choices(self, name: str) -> None:
        chosen = []
        for _ in range(2):
            policy = _single(name, seed=7)
            policy.observe_endpoint(endpoint('e2'), now=0)
            chosen.append(policy.submit(tasks_of('j', 12), now=0))
        assert chosen[0] == chosen[1]


class TestLocal:
    """Equal division of slots among instances."""

    @pytest.mark.parametrize('count', [1, 2, 3, 8, 9, 20])
    def test_parts_add_up_to_the_slots(self, count: int) -> None:
        peers = [instance(f'i{number}') for number in range(count)]
        begun: Counter[str] = Counter()
        for own in peers:
            policy = make_policy('local', own, seed=1)
            policy.observe_instances(peers, now=0)
            for number in range(4):
                policy.observe_endpoint(endpoint(f'e{number}'), now=0)
            tasks = tasks_of(own.instance, 50)
            begun.update(
                start.endpoint for start in starts(policy.submit(tasks, now=0))
            )
        assert set(begun.values()) == {8}


class TestTwoChoices:
    """Choice by the loads that instances report."""

    def test_reports_and_avoids(self) -> None:
        policy = _single('two_choices')
        peers = [instance('i1'), instance('i2')]
        policy.observe_instances(peers, now=0)
        policy.observe_endpoint(endpoint('e2'), now=0)
        busy = LoadReport((EndpointLoad(endpoint('e1').endpoint, 8),))
        policy.receive(peers[1].instance, busy, now=0)
        effects = policy.submit(tasks_of('j', 8), now=0)
        chosen = Counter(start.endpoint for start in starts(effects))
        assert chosen['e2'] > chosen['e1']  # type: ignore[index]
        sent = [
            effect for effect in policy.tick(now=1) if isinstance(effect, Send)
        ]
        assert [effect.to for effect in sent] == ['i2']
