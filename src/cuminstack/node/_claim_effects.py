"""What the intake asks of the claims, and what it is told."""

from dataclasses import dataclass

from cuminstack.core import InstanceId
from cuminstack.jobs import JobRequest, Outcome, RefusalReason, Refused


@dataclass(frozen=True, slots=True)
class TakeClaim:
    """Take the claim on a job before its first start."""

    request: JobRequest


@dataclass(frozen=True, slots=True)
class ClaimTaken:
    """This instance alone may run the job."""

    request: JobRequest


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Another instance accepted the job, or an earlier process of this one.

    Args:
        request: The submission that came here.
        holder: The instance that the claim names.
        incarnation: Of the holder when it took the claim.
        digest: Of the submission that the claim was taken for.
        gone: Whether that process can no longer answer for the job.
    """

    request: JobRequest
    holder: InstanceId
    incarnation: int
    digest: bytes
    gone: bool


@dataclass(frozen=True, slots=True)
class ClaimSettled:
    """The job has ended, and its outcome was recorded with its claim.

    Args:
        request: The submission that came here.
        digest: Of the submission that the claim was taken for.
        outcome: The recorded outcome.
    """

    request: JobRequest
    digest: bytes
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """No majority of the claim's replicas answered in time."""

    request: JobRequest


def may_run_again(outcome: Outcome) -> bool:
    """Tell whether a job's key is free: it was refused, not cancelled."""
    return (
        isinstance(outcome, Refused)
        and outcome.reason is not RefusalReason.cancelled
    )
