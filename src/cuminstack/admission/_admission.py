"""The decision on each job."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from cuminstack.admission._records import (
    AdmissionRequest,
    Admit,
    Chance,
    DeadlineTooSoon,
    MemberBound,
    NoEndpoint,
    OverClaim,
    Overloaded,
    QueueFull,
    Refuse,
    RetryBudgetSpent,
    UnknownMember,
    Unrunnable,
    Verdict,
)
from cuminstack.admission._retries import RetryBudget
from cuminstack.admission._run_times import RunTimes
from cuminstack.admission._shedding import LagGauge
from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    EndpointState,
    Needs,
    ServiceRef,
)

#: Shortest and longest time until a refused caller may try again, seconds.
_SOONEST_SECONDS: Final = 0.2
_LATEST_SECONDS: Final = 30
#: Until one that met no endpoint or a spent budget may, in seconds.
_PATIENCE_SECONDS: Final = 2
#: Least part of a time that jitter leaves of it.
_LEAST_JITTER: Final = 0.5

_Check = Callable[[AdmissionRequest], Refuse | None]


class Admission:
    """Refuses what can't run, or not in time, before any of it is started.

    It counts the tasks that it let in until they are settled.

    Args:
        chance: For the jitter of retries and for shedding.
    """

    def __init__(self, *, chance: Chance) -> None:
        self.run_times = RunTimes()
        self._chance = chance
        self._lag = LagGauge()
        self._retries = RetryBudget()
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
        """Take the members' bounds, and what each service may claim a task.

        Without a sheet no member is refused for being unknown.
        """
        self._bounds = dict(bounds)
        self._claims = dict(claims)

    def observe_endpoint(self, record: EndpointRecord) -> None:
        """Take a new or changed record of an endpoint."""
        self._records[record.endpoint] = record

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Drop an endpoint that is gone."""
        self._records.pop(endpoint, None)

    def observe_lag(self, seconds: float) -> None:
        """Take the lag of one turn of the event loop."""
        self._lag.observe(seconds)

    def record_run(self, service: ServiceRef, seconds: float) -> None:
        """Take the run time of a task that was answered."""
        self.run_times.record(service, seconds)

    def queued(self, member: str) -> int:
        """Tell how many tasks of a member are let in and not settled."""
        return sum(
            count
            for service, count in self._queued.items()
            if service.member == member
        )

    def admit(self, request: AdmissionRequest, *, now: float) -> Verdict:
        """Decide on a job; nothing of a refused one may be run."""
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
        """Take the end of a job that was let in."""
        self._queued[service] -= tasks
        if self._queued[service] <= 0:
            self._queued.pop(service)
        if succeeded:
            self._retries.succeed(service.member)

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
            retry_after = self._jittered(_PATIENCE_SECONDS)
            return Refuse(NoEndpoint(request.service), retry_after)
        for needs in request.needs:
            if not any(needs.fit_in(record.offers) for record in serving):
                return Refuse(Unrunnable(needs))
        return None

    def _check_lag(self, request: AdmissionRequest) -> Refuse | None:
        if not self._lag.sheds(self._chance):
            return None
        return Refuse(
            Overloaded(self._lag.lag),
            self._jittered(_SOONEST_SECONDS),
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
        drain = excess * self._turn_seconds(request)
        return Refuse(reason, self._jittered(drain))

    def _check_deadline(self, request: AdmissionRequest) -> Refuse | None:
        if request.deadline is None:
            return None
        waiting = self._queued[request.service] * self._turn_seconds(request)
        likely = waiting + self._run_seconds(request)
        if likely <= request.deadline:
            return None
        if self._run_seconds(request) > request.deadline:
            return Refuse(DeadlineTooSoon(likely))
        late = likely - request.deadline
        return Refuse(DeadlineTooSoon(likely), self._jittered(late))

    def _check_retry(self, request: AdmissionRequest) -> Refuse | None:
        if not request.retry or self._retries.spend(request.service.member):
            return None
        retry_after = self._jittered(_PATIENCE_SECONDS)
        return Refuse(RetryBudgetSpent(), retry_after)

    def _turn_seconds(self, request: AdmissionRequest) -> float:
        """Tell how long one task holds up the queue of its service.

        Only part of that queue is here, so this errs towards admission.
        """
        slots = sum(each.slots for each in self._serving(request.service))
        mean = self.run_times.mean(request.service, declared=request.expected)
        return mean / max(1, slots)

    def _run_seconds(self, request: AdmissionRequest) -> float:
        """Tell the least time that the job takes with all slots its own."""
        rounds = request.tasks * self._turn_seconds(request)
        return max(rounds, self.run_times.short(request.service))

    def _serving(self, service: ServiceRef) -> Iterator[EndpointRecord]:
        return (
            record
            for record in self._records.values()
            if record.state is EndpointState.serving and record.runs(service)
        )

    def _jittered(self, seconds: float) -> float:
        """Spread retries from half to one and a half of a time."""
        bounded = min(max(seconds, _SOONEST_SECONDS), _LATEST_SECONDS)
        return bounded * (_LEAST_JITTER + self._chance.random())
