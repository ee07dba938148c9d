"""The failure detector under random link failures, pauses and crashes."""

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
    """Injects random faults; once healed, all views must be correct."""

    @initialize(cross_zone_links=st.sampled_from([0, 1]))
    def begin(self, cross_zone_links: int) -> None:
        self.deployment = Deployment(
            INSTANCES, cross_zone_links=cross_zone_links
        )
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.leaving: set[str] = set()

    @rule(seconds=st.sampled_from([0.25, 1, 4, 40]))
    def wait(self, seconds: float) -> None:
        self.deployment.run(seconds)

    @rule(name=names)
    def kill(self, name: str) -> None:
        self.deployment.detectors.pop(name, None)
        self.deployment.paused.discard(name)

    @rule(name=names)
    def restart(self, name: str) -> None:
        self.kill(name)
        self.leaving.discard(name)
        self.incarnations[name] += 1
        self.deployment.start(name, incarnation=self.incarnations[name])

    @rule(name=names)
    def leave(self, name: str) -> None:
        detector = self.deployment.detectors.get(name)
        if detector is not None and name not in self.deployment.paused:
            self.leaving.add(name)
            now = self.deployment.now
            self.deployment.apply(name, detector.leave(now=now), now)

    @rule(name=names)
    def pause(self, name: str) -> None:
        if name in self.deployment.detectors:
            self.deployment.paused.add(name)

    @rule()
    def resume(self) -> None:
        self.deployment.paused.clear()

    @rule(sender=names, to=names)
    def cut(self, sender: str, to: str) -> None:
        self.deployment.network.cut(sender, to)

    @rule(loss=st.sampled_from([0, 0.3]), copies=st.sampled_from([0, 0.3]))
    def set_fault_rates(self, loss: float, copies: float) -> None:
        self.deployment.network.loss = loss
        self.deployment.network.copies = copies

    @rule()
    def heal(self) -> None:
        """Once all faults have ended, each view has to become correct."""
        self.resume()
        self.deployment.network.heal()
        self.set_fault_rates(0, 0)
        self.deployment.run(2 * TIMING.gone_timeout + 5)
        running = sorted(self.deployment.detectors)
        routable = [name for name in running if name not in self.leaving]
        for name in running:
            assert self.deployment.alive(name).split() == running
            assert self.deployment.routable(name).split() == routable

    @invariant()
    def known_incarnations_were_started(self) -> None:
        for detector in self.deployment.detectors.values():
            for peer in INSTANCES:
                record = detector.record_of(peer.instance)
                if record is not None:
                    latest = self.incarnations[peer.instance]
                    assert record.incarnation <= latest

    @invariant()
    def routable_are_alive_and_not_leaving(self) -> None:
        for detector in self.deployment.detectors.values():
            assert set(detector.routable) <= set(detector.alive)
            for peer in detector.routable:
                record = detector.record_of(peer.instance)
                assert record is not None
                assert record.standing in {Standing.alive, Standing.suspect}


class TestMembershipFuzz:
    """Runs the state machine with the same examples each time."""

    def test_state_machine(self) -> None:
        run_state_machine_as_test(
            MembershipMachine,
            settings=settings(
                max_examples=10,
                stateful_step_count=20,
                derandomize=True,
                deadline=None,
            ),
        )
