"""Requests, outcomes and effects of jobs."""

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
    """A task as the caller submitted it.

    Args:
        payload: JSON text, passed to the endpoint unchanged.
        needs: Resources that the task requires.
        expected: Declared run time in seconds; 0 if none was declared.
    """

    payload: bytes
    needs: Needs = Needs()
    expected: float = 0


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A validated job submission.

    Args:
        job: Member (client account) and idempotency key.
        service: Service that runs the tasks.
        tasks: The tasks, at least one.
        idempotent: Whether the caller allows the job to run again.
        within: Deadline in seconds from acceptance; 0 if it is taken from
            the configuration sheet.
        digest: Hash of the submission, which distinguishes a resend from
            another job under the same key.
        minted: Whether this instance generated the key. No other instance
            can then be processing a resend of the job.
    """

    job: JobId
    service: ServiceRef
    tasks: tuple[TaskSpec, ...]
    idempotent: bool
    within: float
    digest: bytes
    minted: bool = False


class RefusalReason(enum.Enum):
    """Why a job was not run; each reason implies whether a retry can help."""

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
    """Why a job that may have run did not complete."""

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
    """The job is complete; `answers` holds JSON texts in task order."""

    answers: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """No task of the job was started or will be.

    Args:
        reason: Why the job was refused.
        retry_after: Seconds after which a retry can succeed; 0 if a retry
            can't help.
        detail: Human-readable explanation.
    """

    reason: RefusalReason
    retry_after: float = 0
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Failed:
    """The job has no answer, but some of its tasks may have run."""

    reason: FailureReason
    detail: str = ''


Outcome = Complete | Refused | Failed


class AttemptOutcome(enum.Enum):
    """How an attempt to run a task at an endpoint ended."""

    answered = 'answered'
    not_started = 'not-started'
    failed = 'failed'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class EnqueueTasks:
    """Effect: add tasks to the queue of the dispatch policy."""

    tasks: tuple[QueuedTask, ...]


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Effect: remove tasks from the queue of the dispatch policy."""

    tasks: tuple[TaskId, ...]


@dataclass(frozen=True, slots=True)
class SendStart:
    """Effect: send the start request of an attempt to an endpoint, once.

    Args:
        task: The attempt.
        endpoint: The endpoint that runs the task.
        service: Service that the task belongs to.
        payload: JSON text.
        start_within: Seconds after which the endpoint must not start the
            task any more.
        expected: Expected run time in seconds; the time after which a
            silent connection is suspected to be broken depends on it.
    """

    task: TaskId
    endpoint: EndpointId
    service: ServiceRef
    payload: bytes
    start_within: float
    expected: float


@dataclass(frozen=True, slots=True)
class FreeSlot:
    """Effect: release the slot of an attempt that ended or won't be sent."""

    task: TaskId
    endpoint: EndpointId
    started: bool


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Effect: deliver the outcome of a job to everyone waiting for it."""

    job: JobId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class StopStarted:
    """Effect: ask an endpoint to stop attempts, all in one message."""

    endpoint: EndpointId
    tasks: tuple[TaskId, ...]


JobEffect = (
    EnqueueTasks | Withdraw | SendStart | FreeSlot | JobEnded | StopStarted
)
JobEffects = tuple[JobEffect, ...]
