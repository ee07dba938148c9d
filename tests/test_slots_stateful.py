"""Stateful tests of interacting lease policies, against a model."""

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cuminstack.core import TaskId
from slots_fixtures import (
    BESTELL_DIENST,
    ORDER_DESK,
    endpoint,
    instance,
    tasks_of,
)
from slots_network import Network

_ZONES = ('telavi', 'gurjaani')
_SLOTS = 2
_COUNT = 3


class ReliableMachine(RuleBasedStateMachine):
    """Views agree, and messages are delayed but never lost."""

    def __init__(self) -> None:
        super().__init__()
        self.network = Network(
            [
                instance(f'i{number}', _ZONES[number % 2])
                for number in range(_COUNT)
            ],
            [
                endpoint(f'e{number}', _ZONES[number % 2], slots=_SLOTS)
                for number in range(_COUNT)
            ],
        )
        self.jobs = 0
        self.withdrawn: set[tuple[Any, int]] = set()

    @initialize()
    def boot(self) -> None:
        self.network.boot()

    @rule(
        own=st.integers(0, _COUNT - 1),
        count=st.integers(1, 9),
        service=st.sampled_from([ORDER_DESK, BESTELL_DIENST]),
    )
    def submit(self, own: int, count: int, service: Any) -> None:
        name = self.network.peers[own].instance
        if name not in self.network.down:
            self.jobs += 1
            self.network.submit(
                name,
                tasks_of(f'j{self.jobs}', count, service),
            )

    @rule(count=st.integers(1, 4))
    def deliver(self, count: int) -> None:
        self.network.deliver(count)

    @rule(which=st.integers(0, 100))
    def end(self, which: int) -> None:
        running = sorted(self.network.running)
        if running:
            self.network.end(running[which % len(running)])

    @rule(which=st.integers(0, 100))
    def withdraw(self, which: int) -> None:
        waiting = [
            place
            for place in sorted(self.network.tasks)
            if not self.network.starts[place]
        ]
        if waiting:
            place = waiting[which % len(waiting)]
            attempts = [self._attempt(place, number) for number in range(1, 9)]
            for own in self.network.live_instances():
                policy = self.network.policies[own]
                policy.withdraw(attempts, now=self.network.now)
            self.withdrawn.add(place)
            self.network.tasks.pop(place)

    @rule(ticks=st.integers(1, 8))
    def step(self, ticks: int) -> None:
        self.network.step(ticks * 0.05)

    @invariant()
    def starts_once(self) -> None:
        assert all(count == 1 for count in self.network.starts.values())
        assert not self.withdrawn & set(self.network.starts)

    @invariant()
    def slots_hold(self) -> None:
        assert self.network.refusals == 0

    def teardown(self) -> None:
        self.network.drain()
        assert not self.network.unfinished_tasks()

    def _attempt(self, place: tuple[Any, int], attempt: int) -> TaskId:
        job, index = place
        return TaskId(job, index, attempt)


def _all_running(machine: ReliableMachine) -> bool:
    return not machine.network.down


def _one_paused(machine: ReliableMachine) -> bool:
    return bool(machine.network.down)


class FaultyMachine(ReliableMachine):
    """Messages are lost, instances pause, and views differ for a time."""

    @rule(which=st.integers(0, 100))
    def lose(self, which: int) -> None:
        full = [link for link in self.network.links.values() if link]
        if full:
            full[which % len(full)].popleft()

    @precondition(_all_running)
    @rule(which=st.integers(0, _COUNT - 1), noticed=st.booleans())
    def pause(self, which: int, noticed: bool) -> None:
        self.network.down.add(self.network.peers[which].instance)
        if noticed:
            self.network.share_view()

    @precondition(_one_paused)
    @rule(noticed=st.booleans())
    def resume(self, noticed: bool) -> None:
        self.network.down.clear()
        if noticed:
            self.network.share_view()

    @rule(which=st.integers(0, _COUNT - 1))
    def split(self, which: int) -> None:
        own = self.network.peers[which]
        if own.instance not in self.network.down:
            self.network.view(own.instance, [own])

    @invariant()
    def slots_hold(self) -> None:
        assert all(count <= _SLOTS for count in self.network.peak_load.values())

    def teardown(self) -> None:
        self.network.down.clear()
        self.network.share_view()
        super().teardown()


@pytest.mark.parametrize('machine', [ReliableMachine, FaultyMachine])
def test_composed_policies(machine: type[RuleBasedStateMachine]) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=25,
            stateful_step_count=30,
        ),
    )
