"""Bounded store of job outcomes, from which resends are answered."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from cuminstack.core import JobId
from cuminstack.jobs._types import (
    Complete,
    Failed,
    FailureReason,
    Outcome,
)

#: Memory of an outcome without its answers, in bytes.
_ENTRY_OVERHEAD_BYTES: Final = 512


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """A stored outcome.

    Args:
        outcome: How the job ended.
        digest: Digest of the submission.
        expires_at: Time at which the entry is removed, in seconds.
    """

    outcome: Outcome
    digest: bytes
    expires_at: float


def outcome_bytes(outcome: Outcome) -> int:
    """Return the estimated memory of an outcome, in bytes."""
    if isinstance(outcome, Complete):
        return _ENTRY_OVERHEAD_BYTES + sum(map(len, outcome.answers))
    return _ENTRY_OVERHEAD_BYTES


class OutcomeStore:
    """Stores the outcomes of ended jobs for a limited time.

    When the memory limit is exceeded, the oldest answers are discarded
    first. The entry of such a job stays until its lifetime ends, with the
    outcome `outcome-expired`, so that a resend never runs the job again.

    Args:
        lifetime: Time for which an outcome is stored, in seconds.
        max_bytes: Limit on the memory of all outcomes with their answers.
    """

    def __init__(self, *, lifetime: float, max_bytes: int) -> None:
        self._lifetime = lifetime
        self._max_bytes = max_bytes
        self._entries: OrderedDict[JobId, StoredOutcome] = OrderedDict()
        self._sizes: OrderedDict[JobId, int] = OrderedDict()
        self._total_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, job: JobId) -> StoredOutcome | None:
        """Return the stored outcome of a job, or None."""
        return self._entries.get(job)

    def put(
        self,
        job: JobId,
        outcome: Outcome,
        digest: bytes,
        *,
        now: float,
    ) -> None:
        """Store an outcome, replacing an earlier one of the same job."""
        self._remove(job)
        self._entries[job] = StoredOutcome(
            outcome, digest, now + self._lifetime
        )
        size = outcome_bytes(outcome)
        self._sizes[job] = size
        self._total_bytes += size
        while self._total_bytes > self._max_bytes:
            self._discard_oldest_answers()

    def expire(self, *, now: float) -> None:
        """Remove the outcomes whose lifetime has ended."""
        while self._entries:
            job, entry = next(iter(self._entries.items()))
            if entry.expires_at > now:
                return
            self._remove(job)

    def _remove(self, job: JobId) -> None:
        self._entries.pop(job, None)
        self._total_bytes -= self._sizes.pop(job, 0)

    def _discard_oldest_answers(self) -> None:
        job, size = self._sizes.popitem(last=False)
        self._total_bytes -= size
        entry = self._entries[job]
        if isinstance(entry.outcome, Complete):
            expired = Failed(FailureReason.outcome_expired)
            self._entries[job] = StoredOutcome(
                expired,
                entry.digest,
                entry.expires_at,
            )
