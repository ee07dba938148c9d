"""The leases that one replica has granted.

Leases are best effort: a replica that restarted forgets them and still
answers, as an idempotent job may run twice.
"""

from dataclasses import dataclass, replace

from cuminstack.claims._lease_messages import Lease, LeaseRequest
from cuminstack.core import JobId


@dataclass(frozen=True, slots=True)
class _Granted:
    """A lease, until a time in seconds."""

    lease: Lease
    until: float


class LeaseTable:
    """Leases by job.

    Args:
        lifetime: Seconds that a lease is remembered after it ran out.
        jobs: Leases beyond which the oldest is dropped.
    """

    def __init__(self, *, lifetime: float, jobs: int) -> None:
        self._lifetime = lifetime
        self._jobs = jobs
        self._granted: dict[JobId, _Granted] = {}

    def __len__(self) -> int:
        return len(self._granted)

    def ask(self, request: LeaseRequest, *, now: float) -> Lease:
        """Give the asker's lease if it is free or its own, else the other."""
        asked = request.lease
        held = self._granted.pop(request.job, None)
        if held is not None:
            if not held.lease.is_of(asked) and now < held.until:
                self._granted[request.job] = held
                return held.lease
            asked = _succeed(held.lease, asked)
        granted = _Granted(asked, now + request.seconds)
        self._granted[request.job] = granted
        if len(self._granted) > self._jobs:
            self._granted.pop(next(iter(self._granted)))
        return asked

    def expire(self, *, now: float) -> None:
        """Forget leases that ran out long ago; the oldest come first."""
        for job in tuple(self._granted):
            if self._granted[job].until + self._lifetime > now:
                break
            self._granted.pop(job)


def _succeed(held: Lease, asked: Lease) -> Lease:
    """Give the next generation to a new holder, the same to the old."""
    if held.is_of(asked):
        return held
    return replace(asked, generation=held.generation + 1)
