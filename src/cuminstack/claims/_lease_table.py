"""Leases that one replica has granted.

Leases are best effort: a restarted replica has lost them and grants new ones
at once, since an idempotent job may run twice.
"""

from dataclasses import dataclass, replace

from cuminstack.claims._lease_messages import Lease, LeaseRequest
from cuminstack.core import JobId


@dataclass(frozen=True, slots=True)
class _GrantedLease:
    """A lease and its expiry, in seconds."""

    lease: Lease
    expires_at: float


class LeaseTable:
    """Granted leases by job.

    Args:
        lifetime: Seconds that a lease is retained after it expired.
        jobs: Maximum number of leases; beyond it the oldest is dropped.
    """

    def __init__(self, *, lifetime: float, jobs: int) -> None:
        self._lifetime = lifetime
        self._jobs = jobs
        self._granted: dict[JobId, _GrantedLease] = {}

    def __len__(self) -> int:
        return len(self._granted)

    def grant(self, request: LeaseRequest, *, now: float) -> Lease:
        """Grant or renew a lease, or return the lease of another holder."""
        requested = request.lease
        held = self._granted.pop(request.job, None)
        if held is not None:
            if (
                not held.lease.has_same_holder(requested)
                and now < held.expires_at
            ):
                self._granted[request.job] = held
                return held.lease
            requested = _next_generation(held.lease, requested)
        granted = _GrantedLease(requested, now + request.seconds)
        self._granted[request.job] = granted
        if len(self._granted) > self._jobs:
            self._granted.pop(next(iter(self._granted)))
        return requested

    def expire(self, *, now: float) -> None:
        """Drop leases that expired a lifetime ago, oldest first."""
        for job in tuple(self._granted):
            if self._granted[job].expires_at + self._lifetime > now:
                break
            self._granted.pop(job)


def _next_generation(held: Lease, requested: Lease) -> Lease:
    """Return the held lease to its holder, else the next generation."""
    if held.has_same_holder(requested):
        return held
    return replace(requested, generation=held.generation + 1)
