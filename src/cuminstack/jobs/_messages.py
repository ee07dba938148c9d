"""Peer messages that bring a resend to the instance that accepted the job."""

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
    """A submission of a job that the receiver holds the claim of.

    Args:
        request: The submission, whole.
        incarnation: Of the receiver when it took the claim.
    """

    request: JobRequest
    incarnation: int


@wire.message('jobs.ask')
@dataclass(frozen=True, slots=True)
class AskJob:
    """Asks what the receiver knows of a job."""

    job: JobId


@wire.message('jobs.cancel')
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Asks the receiver to cancel a job that it accepted."""

    job: JobId


@wire.message('jobs.outcome')
@dataclass(frozen=True, slots=True)
class JobOutcome:
    """How a job ended; exactly one of the three outcomes is set."""

    job: JobId
    complete: Complete | None = None
    refused: Refused | None = None
    failed: Failed | None = None

    @classmethod
    def of(cls, job: JobId, outcome: Outcome) -> Self:
        """Put an outcome into the form that frames carry."""
        if isinstance(outcome, Complete):
            return cls(job, complete=outcome)
        if isinstance(outcome, Refused):
            return cls(job, refused=outcome)
        return cls(job, failed=outcome)

    @property
    def outcome(self) -> Outcome | None:
        """The outcome, or none if the sender set none."""
        return self.complete or self.refused or self.failed


@wire.message('jobs.state')
@dataclass(frozen=True, slots=True)
class JobState:
    """What the sender knows of a job that it was asked for.

    Args:
        job: The job.
        running: Whether it is in progress there.
        ended: How it ended, if that is kept there.
    """

    job: JobId
    running: bool = False
    ended: JobOutcome | None = None
