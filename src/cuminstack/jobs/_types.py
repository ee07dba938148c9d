"""What callers ask for, and what they are told."""

import enum
from dataclasses import dataclass

from cuminstack.core import (
    EndpointId,
    JobId,
    Needs,
    ServiceRef,
    TaskId,
)
from cuminstack.slots import QueuedTask


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task as its caller submitted it.

    Args:
        payload: JSON text, passed to the endpoint as it came.
        needs: Resources that it asks for.
        expected: Declared run time in seconds; 0 if none.
    """

    payload: bytes
    needs: Needs = Needs()
    expected: float = 0


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A submission whose every field has been checked.

    Args:
        job: Member and idempotency key.
        service: What the tasks are of.
        tasks: At least one task.
        idempotent: Whether the caller allows the job to run anew.
        within: Seconds from acceptance after which the job has failed; 0
            if the sheet says.
        digest: Hash of the submission; tells a resend from another job
            under the same key.
        minted: Whether the key was made here, so that no resend can be
            under way at another instance.
    """

    job: JobId
    service: ServiceRef
    tasks: tuple[TaskSpec, ...]
    idempotent: bool
    within: float
    digest: bytes
    minted: bool = False


class RefusalReason(enum.Enum):
    """Why a job was not run; the text says whether a retry can help."""

    unknown_member = 'unknown-member'
    unknown_service = 'unknown-service'
    never_runnable = 'never-runnable'
    over_claim = 'over-claim'
    no_endpoint = 'no-endpoint'
    retry_budget_spent = 'retry-budget-spent'
    queue_full = 'queue-full'
    deadline_unreachable = 'deadline-unreachable'
    overloaded = 'overloaded'
    shutting_down = 'shutting-down'
    no_configuration = 'no-configuration'
    no_majority = 'no-majority'
    key_conflict = 'key-conflict'
    cancelled = 'cancelled'
    deadline_passed = 'deadline-passed'
    not_started = 'not-started'


class FailureReason(enum.Enum):
    """Why a job that may have run has no whole answer."""

    task_failed = 'task-failed'
    task_unknown = 'task-unknown'
    not_started = 'not-started'
    deadline_passed = 'deadline-passed'
    cancelled = 'cancelled'
    holder_gone = 'holder-gone'
    lease_lost = 'lease-lost'
    outcome_expired = 'outcome-expired'
    shutting_down = 'shutting-down'


@dataclass(frozen=True, slots=True)
class Complete:
    """Every answer, as JSON texts in task order."""

    answers: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """No task of the job was started, nor will be.

    Args:
        reason: Why.
        retry_after: Seconds after which a retry can help; 0 if none can.
        detail: For people.
    """

    reason: RefusalReason
    retry_after: float = 0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Failed:
    """Some task may have run; there is no answer."""

    reason: FailureReason
    detail: str = ''


Outcome = Complete | Refused | Failed


class StartEnd(enum.Enum):
    """How an attempt at an endpoint ended."""

    answered = 'answered'
    not_started = 'not-started'
    failed = 'failed'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class Queue:
    """Hand tasks to the dispatch policy."""

    tasks: tuple[QueuedTask, ...]


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Take queued tasks back from the dispatch policy."""

    tasks: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class SendStart:
    """Send the start of an attempt to an endpoint, once.

    Args:
        task: The attempt.
        endpoint: Where.
        service: What it is a task of.
        payload: JSON text.
        start_within: Seconds after which the endpoint must not start it.
        expected: Seconds after which the connection is suspected silent.
    """

    task: TaskId
    endpoint: EndpointId
    service: ServiceRef
    payload: bytes
    start_within: float
    expected: float


@dataclass(frozen=True, slots=True)
class FreeSlot:
    """Give back the slot of an attempt that will not be sent, or has ended."""

    task: TaskId
    endpoint: EndpointId
    started: bool


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Tell everyone who waits for a job its outcome."""

    job: JobId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class StopStarted:
    """Ask endpoints to stop attempts, one message an endpoint."""

    endpoint: EndpointId
    tasks: tuple[TaskId, ...]


JobEffect = Queue | Withdraw | SendStart | FreeSlot | JobEnded | StopStarted
JobEffects = tuple[JobEffect, ...]
