"""Claimants and replicas over an in-memory network, with a safety check."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

from cuminstack.claims import (
    AlreadyClaimed,
    Claimed,
    Claims,
    ClaimView,
    Limits,
    NoMajority,
)
from cuminstack.core import InstanceId, JobId, JobKey, MemberName, Send
from fakes_network import FakeNetwork, make_instance

STEP = 0.01
LIMITS = Limits(lifetime=60)


def make_job(key: str) -> JobId:
    return JobId(MemberName('tkemali'), JobKey(key))


class ClaimDeployment:
    """Instances with claims, and the results that each of them received."""

    def __init__(self, view: ClaimView, *, seed: int = 0) -> None:
        self.network = FakeNetwork(seed)
        self.services: dict[str, Claims] = {}
        self.results: list[tuple[str, Any]] = []
        self.now: float = 0
        self.incarnations: Counter[str] = Counter()
        for instance in view.instances:
            self.start(instance.instance, view)
            self.services[instance.instance].assume_fresh()

    @property
    def claimed(self) -> list[tuple[str, JobId]]:
        return [
            (name, effect.job)
            for name, effect in self.results
            if isinstance(effect, Claimed)
        ]

    def start(self, name: str, view: ClaimView) -> None:
        self.incarnations[name] += 1
        self.services[name] = Claims(
            make_instance(name, self.incarnations[name]),
            view,
            limits=LIMITS,
            now=self.now,
        )

    def kill(self, *names: str) -> None:
        for name in names:
            self.services.pop(name)

    def claim(self, name: str, key: str, digest: bytes = b'body') -> None:
        effects = self.services[name].claim(make_job(key), digest, now=self.now)
        self.apply(name, effects, self.now)

    def finish(self, name: str, key: str, outcome: bytes = b'done') -> None:
        self.services[name].record_outcome(make_job(key), outcome)

    def run(self, seconds: float, *, step: float = STEP) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += step
            self.network.deliver(self.now, self.receive)
            for name, service in tuple(self.services.items()):
                self.apply(name, service.tick(now=self.now), self.now)

    def receive(self, sender: str, to: str, message: Any, now: float) -> None:
        service = self.services.get(to)
        if service is not None:
            effects = service.receive(InstanceId(sender), message, now=now)
            self.apply(to, effects, now)

    def apply(self, name: str, effects: Sequence[Any], now: float) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(name, effect.to, effect.message, now)
            else:
                self.results.append((name, effect))

    def last_result(self, name: str) -> Any:
        """Return the last result that an instance received."""
        return [effect for to, effect in self.results if to == name][-1]

    def check_granted_once(self) -> None:
        """Assert that no job was granted more than once."""
        jobs = [job for _, job in self.claimed]
        assert len(jobs) == len(set(jobs)), self.claimed


def holder_of(effect: Any) -> str:
    assert isinstance(effect, AlreadyClaimed)
    return effect.holder


def is_given_up(effect: Any) -> bool:
    return isinstance(effect, NoMajority)
