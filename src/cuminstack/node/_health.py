"""Monitors the health of endpoints and limits their concurrency."""

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

#: Interval between checks for changed limits of endpoints.
_CHECK_INTERVAL_SECONDS: Final = 0.1

#: Expected run time of a service that declares none and has no measured runs.
_DEFAULT_EXPECTED_SECONDS: Final = 2.0

_OUTCOMES: Final = MappingProxyType(
    {
        AttemptOutcome.answered: Outcome.answered,
        AttemptOutcome.failed: Outcome.failed,
        AttemptOutcome.not_started: Outcome.not_started,
        AttemptOutcome.unknown: Outcome.unknown,
    },
)


class HealthMonitor:
    """Evaluates the ends of attempts, and sets limits in the dispatch policy.

    Args:
        policy: The dispatch policy, which applies the limit of each endpoint.
        admission: Admission control, which uses measured run times and the
            records of endpoints.
        instances: Number of instances that share each endpoint's connections.
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
        self._connection_shares: dict[EndpointId, int] = {}
        self._checked_at = float('-inf')

    @property
    def health(self) -> EndpointHealth:
        """Health of all endpoints, with their quarantines."""
        return self._health

    def expected_run_time(self, service: ServiceRef, declared: float) -> float:
        """Return the expected run time of a task of a service, in seconds.

        Args:
            service: The service.
            declared: Run time that the submission or the sheet declares, in
                seconds; 0 if neither does.
        """
        if not declared:
            declared = _DEFAULT_EXPECTED_SECONDS
        return self._admission.run_times.mean(service, declared=declared)

    def attempt_started(self, start: SendStart, *, now: float) -> None:
        """Record the start of an attempt."""
        self._started[start.task] = now

    def attempt_ended(
        self,
        start: SendStart,
        end: AttemptOutcome,
        *,
        now: float,
    ) -> None:
        """Record how an attempt ended and how long it took."""
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
        """Apply changed limits of endpoints to the policy."""
        if now - self._checked_at < _CHECK_INTERVAL_SECONDS:
            return ()
        self._checked_at = now
        effects: list[Effects] = [
            self._apply_limit(change.endpoint, change.limit, now=now)
            for change in self._health.changes(now=now)
        ]
        return tuple(chain.from_iterable(effects))

    @property
    def in_progress(self) -> Counter[MemberName]:
        """Number of attempts that were sent and have not ended, by member."""
        return Counter(task.job.member for task in self._started)

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Effects:
        """Add or replace the record of an endpoint.

        A task needs one connection, and each instance may open an equal share
        of the connections that the endpoint accepts.
        """
        self._health.observe_endpoint(record)
        self._admission.observe_endpoint(record)
        share = max(1, record.connections // self._instances)
        self._connection_shares[record.endpoint] = share
        limit = self._health.limit(record.endpoint, now=now)
        return self._apply_limit(record.endpoint, limit, now=now)

    def forget_endpoint(self, effect: EndpointGone) -> None:
        """Remove an endpoint that is gone."""
        self._connection_shares.pop(effect.endpoint, None)
        self._health.forget_endpoint(effect.endpoint)
        self._admission.forget_endpoint(effect.endpoint)

    def _apply_limit(
        self,
        endpoint: EndpointId,
        limit: int | None,
        *,
        now: float,
    ) -> Effects:
        bound = self._connection_shares.get(endpoint, 1)
        if limit is not None:
            bound = min(bound, limit)
        return self._policy.limit_endpoint(endpoint, bound, now=now)
