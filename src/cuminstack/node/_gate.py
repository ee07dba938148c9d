"""Whether a submission may be taken on, before any claim is taken."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final, Protocol

from cuminstack.endpoints import Directory
from cuminstack.jobs import (
    JobBook,
    JobRequest,
    RefusalReason,
    Refused,
    TaskSpec,
)
from cuminstack.membership import Timing
from cuminstack.node._sheets import SheetDesk
from cuminstack.sheet import Claim, Service
from cuminstack.spread import Freshness

#: Seconds after which a retry at a busy or just started instance can help.
_RETRY_AFTER_SECONDS: Final = 1.0


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


Check = Callable[['SheetGate', JobRequest, float], Refused | None]
_checks: list[Check] = []


def _check(function: Check) -> Check:
    """Register a check; they run in the order of their registration."""
    _checks.append(function)
    return function


class SheetGate:
    """Lets through what the sheet in force allows and the load admits.

    Args:
        sheets: The sheet in force.
        book: The jobs in progress here.
        directory: The endpoints of the deployment.
        options: Limits.
    """

    def __init__(
        self,
        sheets: SheetDesk,
        book: JobBook,
        directory: Directory,
        options: NodeOptions,
    ) -> None:
        self.sheets = sheets
        self.book = book
        self.directory = directory
        self.options = options

    def check(self, request: JobRequest, *, now: float) -> Refused | None:
        """Give the refusal of a submission, or none if it may run."""
        for check in _checks:
            refused = check(self, request, now)
            if refused is not None:
                return refused
        return None

    def complete(self, request: JobRequest) -> JobRequest:
        """Fill in what the submission left to the sheet."""
        service = self.sheets.sheet.service(request.service)
        return replace(
            request,
            within=request.within or self._within(service),
        )

    def _within(self, service: Service | None) -> float:
        if service is None or not service.deadline_ms:
            return self.options.default_within
        return service.deadline_ms / _MILLISECONDS


_MILLISECONDS: Final = 1000


@_check
def _configured(
    gate: SheetGate,
    request: JobRequest,
    now: float,
) -> Refused | None:
    is_asking = gate.sheets.freshness(now=now) is Freshness.asking
    if not is_asking and gate.sheets.sheet.version:
        return None
    return Refused(RefusalReason.no_configuration, _RETRY_AFTER_SECONDS)


@_check
def _known_member(
    gate: SheetGate,
    request: JobRequest,
    now: float,
) -> Refused | None:
    if gate.sheets.sheet.member(request.job.member) is None:
        return Refused(RefusalReason.unknown_member)
    if gate.sheets.sheet.service(request.service) is None:
        return Refused(RefusalReason.unknown_service)
    return None


@_check
def _within_claim(
    gate: SheetGate,
    request: JobRequest,
    now: float,
) -> Refused | None:
    claim = gate.sheets.sheet.claim(request.service)
    if claim is None:
        return None
    for index, task in enumerate(request.tasks):
        if _exceeds(task, claim):
            return Refused(RefusalReason.over_claim, detail=f'task {index}')
    return None


@_check
def _not_overloaded(
    gate: SheetGate,
    request: JobRequest,
    now: float,
) -> Refused | None:
    if gate.book.running < gate.options.max_running_jobs:
        return None
    return Refused(RefusalReason.overloaded, _RETRY_AFTER_SECONDS)


def _exceeds(task: TaskSpec, claim: Claim) -> bool:
    return (
        task.needs.processors > claim.max_processors
        or task.needs.memory_mb > claim.max_memory_mb
        or task.needs.accelerators > claim.max_accelerators
    )
