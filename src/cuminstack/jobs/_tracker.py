"""Tracking of all jobs that one instance accepted."""

import hashlib
from collections import Counter
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, Instance, JobId, MemberName, TaskId
from cuminstack.jobs._job import Job, TaskState
from cuminstack.jobs._outcomes import OutcomeStore, StoredOutcome
from cuminstack.jobs._types import (
    AttemptOutcome,
    EnqueueTasks,
    FailureReason,
    FreeSlot,
    JobEffect,
    JobEffects,
    JobEnded,
    JobRequest,
    Outcome,
    RefusalReason,
    SendStart,
)

#: Retries per task that a job may make after attempts that did not start.
_RETRIES_PER_TASK: Final = 2

#: Retries that a job of any size may make in addition.
_BASE_RETRIES: Final = 8

#: Size of the hash that identifies a run of a job, in bytes.
_RUN_HASH_BYTES: Final = 5
#: Attempt numbers reserved for each run.
_ATTEMPTS_PER_RUN: Final = 100_000

#: Longest delay after which an endpoint may still start a task, in seconds.
_MAX_START_DELAY_SECONDS: Final = 2.0

#: Time after which a caller may retry a job that was not started, in seconds.
_RETRY_AFTER_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class UnmatchedResults:
    """Number of results that matched no attempt in progress, by outcome."""

    counts: Counter[AttemptOutcome]


class JobTracker:
    """Tracks the jobs that this instance accepted and starts their tasks.

    Args:
        own: This instance.
        outcomes: Store of the outcomes of ended jobs, for resends.
    """

    def __init__(self, own: Instance, outcomes: OutcomeStore) -> None:
        self._own = own
        self._accepted_jobs = 0
        self._outcomes = outcomes
        self._running: dict[JobId, Job] = {}
        self._queued: Counter[MemberName] = Counter()
        self._unmatched: Counter[AttemptOutcome] = Counter()

    @property
    def running(self) -> int:
        """Number of jobs in progress."""
        return len(self._running)

    @property
    def running_by_member(self) -> Counter[MemberName]:
        """Number of jobs in progress, by member."""
        return Counter(job.member for job in self._running)

    @property
    def unmatched_results(self) -> UnmatchedResults:
        """Numbers of late and duplicate results, which were ignored."""
        return UnmatchedResults(Counter(self._unmatched))

    @property
    def queued(self) -> int:
        """Number of tasks that wait for a slot here."""
        return self._queued.total()

    def queued_of(self, member: MemberName) -> int:
        """Return the number of tasks of a member that wait for a slot here."""
        return self._queued[member]

    def find(self, job: JobId) -> Job | None:
        """Return a job in progress, or None."""
        return self._running.get(job)

    def ended(self, job: JobId) -> StoredOutcome | None:
        """Return the stored outcome of a job that ended here, or None."""
        return self._outcomes.get(job)

    def accept(self, request: JobRequest, *, now: float) -> JobEffects:
        """Accept a job and queue its tasks.

        The job must neither be in progress nor have a stored outcome.
        """
        self._accepted_jobs += 1
        job = Job(
            request,
            accepted_at=now,
            first_attempt=_first_attempt_number(self._own, self._accepted_jobs),
        )
        self._running[request.job] = job
        self._queued[request.job.member] += len(request.tasks)
        return (EnqueueTasks(job.queued()),)

    def record_outcome(
        self,
        request: JobRequest,
        outcome: Outcome,
        *,
        now: float,
    ) -> JobEffects:
        """Store the outcome of a job that this instance never accepted."""
        self._outcomes.put(request.job, outcome, request.digest, now=now)
        return (JobEnded(request.job, outcome),)

    def start(
        self,
        task: TaskId,
        endpoint: EndpointId,
        *,
        now: float,
    ) -> JobEffects:
        """Start an attempt in the slot that the dispatch policy assigned.

        If the attempt must not start any more, the slot is released at once.
        """
        job = self._running.get(task.job)
        if job is None or not job.is_current(task, TaskState.queued):
            return (FreeSlot(task, endpoint, started=False),)
        left = job.deadline - now
        if left <= 0:
            return (FreeSlot(task, endpoint, started=False),)
        job.mark_started(task, endpoint)
        self._queued[task.job.member] -= 1
        start = SendStart(
            task=task,
            endpoint=endpoint,
            service=job.request.service,
            payload=job.request.tasks[task.index].payload,
            start_within=min(left, _MAX_START_DELAY_SECONDS),
            expected=job.request.tasks[task.index].expected,
        )
        return (start,)

    def finish(
        self,
        task: TaskId,
        endpoint: EndpointId,
        end: AttemptOutcome,
        *,
        answer: bytes = b'',
        now: float,
    ) -> JobEffects:
        """Record the end of an attempt that was sent to an endpoint."""
        freed = FreeSlot(
            task,
            endpoint,
            started=end is not AttemptOutcome.not_started,
        )
        job = self._running.get(task.job)
        if job is None or not job.is_current(task, TaskState.started):
            self._unmatched[end] += 1
            return (freed,)
        if end is AttemptOutcome.answered:
            job.record_answer(task, answer)
            return (freed, *self._remove_if_ended(job, now=now))
        if end is AttemptOutcome.not_started:
            return (freed, *self._retry_task(job, task, now=now))
        return (freed, *self._end_after_failure(job, task, end, now=now))

    def cancel(self, job_id: JobId, *, now: float) -> JobEffects:
        """End a job at the request of its caller."""
        job = self._running.get(job_id)
        if job is None:
            return ()
        return self._give_up(
            job,
            FailureReason.cancelled,
            RefusalReason.cancelled,
            now=now,
        )

    def tick(self, *, now: float) -> JobEffects:
        """End jobs whose deadline has passed; remove expired outcomes."""
        self._outcomes.expire(now=now)
        overdue = [job for job in self._running.values() if job.deadline <= now]
        effects: list[JobEffect] = []
        for job in overdue:
            effects.extend(self._end_at_deadline(job, now=now))
        return tuple(effects)

    def lose_lease(self, job_id: JobId, *, now: float) -> JobEffects:
        """End a job whose lease this instance no longer holds."""
        job = self._running.get(job_id)
        if job is None:
            return ()
        return self._give_up(
            job,
            FailureReason.lease_lost,
            RefusalReason.overloaded,
            now=now,
        )

    def shut_down(self, *, now: float) -> JobEffects:
        """End all jobs because this instance shuts down."""
        effects: list[JobEffect] = []
        for job in tuple(self._running.values()):
            ended = self._give_up(
                job,
                FailureReason.shutting_down,
                RefusalReason.shutting_down,
                now=now,
            )
            effects.extend(ended)
        return tuple(effects)

    def _end_at_deadline(self, job: Job, *, now: float) -> JobEffects:
        return self._give_up(
            job,
            FailureReason.deadline_passed,
            RefusalReason.deadline_passed,
            now=now,
        )

    def _retry_task(self, job: Job, task: TaskId, *, now: float) -> JobEffects:
        next_attempt = job.requeue(task)
        self._queued[task.job.member] += 1
        allowed = _BASE_RETRIES + _RETRIES_PER_TASK * len(job.request.tasks)
        if job.retries <= allowed:
            return (EnqueueTasks((job.queued_task(next_attempt.index),)),)
        return self._give_up(
            job,
            FailureReason.not_started,
            RefusalReason.not_started,
            now=now,
        )

    def _end_after_failure(
        self,
        job: Job,
        task: TaskId,
        end: AttemptOutcome,
        *,
        now: float,
    ) -> JobEffects:
        state = TaskState.unknown
        failure = FailureReason.task_unknown
        if end is AttemptOutcome.failed:
            state = TaskState.failed
            failure = FailureReason.task_failed
        job.mark_unanswered(task, state)
        detail = f'task {task.index}'
        return self._give_up(
            job,
            failure,
            RefusalReason.not_started,
            now=now,
            detail=detail,
        )

    def _give_up(
        self,
        job: Job,
        failure: FailureReason,
        refusal: RefusalReason,
        *,
        now: float,
        detail: str = '',
    ) -> JobEffects:
        self._queued[job.request.job.member] -= len(job.queued())
        effects = job.give_up(
            failure,
            refusal,
            retry_after=_RETRY_AFTER_SECONDS,
            detail=detail,
        )
        return (*effects, *self._remove_if_ended(job, now=now))

    def _remove_if_ended(self, job: Job, *, now: float) -> JobEffects:
        if job.outcome is None:
            return ()
        request = job.request
        self._running.pop(request.job)
        self._outcomes.put(request.job, job.outcome, request.digest, now=now)
        return (JobEnded(request.job, job.outcome),)


def _first_attempt_number(own: Instance, serial: int) -> int:
    """Return the first attempt number of a run of a job.

    No two runs may share attempt numbers: a job may run again after a
    refusal or at another instance, while endpoints still know the task ids
    of the earlier run.

    Args:
        own: The instance that runs the job.
        serial: Number of jobs that the instance has accepted so far.
    """
    run = f'{own.instance} {own.incarnation} {serial}'
    digest = hashlib.blake2b(run.encode(), digest_size=_RUN_HASH_BYTES).digest()
    return int.from_bytes(digest) * _ATTEMPTS_PER_RUN + 1
