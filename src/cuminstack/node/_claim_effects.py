"""Effects passed between the intake handler and the claim handler."""

from dataclasses import dataclass

from cuminstack.core import InstanceId
from cuminstack.jobs import JobRequest, Outcome, RefusalReason, Refused


@dataclass(frozen=True, slots=True)
class TakeClaim:
    """Request to take the claim or lease on a job before it starts."""

    request: JobRequest


@dataclass(frozen=True, slots=True)
class ClaimTaken:
    """This instance holds the claim or lease, so it alone may run the job."""

    request: JobRequest


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Another instance, or an earlier process of this one, holds the claim.

    Args:
        request: The submission that this instance received.
        holder: Name of the instance that holds the claim.
        incarnation: Incarnation of the holder when it took the claim.
        digest: Digest of the submission that the claim was taken for.
        holder_gone: Whether the process that holds the claim can no longer
            report the job's outcome.
    """

    request: JobRequest
    holder: InstanceId
    incarnation: int
    digest: bytes
    holder_gone: bool


@dataclass(frozen=True, slots=True)
class ClaimSettled:
    """The job has ended, and the claim replicas hold its outcome.

    Args:
        request: The submission that this instance received.
        digest: Digest of the submission that the claim was taken for.
        outcome: The recorded outcome.
    """

    request: JobRequest
    digest: bytes
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """No majority of the job's claim replicas answered in time."""

    request: JobRequest


def may_run_again(outcome: Outcome) -> bool:
    """Return whether a job with this outcome may be submitted again.

    A refused job never ran, so its key may be reused unless it was cancelled.
    """
    return (
        isinstance(outcome, Refused)
        and outcome.reason is not RefusalReason.cancelled
    )
