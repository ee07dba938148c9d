"""All jobs that one instance accepted."""

import hashlib
from collections import Counter
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, Instance, JobId, MemberName, TaskId
from cuminstack.jobs._job import Job, TaskState
from cuminstack.jobs._outcomes import KeptOutcome, OutcomeStore
from cuminstack.jobs._types import (
    FailureReason,
    FreeSlot,
    JobEffect,
    JobEffects,
    JobEnded,
    JobRequest,
    Outcome,
    Queue,
    RefusalReason,
    SendStart,
    StartEnd,
)

#: Attempts that may end as not started, per task of a job, before it ends.
_RETRIES_PER_TASK: Final = 2

#: Least number of such attempts that every job is allowed.
_LEAST_RETRIES: Final = 8

#: Bytes of the number of a run, and attempts that each run has numbers for.
_RUN_BYTES: Final = 5
_ATTEMPTS_PER_RUN: Final = 100_000

#: Longest time that an endpoint may hold a start back, in seconds.
_START_WITHIN_SECONDS: Final = 2.0

#: Seconds after which a retry of a job that nobody started can help.
_RETRY_AFTER_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class Strays:
    """Results that matched no attempt in progress, by their end."""

    counts: Counter[StartEnd]


class JobBook:
    """Decides every start of the jobs that were accepted here.

    Args:
        own: This instance.
        outcomes: Where ended jobs are kept for resends.
    """

    def __init__(self, own: Instance, outcomes: OutcomeStore) -> None:
        self._own = own
        self._opened = 0
        self._outcomes = outcomes
        self._running: dict[JobId, Job] = {}
        self._queued: Counter[MemberName] = Counter()
        self._strays: Counter[StartEnd] = Counter()

    @property
    def running(self) -> int:
        """Number of jobs in progress."""
        return len(self._running)

    @property
    def running_by_member(self) -> Counter[MemberName]:
        """Number of jobs in progress, by member."""
        return Counter(job.member for job in self._running)

    @property
    def strays(self) -> Strays:
        """Late or duplicate results, which were dropped."""
        return Strays(Counter(self._strays))

    @property
    def queued(self) -> int:
        """Number of tasks that wait for a slot here."""
        return self._queued.total()

    def queued_of(self, member: MemberName) -> int:
        """Count the tasks of a member that wait for a slot here."""
        return self._queued[member]

    def find(self, job: JobId) -> Job | None:
        """Give a job in progress."""
        return self._running.get(job)

    def ended(self, job: JobId) -> KeptOutcome | None:
        """Give the kept outcome of a job that ended here."""
        return self._outcomes.get(job)

    def open(self, request: JobRequest, *, now: float) -> JobEffects:
        """Take a job on; its key must be neither running nor kept."""
        self._opened += 1
        job = Job(
            request,
            accepted_at=now,
            first_attempt=_first_attempt(self._own, self._opened),
        )
        self._running[request.job] = job
        self._queued[request.job.member] += len(request.tasks)
        return (Queue(job.queued()),)

    def close(
        self,
        request: JobRequest,
        outcome: Outcome,
        *,
        now: float,
    ) -> JobEffects:
        """Keep the outcome of a job that was never opened here."""
        self._outcomes.put(request.job, outcome, request.digest, now=now)
        return (JobEnded(request.job, outcome),)

    def start(
        self,
        task: TaskId,
        endpoint: EndpointId,
        *,
        now: float,
    ) -> JobEffects:
        """Start an attempt in the slot that the policy found for it.

        The slot is freed at once if the attempt must not start any more.
        """
        job = self._running.get(task.job)
        if job is None or not job.is_current(task, TaskState.queued):
            return (FreeSlot(task, endpoint, started=False),)
        left = job.deadline - now
        if left <= 0:
            return (FreeSlot(task, endpoint, started=False),)
        job.start(task, endpoint)
        self._queued[task.job.member] -= 1
        start = SendStart(
            task=task,
            endpoint=endpoint,
            service=job.request.service,
            payload=job.request.tasks[task.index].payload,
            start_within=min(left, _START_WITHIN_SECONDS),
            expected=job.request.tasks[task.index].expected,
        )
        return (start,)

    def finish(
        self,
        task: TaskId,
        endpoint: EndpointId,
        end: StartEnd,
        *,
        answer: bytes = b'',
        now: float,
    ) -> JobEffects:
        """Take the end of an attempt that was sent."""
        freed = FreeSlot(
            task,
            endpoint,
            started=end is not StartEnd.not_started,
        )
        job = self._running.get(task.job)
        if job is None or not job.is_current(task, TaskState.started):
            self._strays[end] += 1
            return (freed,)
        if end is StartEnd.answered:
            job.answer(task, answer)
            return (freed, *self._settle(job, now=now))
        if end is StartEnd.not_started:
            return (freed, *self._retry(job, task, now=now))
        return (freed, *self._lose(job, task, end, now=now))

    def cancel(self, job_id: JobId, *, now: float) -> JobEffects:
        """End a job because its caller asked for it."""
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
        """End the jobs whose deadline has passed; forget old outcomes."""
        self._outcomes.expire(now=now)
        late = [job for job in self._running.values() if job.deadline <= now]
        effects: list[JobEffect] = []
        for job in late:
            effects.extend(self._pass_deadline(job, now=now))
        return tuple(effects)

    def lose_lease(self, job_id: JobId, *, now: float) -> JobEffects:
        """End a job that this instance can no longer vouch for."""
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
        """End all jobs, as this instance ends."""
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

    def _pass_deadline(self, job: Job, *, now: float) -> JobEffects:
        return self._give_up(
            job,
            FailureReason.deadline_passed,
            RefusalReason.deadline_passed,
            now=now,
        )

    def _retry(self, job: Job, task: TaskId, *, now: float) -> JobEffects:
        again = job.requeue(task)
        self._queued[task.job.member] += 1
        allowed = _LEAST_RETRIES + _RETRIES_PER_TASK * len(job.request.tasks)
        if job.retries <= allowed:
            return (Queue((job.queued_task(again.index),)),)
        return self._give_up(
            job,
            FailureReason.not_started,
            RefusalReason.not_started,
            now=now,
        )

    def _lose(
        self,
        job: Job,
        task: TaskId,
        end: StartEnd,
        *,
        now: float,
    ) -> JobEffects:
        state = TaskState.unknown
        failure = FailureReason.task_unknown
        if end is StartEnd.failed:
            state = TaskState.failed
            failure = FailureReason.task_failed
        job.lose(task, state)
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
        return (*effects, *self._settle(job, now=now))

    def _settle(self, job: Job, *, now: float) -> JobEffects:
        if job.outcome is None:
            return ()
        request = job.request
        self._running.pop(request.job)
        self._outcomes.put(request.job, job.outcome, request.digest, now=now)
        return (JobEnded(request.job, job.outcome),)


def _first_attempt(own: Instance, serial: int) -> int:
    """Number the attempts of a run, so that no two runs share a number.

    A job may run again after it was refused, or at another instance; its
    endpoints may still know the task ids of the run before.
    """
    run = f'{own.instance} {own.incarnation} {serial}'
    digest = hashlib.blake2b(run.encode(), digest_size=_RUN_BYTES).digest()
    return int.from_bytes(digest) * _ATTEMPTS_PER_RUN + 1
