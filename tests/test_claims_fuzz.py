"""Stateful tests of claims under delays, losses, partitions and restarts."""

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cuminstack.claims import AlreadyClaimed, Claimed, ClaimView, NoMajority
from cuminstack.core import JobId
from fakes_claims import ClaimDeployment, make_job
from fakes_network import make_instance, make_instances

VIEW = ClaimView(1, make_instances(3, 2))
NAMES = tuple(str(instance.instance) for instance in VIEW.instances)
ADDED_NAMES = ('a3', 'b3', 'c3')
JOINT = ClaimView(
    2,
    tuple(make_instance(name) for name in ('a1', 'b1', 'c1', *ADDED_NAMES)),
    VIEW.instances,
)
KEYS = ('j1', 'j2', 'j3', 'j4')

names = st.sampled_from(NAMES)
keys = st.sampled_from(KEYS)


class ClaimsMachine(RuleBasedStateMachine):
    """Applies arbitrary operations and faults, and checks all results."""

    def __init__(self) -> None:
        super().__init__()
        self.deployment = ClaimDeployment(VIEW, seed=1)
        self.restart_view = VIEW
        self.asked: dict[tuple[str, JobId], bytes] = {}
        self.holders: dict[JobId, tuple[str, int]] = {}
        self.checked = 0

    @rule(name=names, key=keys, digest=st.sampled_from([b'1', b'2']))
    def claim(self, name: str, key: str, digest: bytes) -> None:
        job = make_job(key)
        running = self.asked.setdefault((name, job), digest)
        result_count = len(self.deployment.results)
        self.deployment.claim(name, key, digest)
        if running != digest:
            assert self.deployment.results.pop(result_count) == (
                name,
                NoMajority(job, ()),
            )

    @rule(racers=st.lists(names, min_size=2, max_size=3), key=keys)
    def race(self, racers: list[str], key: str) -> None:
        for name in racers:
            self.claim(name, key, b'1')

    @rule(claimant=names, key=keys, reached=names)
    def claim_at_one_replica(
        self,
        claimant: str,
        key: str,
        reached: str,
    ) -> None:
        network = self.deployment.network
        before = set(network.cuts)
        network.cut(claimant, ' '.join(set(NAMES) - {reached}))
        self.claim(claimant, key, b'1')
        network.cuts = before

    @rule(name=names, key=keys)
    def finish(self, name: str, key: str) -> None:
        self.deployment.finish(name, key)

    @rule(milliseconds=st.sampled_from([1, 3, 10, 100, 1100]))
    def wait(self, milliseconds: int) -> None:
        step = 0.001 if milliseconds < 10 else 0.02
        self.deployment.run(milliseconds / 1000, step=step)

    @rule(name=names)
    def restart(self, name: str) -> None:
        self.deployment.kill(name)
        self.deployment.start(name, self.restart_view)
        for asked in tuple(self.asked):
            if asked[0] == name:
                self.asked.pop(asked)

    @rule(sender=names, to=names)
    def cut(self, sender: str, to: str) -> None:
        self.deployment.network.cut(sender, to)

    @rule()
    def heal(self) -> None:
        self.deployment.network.heal()

    @rule(
        jitter=st.sampled_from([0, 0.01, 0.5]),
        loss=st.sampled_from([0, 0.2]),
        copies=st.sampled_from([0, 0.3]),
    )
    def set_network_faults(
        self,
        jitter: float,
        loss: float,
        copies: float,
    ) -> None:
        network = self.deployment.network
        network.jitter = jitter
        network.loss = loss
        network.copies = copies

    @invariant()
    def granted_once_and_only_when_asked(self) -> None:
        self.deployment.check_granted_once()
        for name, effect in self.deployment.results[self.checked :]:
            self.check_result(name, effect)
        self.checked = len(self.deployment.results)

    def check_result(self, name: str, effect: Any) -> None:
        self.asked.pop((name, effect.job))
        if isinstance(effect, Claimed):
            incarnation = self.deployment.incarnations[name]
            self.check_holder(effect.job, (name, incarnation))
        if isinstance(effect, AlreadyClaimed):
            self.check_holder(effect.job, (effect.holder, effect.incarnation))

    def check_holder(self, job: JobId, holder: tuple[str, int]) -> None:
        assert self.holders.setdefault(job, holder) == holder


class JointMachine(ClaimsMachine):
    """The same during a view change: instances restart into the joint view."""

    def __init__(self) -> None:
        super().__init__()
        self.restart_view = JOINT
        for name in ADDED_NAMES:
            self.deployment.start(name, JOINT)
            self.deployment.services[name].assume_fresh()

    @rule(name=st.sampled_from(ADDED_NAMES), key=keys)
    def claim_at_added_instance(self, name: str, key: str) -> None:
        self.claim(name, key, b'1')


class TestClaimsFuzz:
    """Runs the state machines with the same examples each time."""

    @pytest.mark.parametrize('machine', [ClaimsMachine, JointMachine])
    def test_machine(self, machine: type[ClaimsMachine]) -> None:
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=60,
                stateful_step_count=40,
                derandomize=True,
                deadline=None,
            ),
        )
