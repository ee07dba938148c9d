"""Admission control: refuses jobs on arrival and while they wait."""

from collections.abc import Iterator

from cuminstack.pool._admission import (
    Load,
    find_evacuation_refusal,
    find_refusal,
    make_overload_refusal,
)
from cuminstack.pool._effects import Effect, Effects, JobRefused, JobState
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job
from cuminstack.pool._notes import refusal_event, useless_event
from cuminstack.pool._usefulness import (
    meets_deadline,
    should_be_ended,
    should_be_refused,
)


class AdmissionControl:
    """Refuses or ends jobs that can't be useful, and records it.

    Args:
        jobs: All known jobs.
        load: Load ahead of a job.
        sheds_useless: Whether jobs are refused or ended once they can't be
            useful, instead of at their deadlines.
    """

    def __init__(
        self,
        jobs: JobTable,
        load: Load,
        *,
        sheds_useless: bool = True,
    ) -> None:
        self._jobs = jobs
        self._load = load
        self._sheds_useless = sheds_useless

    def check_admission(self, job: Job, *, now: float) -> Effects:
        """Refuse a job that arrives, or return no effects if it is admitted."""
        refusal = self._find_refusal(job, now)
        if refusal is None:
            return ()
        return self._refuse(job, refusal, now)

    def shed_waiting(self, *, now: float) -> Iterator[Effect]:
        """Refuse or end waiting jobs that can no longer be useful.

        Jobs whose service has all its endpoints in evacuated zones are refused
        as well.

        Yields:
            The refusals, the ends of jobs that may have run, and log events.
        """
        for job in self._jobs.live:
            refusal = self._find_shedding(job, now)
            if refusal is not None:
                self._jobs.abandon(job, now=now)
                self._jobs.discard_if_done(job)
                yield from self._refuse(job, refusal, now)
            elif self._should_be_ended(job, now):
                yield useless_event(job, now=now)
                yield self._jobs.end(job, JobState.useless, now=now)
                self._jobs.discard_if_done(job)

    def _should_be_ended(self, job: Job, now: float) -> bool:
        """Return whether a job is useless and others wait for its capacity.

        Without others, its end costs nobody anything, and the caller may
        still have a use for it.
        """
        if not (self._sheds_useless and should_be_ended(job, now=now)):
            return False
        return self._load.queue.has_others(job, now=now)

    def _refuse(self, job: Job, refusal: JobRefused, now: float) -> Effects:
        self._jobs.record_refusal(refusal.job, now=now)
        return (refusal, refusal_event(refusal, job, now=now))

    def _find_shedding(self, job: Job, now: float) -> JobRefused | None:
        is_late = (
            should_be_refused(job, now=now)
            if self._sheds_useless
            else not (job.may_have_run or meets_deadline(job, now))
        )
        if is_late:
            return make_overload_refusal(job, self._load, now=now)
        return find_evacuation_refusal(job, self._load)

    def _find_refusal(self, job: Job, now: float) -> JobRefused | None:
        load = self._load
        if self._jobs.was_refused(job.submission):
            return make_overload_refusal(job, load, now=now)
        if job.may_have_run:
            return None
        return find_refusal(
            job, load, now=now, sheds_useless=self._sheds_useless
        )
