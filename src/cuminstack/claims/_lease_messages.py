"""Messages and effects of leases on idempotent jobs."""

from dataclasses import dataclass

from cuminstack import wire
from cuminstack.core import InstanceId, JobId


@dataclass(frozen=True, slots=True)
class Lease:
    """Temporary right of an instance to run an idempotent job.

    Args:
        holder: The instance.
        incarnation: Its incarnation.
        digest: Digest of the body of the submission.
        generation: Increases each time that the job gets a new holder.
    """

    holder: InstanceId
    incarnation: int
    digest: bytes
    generation: int = 1

    def has_same_holder(self, other: 'Lease') -> bool:
        """Return whether another lease has the same holder."""
        own_holder = (self.holder, self.incarnation)
        return own_holder == (other.holder, other.incarnation)


@wire.message('claims.lease')
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request to a replica to grant or renew a lease."""

    job: JobId
    serial: int
    lease: Lease
    seconds: float


@wire.message('claims.leased')
@dataclass(frozen=True, slots=True)
class LeaseVote:
    """Lease that a replica currently holds, the requester's or another.

    `outcome` is set once the outcome of the job is recorded.
    """

    job: JobId
    serial: int
    lease: Lease
    outcome: bytes | None = None


@dataclass(frozen=True, slots=True)
class Leased:
    """This instance may run the job as long as `holds_lease` is true."""

    job: JobId
    generation: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Another holder got the lease, or it expired without renewal."""

    job: JobId
