"""Policies to measure the leases against.

None of them knows what the other instances have started, so they learn from
refused starts which endpoints are full.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from cuminstack import wire
from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    Send,
    rendezvous_order,
)
from cuminstack.slots._base import BasePolicy
from cuminstack.slots._policy import Effects, policy

#: Between two reports of an instance's load, in seconds.
_REPORT_SECONDS: Final = 0.1


@policy('local')
class LocalPolicy(BasePolicy):
    """Each instance uses its even part of each endpoint's slots.

    Slots are dealt out in rendezvous order, so that instances with the same
    view never start more than an endpoint's slots.
    """

    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        return min(open_endpoints, key=self._load)

    def _limit(self, record: EndpointRecord) -> int:
        order = rendezvous_order(record.endpoint, self._alive)
        every, rest = divmod(record.slots, len(order))
        return every + (order.index(self._own.instance) < rest)


@policy('random')
class RandomPolicy(BasePolicy):
    """Any endpoint that isn't known as full."""

    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        return open_endpoints[self._chance.below(len(open_endpoints))]


@policy('round_robin')
class RoundRobinPolicy(BasePolicy):
    """Endpoints in turn, by each instance for itself."""

    def __init__(self, own: Instance, seed: int) -> None:
        super().__init__(own, seed)
        self._last = ''

    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        chosen = min(open_endpoints, key=self._turn)
        self._last = chosen.endpoint
        return chosen

    def _turn(self, record: EndpointRecord) -> tuple[bool, str]:
        return record.endpoint <= self._last, record.endpoint


@wire.message('slots.load')
@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Tasks that the sender has running at one endpoint."""

    endpoint: EndpointId
    running: int


@wire.message('slots.loads')
@dataclass(frozen=True, slots=True)
class LoadReport:
    """Tasks that the sender has running, by endpoint."""

    loads: tuple[EndpointLoad, ...]


@policy('two_choices')
class TwoChoicesPolicy(BasePolicy):
    """The less loaded of two random endpoints, by loads that lag."""

    def __init__(self, own: Instance, seed: int) -> None:
        super().__init__(own, seed)
        self._reports: dict[InstanceId, dict[EndpointId, int]] = {}
        self._report_at: float = 0

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Take the load report of another instance."""
        if isinstance(message, LoadReport):
            loads = {load.endpoint: load.running for load in message.loads}
            self._reports[sender] = loads
        return ()

    def tick(self, *, now: float) -> Effects:
        """Start what can be started, and report the own load when due."""
        effects = super().tick(now=now)
        if now < self._report_at:
            return effects
        self._report_at = now + _REPORT_SECONDS
        return effects + self._report()

    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        count = len(open_endpoints)
        first = open_endpoints[self._chance.below(count)]
        second = open_endpoints[self._chance.below(count)]
        return min(first, second, key=self._known_load)

    def _known_load(self, record: EndpointRecord) -> int:
        reported = (
            loads.get(record.endpoint, 0)
            for peer, loads in self._reports.items()
            if peer in self._alive
        )
        return self._load(record) + sum(reported)

    def _report(self) -> Effects:
        loads = tuple(
            EndpointLoad(endpoint, len(tasks))
            for endpoint, tasks in self._running.items()
            if tasks
        )
        report = LoadReport(loads)
        return tuple(
            Send(peer, report)
            for peer in self._alive
            if peer != self._own.instance
        )
