"""Jobs of a dispatcher, from submission until they are discarded."""

from collections import Counter
from dataclasses import replace
from itertools import count, islice
from typing import Final

from cuminstack.core import JobKey
from cuminstack.pool._effects import JobEnded, JobState
from cuminstack.pool._jobs import Job, Submission, Task
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._records import TaskKey
from cuminstack.pool._run_times import RunTimeEstimator

#: Seconds for which the state of an ended job is kept.  A client sends a job
#: again after 1.3 s, to an entry instance that may need as long again to find
#: the dispatcher.
_RETENTION_SECONDS: Final = 10.0
#: Records that one sweep examines at most; there are ten sweeps a second.
_MAX_SWEPT_JOBS: Final = 500
#: Run numbers that one term of a dispatcher may use for a task.
_RUN_NUMBERS_PER_TERM: Final = 1000


class JobTable:
    """Jobs by key.

    Args:
        queue: Queue of the waiting jobs.
        term: Term of the dispatcher; run numbers of later terms are higher.
    """

    def __init__(self, queue: JobQueue, *, term: int) -> None:
        self._queue = queue
        self._numbers = count()
        self._first_number = (term - 1) * _RUN_NUMBERS_PER_TERM
        self._jobs: dict[JobKey, Job] = {}
        self._ended: dict[JobKey, tuple[float, JobState | None, int]] = {}
        self._refused: dict[JobKey, float] = {}
        self._run_times = RunTimeEstimator()
        self._live: tuple[Job, ...] | None = None

    @property
    def live(self) -> tuple[Job, ...]:
        """Jobs that a client still waits for."""
        if self._live is None:
            jobs = self._jobs.values()
            self._live = tuple(job for job in jobs if not job.abandoned)
        return self._live

    @property
    def waiting(self) -> dict[str, int]:
        """Number of jobs without a started task, by queue."""
        counts: Counter[str] = Counter()
        for job in self.live:
            counts[job.terms.name] += not job.is_started
        return counts

    def begin_term(self, term: int) -> None:
        """Number the runs of new jobs above those of earlier terms."""
        self._first_number = (term - 1) * _RUN_NUMBERS_PER_TERM

    def find(self, key: JobKey) -> Job | None:
        """Return a job, abandoned or not, or None if it is unknown."""
        return self._jobs.get(key)

    def find_task(self, key: TaskKey) -> Task | None:
        """Return a task of a job, or None if it is unknown."""
        job = self._jobs.get(key.job)
        return None if job is None else job.tasks.get(key)

    def recent_outcome(self, key: JobKey) -> JobState | None:
        """Return the final state of a job that ended recently."""
        ended = self._ended.get(key)
        return None if ended is None else ended[1]

    def was_refused(self, submission: Submission) -> bool:
        """Return whether a job was refused after its client submitted it.

        In that case another entry instance had the job as well, and has told
        the client that it never runs.  It may run only if the client submits
        it again later.
        """
        refused_at = self._refused.get(submission.request.key)
        return refused_at is not None and submission.arrived_at <= refused_at

    def record_refusal(self, key: JobKey, *, now: float) -> None:
        """Record that a client was told that a job never runs."""
        self._refused.pop(key, None)
        self._refused[key] = now

    def resume(self, submission: Submission) -> Job | None:
        """Give a known job its new entry instance and deadline.

        What the previous entry instance reported of runs elsewhere still holds.

        Returns:
            The job, or None if it is unknown.
        """
        job = self._jobs.get(submission.request.key)
        if job is not None:
            previous = job.submission
            job.submission = replace(
                submission,
                held_until=max(previous.held_until, submission.held_until),
                is_resumed=previous.is_resumed or submission.is_resumed,
                may_run_elsewhere=previous.may_run_elsewhere
                or submission.may_run_elsewhere,
            )
            job.abandoned = False
            self._mark_changed(job)
        return job

    def add(self, job: Job) -> None:
        """Add a job."""
        key = job.submission.request.key
        self._ended.pop(key, None)
        self._jobs[key] = job
        self._mark_changed(job)

    def create(self, submission: Submission) -> Job:
        """Create a job whose run numbers are above those already used."""
        key = submission.request.key
        _, _, number = self._ended.get(key, (0, None, 0))
        number = max(number, self._first_number)
        queue = submission.terms.name
        expected_seconds = tuple(
            self._run_times.expect(queue, step.estimate)
            for step in submission.request.steps
        )
        return Job(
            submission,
            first_number=number,
            expected_seconds=expected_seconds,
            number=next(self._numbers),
            on_change=self._queue.mark_changed,
        )

    def expect(self, job: Job, task: TaskKey) -> float:
        """Return the run time of a task that its queue suggests by now.

        Unlike `Job.expected_seconds`, it uses what was learned since the job
        was created.
        """
        declared = job.steps[task.step].estimate
        return self._run_times.expect(job.terms.name, declared)

    def learn(self, job: Job, task: Task, seconds: float) -> None:
        """Record the run time of a task that is done.

        Args:
            job: The job.
            task: Task of the job.
            seconds: Its run time at slowness 1.0, in seconds.
        """
        declared = job.steps[task.key.step].estimate
        self._run_times.learn(
            job.terms.name,
            declared,
            seconds,
            is_first=not task.key.index,
        )

    def end(self, job: Job, state: JobState, *, now: float) -> JobEnded:
        """Record the final state of a job; its runs are still to be stopped."""
        key = job.submission.request.key
        job.abandoned = True
        self._record_outcome(job, state, now)
        return JobEnded(key, job.submission.entry, state)

    def abandon(self, job: Job, *, now: float) -> None:
        """Mark a job that no client waits for any more."""
        job.abandoned = True
        self._record_outcome(job, None, now)

    def discard_if_done(self, job: Job) -> None:
        """Discard an abandoned job once none of its tasks runs."""
        if job.abandoned and not job.has_active_runs:
            self._jobs.pop(job.submission.request.key, None)

    def sweep(self, *, now: float) -> None:
        """Discard the records of jobs that ended or were refused long ago."""
        # The oldest records come first.
        for key, ended in tuple(islice(self._ended.items(), _MAX_SWEPT_JOBS)):
            if now - ended[0] > _RETENTION_SECONDS:
                self._ended.pop(key)
        for refused, since in tuple(
            islice(self._refused.items(), _MAX_SWEPT_JOBS)
        ):
            if now - since > _RETENTION_SECONDS:
                self._refused.pop(refused)

    def _record_outcome(
        self, job: Job, state: JobState | None, now: float
    ) -> None:
        self._mark_changed(job)
        key = job.submission.request.key
        highest = max(task.number for task in job.tasks.values())
        self._ended.pop(key, None)
        self._ended[key] = (now, state, highest)

    def _mark_changed(self, job: Job) -> None:
        self._live = None
        self._queue.mark_changed(job)
