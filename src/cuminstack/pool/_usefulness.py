"""Usefulness of jobs over time, on which admission and shedding are based.

An answer is in time until the objective of its job, late until the end of
usefulness, and useless after that: a time-utility function with two steps
(Jensen, Locke and Tokuda, "A time-driven scheduling model for real-time
operating systems", RTSS 1985).
"""

from typing import Final

from cuminstack.pool._jobs import USEFUL_FACTOR, Job, critical_path_seconds
from cuminstack.pool._records import JobRequest, QueueTerms

#: Factor on declared run times that allows for wrong ones.  They are off by up
#: to 40%, and longer run times put off the objective by more than the answer.
_MAX_DECLARED_ERROR: Final = 1.5


def end_of_usefulness(job: Job, *, pace: float = 1) -> float:
    """Return the time in seconds after which an answer is useless.

    It is the deadline of the caller if the queue has no objective, or if run
    times aren't declared, so that the objective isn't known.

    Args:
        job: The job.
        pace: Ratio of its actual to its expected run times.
    """
    has_objective = job.terms.slack > 0 or job.terms.stretch > 1
    if has_objective and all(step.estimate for step in job.steps):
        return job.useful_until_at(pace)
    return job.submission.deadline


def can_be_useful(job: Job, start: float) -> bool:
    """Return whether a job that has not run can be useful.

    Args:
        job: A job of which no task has run.
        start: Time in seconds at which its first tasks start.
    """
    return start + job.remaining_path <= end_of_usefulness(job)


def meets_deadline(job: Job, start: float) -> bool:
    """Return whether a job that starts at a time ends by its deadline."""
    return job.finish_time(start) <= job.submission.deadline


def should_be_refused(job: Job, *, now: float) -> bool:
    """Return whether a waiting job can't be useful any more and has not run.

    A job of which any task may have run is never refused, as a refusal states
    that no task has run.
    """
    return not (job.may_have_run or can_be_useful(job, now))


def should_be_ended(job: Job, *, now: float) -> bool:
    """Return whether a job that may have run can't be useful any more.

    It is ended only while none of its tasks can be running and tasks wait.
    Its remaining time is compared at the lowest run time that was measured
    for it, so a job that takes several times as long as usual isn't mistaken
    for one that is late.
    """
    if job.has_active_runs or not job.may_have_run or job.is_done:
        return False
    if now < job.submission.held_until:
        return False
    pace = job.pace
    finish = now + job.remaining_path * pace
    return finish > end_of_usefulness(job, pace=pace)


def latest_useful_start(
    request: JobRequest,
    terms: QueueTerms,
    *,
    arrived_at: float,
    deadline: float,
) -> float:
    """Return the time after which a job that starts can't be useful.

    It depends on declared run times only, for instances that don't know the
    actual ones, and errs on the late side.

    Args:
        request: The job.
        terms: Terms of its queue.
        arrived_at: When its caller submitted it, in seconds.
        deadline: When its caller stops waiting, in seconds.

    Returns:
        The time in seconds; the deadline if the queue has no objective, or if
        run times aren't declared.
    """
    has_objective = terms.slack > 0 or terms.stretch > 1
    declared = tuple(
        step.estimate * _MAX_DECLARED_ERROR for step in request.steps
    )
    if not (has_objective and all(declared)):
        return deadline
    path = critical_path_seconds(request.steps, declared)
    span = USEFUL_FACTOR * (path * terms.stretch + terms.slack)
    return min(arrived_at + span - path, deadline)
