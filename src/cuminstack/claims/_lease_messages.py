"""Leases on idempotent jobs: messages, and the effects."""

from dataclasses import dataclass

from cuminstack import wire
from cuminstack.core import InstanceId, JobId


@dataclass(frozen=True, slots=True)
class Lease:
    """Who runs an idempotent job for the time being.

    Args:
        holder: The instance.
        incarnation: Its incarnation.
        digest: Digest of the body of the submission.
        generation: Grows each time that the job passes to a new holder.
    """

    holder: InstanceId
    incarnation: int
    digest: bytes
    generation: int = 1

    def is_of(self, other: 'Lease') -> bool:
        """Tell whether another lease has the same holder."""
        mine = (self.holder, self.incarnation)
        return mine == (other.holder, other.incarnation)


@wire.message('claims.lease')
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Ask a replica for a lease, or for more time on one."""

    job: JobId
    serial: int
    lease: Lease
    seconds: float


@wire.message('claims.leased')
@dataclass(frozen=True, slots=True)
class LeaseVote:
    """The lease that a replica holds now, the asker's or another's.

    `outcome` is there once the job has one.
    """

    job: JobId
    serial: int
    lease: Lease
    outcome: bytes | None = None


@dataclass(frozen=True, slots=True)
class Leased:
    """This instance may run the job while `holds_lease` says so."""

    job: JobId
    generation: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Another holder took the job over, or its lease ran out unrenewed."""

    job: JobId
