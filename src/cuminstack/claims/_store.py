"""Bounded store of the registers of one replica."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, replace

from cuminstack.claims._register import Register
from cuminstack.claims._values import Claim, Entry
from cuminstack.core import InstanceId, JobId


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of what a replica holds.

    Args:
        lifetime: Seconds that a claim is held from its first vote, and again
            from its outcome.
        jobs: Maximum number of jobs; beyond it no new job is voted on.
        outcome_bytes: Maximum total size of all outcomes; beyond it an
            outcome is discarded and only the claim is held.
    """

    lifetime: float = 600
    jobs: int = 200_000
    outcome_bytes: int = 32_000_000


class Store:
    """Registers by job, each with its own expiry."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._registers: dict[JobId, Register] = {}
        self._expiries: list[tuple[float, JobId]] = []
        self._outcome_bytes = 0

    def __len__(self) -> int:
        return len(self._registers)

    @property
    def outcome_bytes(self) -> int:
        """Total size of all held outcomes, in bytes."""
        return self._outcome_bytes

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of jobs is reached."""
        return len(self._registers) >= self._limits.jobs

    def get(self, job: JobId) -> Register | None:
        """Return the register of a job, or None."""
        return self._registers.get(job)

    def get_or_create(self, job: JobId, *, now: float) -> Register:
        """Return the register of a job; create it if it is missing."""
        register = self._registers.get(job)
        if register is None:
            expires_at = now + self._limits.lifetime
            register = Register(expires_at=expires_at)
            self._registers[job] = register
            heapq.heappush(self._expiries, (expires_at, job))
        return register

    def adopt(self, entry: Entry, *, now: float) -> None:
        """Merge a job from another replica, regardless of the limits."""
        known = self._registers.get(entry.job)
        register = self.get_or_create(entry.job, now=now)
        expires_at = now + min(entry.left, self._limits.lifetime)
        if known is not None:
            expires_at = max(expires_at, register.expires_at)
        register.expires_at = expires_at
        register.add_voters(entry.voters)
        old_size = _outcome_size(register)
        register.adopt(entry.state)
        self._outcome_bytes += _outcome_size(register) - old_size

    def settle(
        self,
        job: JobId,
        claim: Claim,
        outcome: bytes,
        *,
        now: float,
    ) -> None:
        """Record an outcome and restart the claim's lifetime.

        The outcome is discarded if it exceeds the limit on their total size.
        """
        register = self.get_or_create(job, now=now)
        register.expires_at = now + self._limits.lifetime
        old_size = _outcome_size(register)
        available = self._limits.outcome_bytes - self._outcome_bytes + old_size
        register.settle(claim, outcome if len(outcome) <= available else None)
        self._outcome_bytes += _outcome_size(register) - old_size

    def shared_with(self, instance: InstanceId) -> tuple[JobId, ...]:
        """Return the jobs that have another instance as a replica, too."""
        return tuple(
            job
            for job, register in self._registers.items()
            if instance in register.voters
        )

    def entries(
        self,
        jobs: Iterable[JobId],
        *,
        now: float,
    ) -> tuple[Entry, ...]:
        """Return the state of these jobs for a handover."""
        found = ((job, self._registers.get(job)) for job in jobs)
        return tuple(
            Entry(
                job=job,
                state=replace(register.state, firm=False),
                voters=tuple(sorted(register.voters)),
                left=register.expires_at - now,
            )
            for job, register in found
            if register is not None
        )

    def expire(self, *, now: float) -> None:
        """Drop registers that have expired."""
        while self._expiries and self._expiries[0][0] <= now:
            _, job = heapq.heappop(self._expiries)
            register = self._registers.get(job)
            if register is None:
                continue
            if register.expires_at <= now:
                self._outcome_bytes -= _outcome_size(register)
                self._registers.pop(job)
            else:
                heapq.heappush(self._expiries, (register.expires_at, job))


def _outcome_size(register: Register) -> int:
    return len(register.state.outcome or b'')
