"""Admission control of submissions, before a claim is taken."""

from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Final, Protocol

from cuminstack.admission import (
    Admission,
    AdmissionRequest,
    DeadlineTooSoon,
    NoEndpoint,
    OverClaim,
    Overloaded,
    QueueFull,
    Refuse,
    RetryBudgetSpent,
    UnknownMember,
    Unrunnable,
)
from cuminstack.core import JobId
from cuminstack.jobs import (
    Complete,
    JobEnded,
    JobRequest,
    JobTracker,
    RefusalReason,
    Refused,
    TaskSpec,
)
from cuminstack.membership import Timing
from cuminstack.node._sheets import SheetHandler
from cuminstack.sheet import Service

#: Delay after which a retry can succeed at an instance that was overloaded or
#: had just started.
_RETRY_AFTER_SECONDS: Final = 1.0

_MS_PER_SECOND: Final = 1000

_REFUSAL_REASONS: Final = MappingProxyType(
    {
        DeadlineTooSoon: RefusalReason.deadline_unreachable,
        NoEndpoint: RefusalReason.no_endpoint,
        OverClaim: RefusalReason.over_claim,
        Overloaded: RefusalReason.overloaded,
        QueueFull: RefusalReason.queue_full,
        RetryBudgetSpent: RefusalReason.retry_budget_spent,
        UnknownMember: RefusalReason.unknown_member,
        Unrunnable: RefusalReason.never_runnable,
    },
)


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Time-outs and limits of a node; times are in seconds.

    Args:
        endpoint_lease: Time without an announcement after which an endpoint
            is gone.
        outcome_lifetime: How long outcomes are stored for resends.
        default_deadline: Deadline, relative to the submission, of jobs for
            which neither the caller nor the service sets one.
        max_running_jobs: Maximum number of jobs in progress.
        timing: Time-outs of the failure detector.
    """

    endpoint_lease: float
    outcome_lifetime: float
    default_deadline: float
    max_running_jobs: int
    timing: Timing


class AdmissionController(Protocol):
    """Admits or refuses submissions according to sheet, limits and load."""

    def check(self, request: JobRequest, *, now: float) -> Refused | None:
        """Return the refusal of a submission, or None if it is admitted."""

    def fill_defaults(self, request: JobRequest) -> JobRequest:
        """Set the deadline and run times that the caller left to the sheet."""

    def job_ended(self, ended: JobEnded, *, now: float) -> None:
        """Record the end of a job that was admitted."""


class SheetAdmissionController:
    """Admits what the sheet in force, the limits and the load allow.

    Args:
        sheets: Handler that has the sheet in force.
        tracker: Jobs in progress at this instance.
        admission: Admission control by needs, queues, deadlines and load.
        options: Limits of the node.
    """

    def __init__(
        self,
        sheets: SheetHandler,
        tracker: JobTracker,
        admission: Admission,
        options: NodeOptions,
    ) -> None:
        self._sheets = sheets
        self._tracker = tracker
        self._admission = admission
        self._options = options
        self._admitted: dict[JobId, JobRequest] = {}

    def check(self, request: JobRequest, *, now: float) -> Refused | None:
        """Return the refusal of a submission, or None if it is admitted."""
        refused = self._check_sheet(request, now=now)
        if refused is not None:
            return refused
        if self._tracker.running >= self._options.max_running_jobs:
            return Refused(RefusalReason.overloaded, _RETRY_AFTER_SECONDS)
        verdict = self._admission.admit(
            _admission_request(request),
            now=now,
        )
        if isinstance(verdict, Refuse):
            return _to_refused(verdict)
        self._admitted[request.job] = request
        return None

    def fill_defaults(self, request: JobRequest) -> JobRequest:
        """Set the deadline and run times that the caller left to the sheet."""
        service = self._sheets.sheet.service(request.service)
        if service is None:
            return request
        expected = service.expected_ms / _MS_PER_SECOND
        return replace(
            request,
            within=request.within or self._deadline_of(service),
            tasks=tuple(
                _with_expected(task, expected) for task in request.tasks
            ),
        )

    def job_ended(self, ended: JobEnded, *, now: float) -> None:
        """Record the end of a job that was admitted."""
        request = self._admitted.pop(ended.job, None)
        if request is None:
            return
        self._admission.settled(
            request.service,
            len(request.tasks),
            succeeded=isinstance(ended.outcome, Complete),
            now=now,
        )

    def _check_sheet(
        self,
        request: JobRequest,
        *,
        now: float,
    ) -> Refused | None:
        sheet = self._sheets.sheet
        if not sheet.version or not self._sheets.is_known(now=now):
            reason = RefusalReason.no_configuration
            return Refused(reason, _RETRY_AFTER_SECONDS)
        if sheet.member(request.job.member) is None:
            return Refused(RefusalReason.unknown_member)
        if sheet.service(request.service) is None:
            return Refused(RefusalReason.unknown_service)
        return None

    def _deadline_of(self, service: Service) -> float:
        if not service.deadline_ms:
            return self._options.default_deadline
        return service.deadline_ms / _MS_PER_SECOND


def _admission_request(request: JobRequest) -> AdmissionRequest:
    needs = dict.fromkeys(task.needs for task in request.tasks)
    return AdmissionRequest(
        service=request.service,
        tasks=len(request.tasks),
        needs=tuple(needs),
        expected=max(task.expected for task in request.tasks),
        deadline=request.within,
    )


def _with_expected(task: TaskSpec, expected: float) -> TaskSpec:
    return task if task.expected else replace(task, expected=expected)


def _to_refused(verdict: Refuse) -> Refused:
    return Refused(
        _REFUSAL_REASONS[type(verdict.reason)],
        verdict.retry_after or 0,
        detail=str(verdict.reason),
    )
