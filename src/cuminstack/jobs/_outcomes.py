"""Outcomes that are kept for resends, within bounds of time and memory."""

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

#: Memory that an outcome costs beside its answers, in bytes.
_ENTRY_BYTES: Final = 512


@dataclass(frozen=True, slots=True)
class KeptOutcome:
    """An outcome, the digest of its submission, and when it is dropped."""

    outcome: Outcome
    digest: bytes
    until: float


def outcome_bytes(outcome: Outcome) -> int:
    """Estimate the memory of an outcome, in bytes."""
    if isinstance(outcome, Complete):
        return _ENTRY_BYTES + sum(map(len, outcome.answers))
    return _ENTRY_BYTES


class OutcomeStore:
    """Keeps outcomes for a lifetime, oldest dropped first when full.

    An outcome whose answers had to be dropped before its lifetime ended is
    kept as `outcome-expired`, so that a resend is never run again.

    Args:
        lifetime: Seconds that an outcome is kept.
        max_bytes: Bound on the memory of all answers.
    """

    def __init__(self, *, lifetime: float, max_bytes: int) -> None:
        self._lifetime = lifetime
        self._max_bytes = max_bytes
        self._kept: OrderedDict[JobId, KeptOutcome] = OrderedDict()
        self._whole: OrderedDict[JobId, int] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    def get(self, job: JobId) -> KeptOutcome | None:
        """Give the outcome of a job, or none if it isn't kept."""
        return self._kept.get(job)

    def put(
        self,
        job: JobId,
        outcome: Outcome,
        digest: bytes,
        *,
        now: float,
    ) -> None:
        """Keep an outcome, in place of an earlier one of the same job."""
        self._drop(job)
        self._kept[job] = KeptOutcome(outcome, digest, now + self._lifetime)
        size = outcome_bytes(outcome)
        self._whole[job] = size
        self._bytes += size
        while self._bytes > self._max_bytes:
            self._strip_oldest()

    def expire(self, *, now: float) -> None:
        """Drop the outcomes whose lifetime is over."""
        while self._kept:
            job, kept = next(iter(self._kept.items()))
            if kept.until > now:
                return
            self._drop(job)

    def _drop(self, job: JobId) -> None:
        self._kept.pop(job, None)
        self._bytes -= self._whole.pop(job, 0)

    def _strip_oldest(self) -> None:
        job, size = self._whole.popitem(last=False)
        self._bytes -= size
        kept = self._kept[job]
        if isinstance(kept.outcome, Complete):
            expired = Failed(FailureReason.outcome_expired)
            self._kept[job] = KeptOutcome(expired, kept.digest, kept.until)
