"""Whether a submission may be taken on, before any claim is taken."""

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
from cuminstack.node._sheets import SheetDesk
from cuminstack.sheet import Service

#: Seconds after which a retry at a busy or just started instance can help.
_RETRY_AFTER_SECONDS: Final = 1.0

_MILLISECONDS: Final = 1000

_REASONS: Final = MappingProxyType(
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
    """What a node keeps to; times are in seconds.

    Args:
        endpoint_lease: Silence after which an endpoint is gone.
        outcome_lifetime: How long outcomes are kept for resends.
        default_within: Deadline where neither job nor service has one.
        max_running_jobs: Jobs in progress at most.
        timing: Time-outs of the failure detector.
    """

    endpoint_lease: float
    outcome_lifetime: float
    default_within: float
    max_running_jobs: int
    timing: Timing


class Gate(Protocol):
    """Checks a submission against the sheet, the limits and the load."""

    def check(self, request: JobRequest, *, now: float) -> Refused | None:
        """Give the refusal of a submission, or none if it may run."""

    def complete(self, request: JobRequest) -> JobRequest:
        """Fill in what the submission left to the sheet."""

    def release(self, ended: JobEnded, *, now: float) -> None:
        """Take the end of a job that was let through."""


class SheetGate:
    """Lets through what the sheet in force allows and the load admits.

    Args:
        sheets: The sheet in force.
        book: The jobs in progress here.
        admission: Decides by needs, queues, deadlines and load.
        options: Limits.
    """

    def __init__(
        self,
        sheets: SheetDesk,
        book: JobTracker,
        admission: Admission,
        options: NodeOptions,
    ) -> None:
        self._sheets = sheets
        self._book = book
        self._admission = admission
        self._options = options
        self._admitted: dict[JobId, JobRequest] = {}

    def check(self, request: JobRequest, *, now: float) -> Refused | None:
        """Give the refusal of a submission, or none if it may run."""
        refused = self._check_sheet(request, now=now)
        if refused is not None:
            return refused
        if self._book.running >= self._options.max_running_jobs:
            return Refused(RefusalReason.overloaded, _RETRY_AFTER_SECONDS)
        verdict = self._admission.admit(_ask(request), now=now)
        if isinstance(verdict, Refuse):
            return _refused(verdict)
        self._admitted[request.job] = request
        return None

    def complete(self, request: JobRequest) -> JobRequest:
        """Fill in what the submission left to the sheet."""
        service = self._sheets.sheet.service(request.service)
        if service is None:
            return request
        expected = service.expected_ms / _MILLISECONDS
        return replace(
            request,
            within=request.within or self._within(service),
            tasks=tuple(_expecting(task, expected) for task in request.tasks),
        )

    def release(self, ended: JobEnded, *, now: float) -> None:
        """Take the end of a job that was let through."""
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

    def _within(self, service: Service) -> float:
        if not service.deadline_ms:
            return self._options.default_within
        return service.deadline_ms / _MILLISECONDS


def _ask(request: JobRequest) -> AdmissionRequest:
    needs = dict.fromkeys(task.needs for task in request.tasks)
    return AdmissionRequest(
        service=request.service,
        tasks=len(request.tasks),
        needs=tuple(needs),
        expected=max(task.expected for task in request.tasks),
        deadline=request.within,
    )


def _expecting(task: TaskSpec, expected: float) -> TaskSpec:
    return task if task.expected else replace(task, expected=expected)


def _refused(verdict: Refuse) -> Refused:
    return Refused(
        _REASONS[type(verdict.reason)],
        verdict.retry_after or 0,
        detail=str(verdict.reason),
    )
