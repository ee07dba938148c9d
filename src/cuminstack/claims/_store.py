"""The registers of one replica, within stated bounds."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, replace

from cuminstack.claims._register import Register
from cuminstack.claims._values import Claim, Entry
from cuminstack.core import InstanceId, JobId


@dataclass(frozen=True, slots=True)
class Limits:
    """How much a replica holds.

    Args:
        lifetime: Seconds that a claim is held from its first vote, and again
            from its outcome.
        jobs: Jobs beyond which no new one is voted on.
        outcome_bytes: Bytes of all outcomes together; outcomes beyond are
            left out, the claim stays.
    """

    lifetime: float = 600
    jobs: int = 200_000
    outcome_bytes: int = 32_000_000


class Store:
    """Registers by job; each expires by its own time."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._registers: dict[JobId, Register] = {}
        self._expiries: list[tuple[float, JobId]] = []
        self._outcome_bytes = 0

    def __len__(self) -> int:
        return len(self._registers)

    @property
    def outcome_bytes(self) -> int:
        """Bytes of all outcomes that are held."""
        return self._outcome_bytes

    @property
    def is_full(self) -> bool:
        """Whether no new job may be voted on."""
        return len(self._registers) >= self._limits.jobs

    def get(self, job: JobId) -> Register | None:
        """Give the register of a job, if there is one."""
        return self._registers.get(job)

    def open(self, job: JobId, *, now: float) -> Register:
        """Give the register of a job; make it if it is missing."""
        register = self._registers.get(job)
        if register is None:
            expires_at = now + self._limits.lifetime
            register = Register(expires_at=expires_at)
            self._registers[job] = register
            heapq.heappush(self._expiries, (expires_at, job))
        return register

    def adopt(self, entry: Entry, *, now: float) -> None:
        """Take a job over from another replica; bounds don't apply."""
        known = self._registers.get(entry.job)
        register = self.open(entry.job, now=now)
        expires_at = now + min(entry.left, self._limits.lifetime)
        if known is not None:
            expires_at = max(expires_at, register.expires_at)
        register.expires_at = expires_at
        register.involve(entry.voters)
        held = _size(register)
        register.adopt(entry.state)
        self._outcome_bytes += _size(register) - held

    def settle(
        self,
        job: JobId,
        claim: Claim,
        outcome: bytes,
        *,
        now: float,
    ) -> None:
        """Record an outcome and let the claim live on from now."""
        register = self.open(job, now=now)
        register.expires_at = now + self._limits.lifetime
        held = _size(register)
        room = self._limits.outcome_bytes - self._outcome_bytes + held
        register.settle(claim, outcome if len(outcome) <= room else None)
        self._outcome_bytes += _size(register) - held

    def shared_with(self, instance: InstanceId) -> tuple[JobId, ...]:
        """Give the jobs that another instance is a replica of, too."""
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
        """Give what is held on some jobs, for another replica."""
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
        """Drop what outlived its lifetime."""
        while self._expiries and self._expiries[0][0] <= now:
            _, job = heapq.heappop(self._expiries)
            register = self._registers.get(job)
            if register is None:
                continue
            if register.expires_at <= now:
                self._outcome_bytes -= _size(register)
                self._registers.pop(job)
            else:
                heapq.heappush(self._expiries, (register.expires_at, job))


def _size(register: Register) -> int:
    return len(register.state.outcome or b'')
