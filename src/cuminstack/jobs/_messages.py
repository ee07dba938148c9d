"""Peer messages that route a resend to the instance that accepted the job."""

from dataclasses import dataclass
from typing import Self

from cuminstack import wire
from cuminstack.core import JobId
from cuminstack.jobs._types import (
    Complete,
    Failed,
    JobRequest,
    Outcome,
    Refused,
)


@wire.message('jobs.forward')
@dataclass(frozen=True, slots=True)
class ForwardJob:
    """Forwards the submission of a job whose claim the receiver holds.

    Args:
        request: The complete submission.
        incarnation: Incarnation in which the receiver acquired the claim.
    """

    request: JobRequest
    incarnation: int


@wire.message('jobs.ask')
@dataclass(frozen=True, slots=True)
class AskJob:
    """Queries the state of a job at the receiver."""

    job: JobId


@wire.message('jobs.cancel')
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Requests the cancellation of a job that the receiver accepted."""

    job: JobId


@wire.message('jobs.outcome')
@dataclass(frozen=True, slots=True)
class JobOutcome:
    """Outcome of a job; exactly one of the three outcome fields is set."""

    job: JobId
    complete: Complete | None = None
    refused: Refused | None = None
    failed: Failed | None = None

    @classmethod
    def of(cls, job: JobId, outcome: Outcome) -> Self:
        """Return the message that carries an outcome."""
        if isinstance(outcome, Complete):
            return cls(job, complete=outcome)
        if isinstance(outcome, Refused):
            return cls(job, refused=outcome)
        return cls(job, failed=outcome)

    @property
    def outcome(self) -> Outcome | None:
        """The outcome, or None if the sender set no outcome field."""
        return self.complete or self.refused or self.failed


@wire.message('jobs.state')
@dataclass(frozen=True, slots=True)
class JobState:
    """State of a job at the sender, in reply to `AskJob`.

    Args:
        job: The job.
        running: Whether the job is in progress at the sender.
        ended: Outcome of the job, if the sender has it stored.
    """

    job: JobId
    running: bool = False
    ended: JobOutcome | None = None
