"""Admission control: the decision on each submitted job."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from cuminstack.admission._records import (
    AdmissionRequest,
    Admit,
    DeadlineTooSoon,
    MemberBound,
    NoEndpoint,
    OverClaim,
    Overloaded,
    QueueFull,
    RandomSource,
    Refuse,
    RetryBudgetSpent,
    UnknownMember,
    Unrunnable,
    Verdict,
)
from cuminstack.admission._retries import RetryBudget
from cuminstack.admission._run_times import RunTimes
from cuminstack.admission._shedding import LoopLag
from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    EndpointState,
    Needs,
    ServiceRef,
)

#: Shortest and longest retry delay before jitter, in seconds.
_MIN_RETRY_SECONDS: Final = 0.2
_MAX_RETRY_SECONDS: Final = 30
#: Retry delay without an endpoint or with a spent retry budget, in seconds.
_UNAVAILABLE_RETRY_SECONDS: Final = 2
#: Smallest factor by which jitter scales a retry delay.
_MIN_JITTER_FACTOR: Final = 0.5

_Check = Callable[[AdmissionRequest], Refuse | None]


class Admission:
    """Refuses jobs that can't run, or not in time, before any task starts.

    The tasks of admitted jobs count as queued until their job is settled.

    Args:
        chance: Source of random numbers for load shedding and for the
            jitter of retry delays.
    """

    def __init__(self, *, chance: RandomSource) -> None:
        self.run_times = RunTimes()
        self._random_source = chance
        self._lag = LoopLag()
        self._budget = RetryBudget()
        self._records: dict[EndpointId, EndpointRecord] = {}
        self._bounds: dict[str, MemberBound] | None = None
        self._claims: dict[ServiceRef, Needs] = {}
        self._queued: Counter[ServiceRef] = Counter()
        self._checks: tuple[_Check, ...] = (
            self._check_member,
            self._check_claim,
            self._check_endpoints,
            self._check_lag,
            self._check_queue,
            self._check_deadline,
            self._check_retry,
        )

    def apply_sheet(
        self,
        bounds: Mapping[str, MemberBound],
        claims: Mapping[ServiceRef, Needs],
    ) -> None:
        """Apply the limits of a configuration sheet.

        Until a sheet is applied, no member is refused as unknown.

        Args:
            bounds: Queue limit of each member.
            claims: Resources that one task of each service may need at most.
        """
        self._bounds = dict(bounds)
        self._claims = dict(claims)

    def observe_endpoint(self, record: EndpointRecord) -> None:
        """Add or replace the record of an endpoint."""
        self._records[record.endpoint] = record

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that is gone."""
        self._records.pop(endpoint, None)

    def observe_lag(self, seconds: float) -> None:
        """Record the lag of one iteration of the event loop, in seconds."""
        self._lag.observe(seconds)

    def record_run(self, service: ServiceRef, seconds: float) -> None:
        """Record the run time of an answered task, in seconds."""
        self.run_times.record(service, seconds)

    def queued(self, member: str) -> int:
        """Return the number of admitted, unsettled tasks of a member."""
        return sum(
            count
            for service, count in self._queued.items()
            if service.member == member
        )

    def admit(self, request: AdmissionRequest, *, now: float) -> Verdict:
        """Decide whether to admit a job.

        No task of a refused job may be run.
        """
        for check in self._checks:
            refusal = check(request)
            if refusal is not None:
                return refusal
        self._queued[request.service] += request.tasks
        return Admit()

    def settled(
        self,
        service: ServiceRef,
        tasks: int,
        *,
        succeeded: bool,
        now: float,
    ) -> None:
        """Record the end of an admitted job.

        Args:
            service: Service of the job.
            tasks: Number of its tasks.
            succeeded: Whether it was answered completely.
            now: The present time, in seconds.
        """
        self._queued[service] -= tasks
        if self._queued[service] <= 0:
            self._queued.pop(service)
        if succeeded:
            self._budget.add_success(service.member)

    def _check_member(self, request: AdmissionRequest) -> Refuse | None:
        member = request.service.member
        if self._bounds is None or member in self._bounds:
            return None
        return Refuse(UnknownMember(member))

    def _check_claim(self, request: AdmissionRequest) -> Refuse | None:
        claim = self._claims.get(request.service)
        for needs in request.needs:
            if claim is not None and not needs.fit_in(claim):
                return Refuse(OverClaim(needs, claim))
        return None

    def _check_endpoints(self, request: AdmissionRequest) -> Refuse | None:
        serving = tuple(self._serving(request.service))
        if not serving:
            retry_after = self._jittered(_UNAVAILABLE_RETRY_SECONDS)
            return Refuse(NoEndpoint(request.service), retry_after)
        for needs in request.needs:
            if not any(needs.fit_in(record.offers) for record in serving):
                return Refuse(Unrunnable(needs))
        return None

    def _check_lag(self, request: AdmissionRequest) -> Refuse | None:
        if not self._lag.should_shed(self._random_source):
            return None
        return Refuse(
            Overloaded(self._lag.lag),
            self._jittered(_MIN_RETRY_SECONDS),
        )

    def _check_queue(self, request: AdmissionRequest) -> Refuse | None:
        member = request.service.member
        bound = (self._bounds or {}).get(member, MemberBound()).max_queued
        queued = self.queued(member)
        if not bound or queued + request.tasks <= bound:
            return None
        reason = QueueFull(queued, bound)
        if request.tasks > bound:
            return Refuse(reason)
        excess = queued + request.tasks - bound
        drain_seconds = excess * self._seconds_per_task(request)
        return Refuse(reason, self._jittered(drain_seconds))

    def _check_deadline(self, request: AdmissionRequest) -> Refuse | None:
        if request.deadline is None:
            return None
        wait = self._queued[request.service] * self._seconds_per_task(request)
        likely = wait + self._run_seconds(request)
        if likely <= request.deadline:
            return None
        if self._run_seconds(request) > request.deadline:
            return Refuse(DeadlineTooSoon(likely))
        overrun = likely - request.deadline
        return Refuse(DeadlineTooSoon(likely), self._jittered(overrun))

    def _check_retry(self, request: AdmissionRequest) -> Refuse | None:
        if not request.retry or self._budget.spend(request.service.member):
            return None
        retry_after = self._jittered(_UNAVAILABLE_RETRY_SECONDS)
        return Refuse(RetryBudgetSpent(), retry_after)

    def _seconds_per_task(self, request: AdmissionRequest) -> float:
        """Return by how much one task delays the queue of its service.

        This instance holds only part of that queue, so estimates based on
        this value err towards admission.
        """
        slots = sum(each.slots for each in self._serving(request.service))
        mean = self.run_times.mean(request.service, declared=request.expected)
        return mean / max(1, slots)

    def _run_seconds(self, request: AdmissionRequest) -> float:
        """Return the shortest run time of a job with all slots to itself."""
        throughput_bound = request.tasks * self._seconds_per_task(request)
        return max(throughput_bound, self.run_times.short(request.service))

    def _serving(self, service: ServiceRef) -> Iterator[EndpointRecord]:
        return (
            record
            for record in self._records.values()
            if record.state is EndpointState.serving and record.runs(service)
        )

    def _jittered(self, seconds: float) -> float:
        """Return a retry delay, in seconds, with random jitter.

        Limits the delay, then scales it by a factor between a half and one
        and a half, so that refused callers don't all return at once.
        """
        bounded = min(max(seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)
        return bounded * (_MIN_JITTER_FACTOR + self._random_source.random())
