"""The failure detector under arbitrary cuts, losses, pauses and deaths."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cuminstack.membership import Standing
from fakes_network import make_instances
from test_membership import TIMING, Deployment

INSTANCES = make_instances(2, 3)
NAMES = tuple(str(instance.instance) for instance in INSTANCES)

names = st.sampled_from(NAMES)


class MembershipMachine(RuleBasedStateMachine):
    """Does anything to a deployment, then lets it rest and compares."""

    @initialize(relays=st.sampled_from([0, 1]))
    def begin(self, relays: int) -> None:
        self.deployment = Deployment(INSTANCES, relays=relays)
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.leaving: set[str] = set()

    @rule(seconds=st.sampled_from([0.25, 1, 4, 40]))
    def wait(self, seconds: float) -> None:
        self.deployment.run(seconds)

    @rule(name=names)
    def kill(self, name: str) -> None:
        self.deployment.parts.pop(name, None)
        self.deployment.asleep.discard(name)

    @rule(name=names)
    def restart(self, name: str) -> None:
        self.kill(name)
        self.leaving.discard(name)
        self.incarnations[name] += 1
        self.deployment.start(name, incarnation=self.incarnations[name])

    @rule(name=names)
    def leave(self, name: str) -> None:
        part = self.deployment.parts.get(name)
        if part is not None and name not in self.deployment.asleep:
            self.leaving.add(name)
            now = self.deployment.now
            self.deployment.apply(name, part.leave(now=now), now)

    @rule(name=names)
    def pause(self, name: str) -> None:
        if name in self.deployment.parts:
            self.deployment.asleep.add(name)

    @rule()
    def wake(self) -> None:
        self.deployment.asleep.clear()

    @rule(sender=names, to=names)
    def cut(self, sender: str, to: str) -> None:
        self.deployment.network.cut(sender, to)

    @rule(loss=st.sampled_from([0, 0.3]), copies=st.sampled_from([0, 0.3]))
    def weather(self, loss: float, copies: float) -> None:
        self.deployment.network.loss = loss
        self.deployment.network.copies = copies

    @rule()
    def rest(self) -> None:
        """After all is well for long, each knows just what is true."""
        self.wake()
        self.deployment.network.heal()
        self.weather(0, 0)
        self.deployment.run(2 * TIMING.patient + 5)
        living = sorted(self.deployment.parts)
        routable = [name for name in living if name not in self.leaving]
        for name in living:
            assert self.deployment.alive(name).split() == living
            assert self.deployment.routable(name).split() == routable

    @invariant()
    def incarnations_never_exceed_the_true_ones(self) -> None:
        for part in self.deployment.parts.values():
            for name in INSTANCES:
                record = part.record_of(name.instance)
                if record is not None:
                    latest = self.incarnations[name.instance]
                    assert record.incarnation <= latest

    @invariant()
    def routable_are_alive_and_open(self) -> None:
        for part in self.deployment.parts.values():
            assert set(part.routable) <= set(part.alive)
            for peer in part.routable:
                record = part.record_of(peer.instance)
                assert record is not None
                assert record.standing in {Standing.alive, Standing.suspect}


class TestMembershipFuzz:
    """Runs the machine; the examples are the same each time."""

    def test_machine(self) -> None:
        run_state_machine_as_test(
            MembershipMachine,
            settings=settings(
                max_examples=10,
                stateful_step_count=20,
                derandomize=True,
                deadline=None,
            ),
        )
