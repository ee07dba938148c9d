"""Admission rules: which jobs are refused as they would finish too late."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.pool._effects import JobRefused, RefusalReason
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._jobs import Job
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._records import Step
from cuminstack.pool._rooms import CapacityIndex
from cuminstack.pool._usefulness import can_be_useful, meets_deadline

#: Retry delay if no endpoint serves the job; endpoints send a heartbeat
#: every 1.5 s.
_NO_ENDPOINT_RETRY_SECONDS: Final = 1.5
#: Retry delay if no endpoint is large enough; a larger one may join.
_NO_ROOM_RETRY_SECONDS: Final = 5.0
#: Share of the capacity that tasks of unequal size can use at once: three
#: tasks of 6.8 cores fit into 24 cores, and two into 16.
_USABLE_SHARE: Final = 0.85
#: Average share of a running task that is still to be done.
_REMAINING_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class Load:
    """Load ahead of a job, from which its waiting time is estimated.

    Args:
        capacity_index: Endpoints and their capacity, by service.
        queue: Jobs that were admitted earlier.
        counts_running: Whether the rest of all running work counts as work
            ahead.  A job then seems to wait longer than it does in a pool of
            many endpoints, where some run ends at any time.
    """

    capacity_index: CapacityIndex
    queue: JobQueue
    counts_running: bool = False

    def estimate_wait(self, job: Job, *, now: float) -> float:
        """Return the seconds until a job that arrives now can start.

        The estimate is the work ahead of the job, divided by the usable
        capacity of its service.
        """
        waiting = self.queue.work_ahead(job, now=now)
        if not waiting:
            return 0
        capacity = self.capacity_index.capacity(job.terms.service, now=now)
        if self.counts_running:
            running = self.queue.running_work(now=now)
            waiting += running * _REMAINING_SHARE
        return waiting / max(1, capacity * _USABLE_SHARE)


def find_refusal(
    job: Job, load: Load, *, now: float, sheds_useless: bool = True
) -> JobRefused | None:
    """Return the refusal of a newly arrived job, or None to admit it.

    Args:
        job: A job that has just arrived.
        load: Load ahead of the job.
        now: Current time in seconds.
        sheds_useless: Whether the job must be useful, instead of only end by
            its deadline.

    Returns:
        A refusal if no endpoint serves the job, if no endpoint is large
        enough, or if the answer would come too late to be useful.
    """
    members = load.capacity_index.members(job.terms.service)
    if not members:
        reason = RefusalReason.not_serving
        return _refuse(job, reason, _NO_ENDPOINT_RETRY_SECONDS)
    if not all(_fits_anywhere(step, members) for step in job.steps):
        return _refuse(job, RefusalReason.no_room, _NO_ROOM_RETRY_SECONDS)
    wait = load.estimate_wait(job, now=now)
    is_served = (
        can_be_useful(job, now + wait)
        if sheds_useless
        else meets_deadline(job, now + wait)
    )
    if is_served:
        return None
    return _refuse(job, RefusalReason.overload, wait)


def find_evacuation_refusal(job: Job, load: Load) -> JobRefused | None:
    """Return the refusal of a waiting job whose service is fully evacuated.

    Args:
        job: A waiting job.
        load: Load ahead of the job.

    Returns:
        None if an endpoint outside the evacuated zones serves the job, or if a
        task of the job may have run.
    """
    is_served = not load.capacity_index.is_evacuated(job.terms.service)
    if is_served or job.may_have_run:
        return None
    return _refuse(job, RefusalReason.not_serving, _NO_ENDPOINT_RETRY_SECONDS)


def make_overload_refusal(job: Job, load: Load, *, now: float) -> JobRefused:
    """Return a refusal for overload, with the estimated wait as retry delay."""
    wait = load.estimate_wait(job, now=now)
    return _refuse(job, RefusalReason.overload, wait)


def _refuse(job: Job, reason: RefusalReason, seconds: float) -> JobRefused:
    submission = job.submission
    return JobRefused(submission.request.key, submission.entry, reason, seconds)


def _fits_anywhere(step: Step, endpoints: Iterable[Endpoint]) -> bool:
    return any(
        endpoint.report.room.can_fit(step.needs)
        and (not step.label or step.label in endpoint.report.labels)
        for endpoint in endpoints
    )
