"""How endpoints do: what their attempts show, and what follows from it."""

from collections import Counter
from itertools import chain
from types import MappingProxyType
from typing import Final

from cuminstack.admission import Admission
from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    MemberName,
    ServiceRef,
    TaskId,
)
from cuminstack.endpoints import EndpointGone
from cuminstack.health import EndpointHealth, Outcome
from cuminstack.jobs import AttemptOutcome, SendStart
from cuminstack.node._routing import Effects
from cuminstack.slots import Policy

#: Pause between two looks at which bounds have changed, in seconds.
_LOOK_SECONDS: Final = 0.1

#: Run time that is expected of a service that nothing is known of, in seconds.
_FIRST_EXPECTED_SECONDS: Final = 2.0

_OUTCOMES: Final = MappingProxyType(
    {
        AttemptOutcome.answered: Outcome.answered,
        AttemptOutcome.failed: Outcome.failed,
        AttemptOutcome.not_started: Outcome.not_started,
        AttemptOutcome.unknown: Outcome.unknown,
    },
)


class HealthDesk:
    """Learns from the ends of attempts, and tells the policy.

    Args:
        policy: The dispatch policy, told which endpoints to spare.
        admission: Learns run times, and which endpoints there are.
        instances: Instances that share the connections of each endpoint.
    """

    def __init__(
        self,
        policy: Policy,
        admission: Admission,
        *,
        instances: int,
    ) -> None:
        self._instances = instances
        self._policy = policy
        self._admission = admission
        self._health = EndpointHealth()
        self._started: dict[TaskId, float] = {}
        self._connections: dict[EndpointId, int] = {}
        self._looked_at = float('-inf')

    @property
    def health(self) -> EndpointHealth:
        """Which endpoints are quarantined."""
        return self._health

    def expected(self, service: ServiceRef, declared: float) -> float:
        """Give the run time that is expected of a task, in seconds."""
        if not declared:
            declared = _FIRST_EXPECTED_SECONDS
        return self._admission.run_times.mean(service, declared=declared)

    def started(self, start: SendStart, *, now: float) -> None:
        """Take the start of an attempt."""
        self._started[start.task] = now

    def ended(
        self,
        start: SendStart,
        end: AttemptOutcome,
        *,
        now: float,
    ) -> None:
        """Take the end of an attempt."""
        seconds = now - self._started.pop(start.task, now)
        if end is AttemptOutcome.answered:
            self._admission.record_run(start.service, seconds)
        self._health.record(
            start.endpoint,
            start.task.job,
            start.service,
            _OUTCOMES[end],
            seconds,
            now=now,
        )

    def tick(self, *, now: float) -> Effects:
        """Tell the policy which bounds have changed."""
        if now - self._looked_at < _LOOK_SECONDS:
            return ()
        self._looked_at = now
        effects: list[Effects] = [
            self._limit(change.endpoint, change.limit, now=now)
            for change in self._health.changes(now=now)
        ]
        return tuple(chain.from_iterable(effects))

    @property
    def in_progress(self) -> Counter[MemberName]:
        """Attempts that were sent and have not ended, by member."""
        return Counter(task.job.member for task in self._started)

    def observe(self, record: EndpointRecord, *, now: float) -> Effects:
        """Take a new or changed record of an endpoint.

        A task takes a connection, and each instance may open an even part
        of those that the endpoint accepts.
        """
        self._health.observe_endpoint(record)
        self._admission.observe_endpoint(record)
        part = max(1, record.connections // self._instances)
        self._connections[record.endpoint] = part
        limit = self._health.limit(record.endpoint, now=now)
        return self._limit(record.endpoint, limit, now=now)

    def forget(self, effect: EndpointGone) -> None:
        """Drop an endpoint that is gone."""
        self._connections.pop(effect.endpoint, None)
        self._health.forget_endpoint(effect.endpoint)
        self._admission.forget_endpoint(effect.endpoint)

    def _limit(
        self,
        endpoint: EndpointId,
        limit: int | None,
        *,
        now: float,
    ) -> Effects:
        bound = self._connections.get(endpoint, 1)
        if limit is not None:
            bound = min(bound, limit)
        return self._policy.limit_endpoint(endpoint, bound, now=now)
