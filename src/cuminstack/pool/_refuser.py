"""Refuses jobs, when they come and while they wait."""

from collections.abc import Iterator

from cuminstack.pool._admission import (
    Load,
    is_hopeless,
    refusal_of,
    refusal_of_waiting,
)
from cuminstack.pool._effects import Effect, Effects, JobRefused
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job
from cuminstack.pool._notes import note_refusal


class Refuser:
    """Refuses jobs that can't be served, and remembers whom it has refused.

    Args:
        jobs: All known jobs.
        load: What jobs have to wait for.
    """

    def __init__(
        self,
        jobs: JobTable,
        load: Load,
    ) -> None:
        self._jobs = jobs
        self._load = load

    def judge(self, job: Job, *, now: float) -> Effects:
        """Refuse a job that comes, or give nothing if it may be taken."""
        refusal = self._refusal_of(job, now)
        if refusal is None:
            return ()
        return self._refuse(job, refusal, now)

    def refuse_hopeless(self, *, now: float) -> Iterator[Effect]:
        """Refuse the jobs that have waited too long to be of use."""
        for job in self._jobs.live:
            if is_hopeless(job, now=now):
                refusal = refusal_of_waiting(job, self._load, now=now)
                self._jobs.abandon(job, now=now)
                self._jobs.settle(job)
                yield from self._refuse(job, refusal, now)

    def _refuse(self, job: Job, refusal: JobRefused, now: float) -> Effects:
        self._jobs.refuse(refusal.job, now=now)
        return (refusal, note_refusal(refusal, job, now=now))

    def _refusal_of(self, job: Job, now: float) -> JobRefused | None:
        load = self._load
        if self._jobs.was_refused(job.submission):
            return refusal_of_waiting(job, load, now=now)
        return None if job.may_have_run else refusal_of(job, load, now=now)
