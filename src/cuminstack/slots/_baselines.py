"""Baseline policies without leases, for comparison with slot leases.

They have no exact count of the tasks that other instances have started, so
they detect full endpoints by refused starts.
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

#: Interval between two load reports of an instance, in seconds.
_REPORT_SECONDS: Final = 0.1


@policy('local')
class LocalPolicy(BasePolicy):
    """Gives each instance an equal part of the slots of each endpoint.

    Remaining slots are assigned in rendezvous-hashing order, so instances
    with the same membership view never exceed the slots of an endpoint.
    """

    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        return min(open_endpoints, key=self._load)

    def _slot_limit(self, record: EndpointRecord) -> int:
        order = rendezvous_order(record.endpoint, self._alive)
        base, remainder = divmod(record.slots, len(order))
        return base + (order.index(self._own.instance) < remainder)


@policy('random')
class RandomPolicy(BasePolicy):
    """Chooses a random endpoint that isn't known to be full."""

    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        return open_endpoints[self._random.below(len(open_endpoints))]


@policy('round_robin')
class RoundRobinPolicy(BasePolicy):
    """Cycles through the endpoints, independently on each instance."""

    def __init__(self, own: Instance, seed: int) -> None:
        super().__init__(own, seed)
        self._last_endpoint = ''

    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        chosen = min(open_endpoints, key=self._round_robin_key)
        self._last_endpoint = chosen.endpoint
        return chosen

    def _round_robin_key(self, record: EndpointRecord) -> tuple[bool, str]:
        return record.endpoint <= self._last_endpoint, record.endpoint


@wire.message('slots.load')
@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Number of tasks that the sender has running at one endpoint."""

    endpoint: EndpointId
    running: int


@wire.message('slots.loads')
@dataclass(frozen=True, slots=True)
class LoadReport:
    """Running tasks of the sender, by endpoint."""

    loads: tuple[EndpointLoad, ...]


@policy('two_choices')
class TwoChoicesPolicy(BasePolicy):
    """Chooses the less loaded of two random endpoints.

    The loads of other instances are reported periodically, so they may be
    out of date.
    """

    def __init__(self, own: Instance, seed: int) -> None:
        super().__init__(own, seed)
        self._reports: dict[InstanceId, dict[EndpointId, int]] = {}
        self._next_report_at: float = 0

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Store the load report of another instance."""
        if isinstance(message, LoadReport):
            loads = {load.endpoint: load.running for load in message.loads}
            self._reports[sender] = loads
        return ()

    def tick(self, *, now: float) -> Effects:
        """Start tasks, and send a load report when it is due."""
        effects = super().tick(now=now)
        if now < self._next_report_at:
            return effects
        self._next_report_at = now + _REPORT_SECONDS
        return effects + self._report()

    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        count = len(open_endpoints)
        first = open_endpoints[self._random.below(count)]
        second = open_endpoints[self._random.below(count)]
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
