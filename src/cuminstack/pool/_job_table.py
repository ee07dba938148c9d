"""The jobs of a dispatcher, from submission until they are forgotten."""

from collections import Counter
from dataclasses import replace
from itertools import count, islice
from typing import Final

from cuminstack.core import JobKey
from cuminstack.pool._effects import JobEnded, JobState
from cuminstack.pool._jobs import Job, Submission, Task
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._records import TaskKey
from cuminstack.pool._run_times import RunTimes

#: Seconds that an ended job is remembered for.  A caller sends again after
#: 1.3 s, to an entry that may need as long again to find the dispatcher.
_MEMORY_SECONDS: Final = 10.0
#: Jobs that one sweep looks at; sweeps come 50 times a second.
_SWEPT_JOBS: Final = 100
#: Run numbers that one term of a dispatcher may use for a task.
_NUMBERS_OF_TERM: Final = 1000


class JobTable:
    """Jobs by key.

    Args:
        queue: Keeps the waiting ones in order.
        term: Term of the dispatcher; run numbers of later terms are higher.
    """

    def __init__(self, queue: JobQueue, *, term: int) -> None:
        self._queue = queue
        self._numbers = count()
        self._first_number = (term - 1) * _NUMBERS_OF_TERM
        self._jobs: dict[JobKey, Job] = {}
        self._ended: dict[JobKey, tuple[float, JobState | None, int]] = {}
        self._refused: dict[JobKey, float] = {}
        self._times = RunTimes()
        self._live: tuple[Job, ...] | None = None

    @property
    def live(self) -> tuple[Job, ...]:
        """Jobs that someone waits for."""
        if self._live is None:
            jobs = self._jobs.values()
            self._live = tuple(job for job in jobs if not job.abandoned)
        return self._live

    @property
    def waiting(self) -> dict[str, int]:
        """Jobs of which nothing was started, by queue."""
        counts: Counter[str] = Counter()
        for job in self.live:
            counts[job.terms.name] += not job.is_started
        return counts

    def begin_term(self, term: int) -> None:
        """Number runs of new jobs above those of earlier terms."""
        self._first_number = (term - 1) * _NUMBERS_OF_TERM

    def find(self, key: JobKey) -> Job | None:
        """Give a job, abandoned or not."""
        return self._jobs.get(key)

    def find_task(self, key: TaskKey) -> Task | None:
        """Give a task of a job."""
        job = self._jobs.get(key.job)
        return None if job is None else job.tasks.get(key)

    def answer_of(self, key: JobKey) -> JobState | None:
        """Give the answer of a job that ended a short while ago."""
        ended = self._ended.get(key)
        return None if ended is None else ended[1]

    def was_refused(self, submission: Submission) -> bool:
        """Tell whether a job was refused after its caller submitted it.

        Another entry had it, too, and has said that it never runs.  Only a
        caller that submits it again, later, may have it run.
        """
        refused_at = self._refused.get(submission.request.key)
        return refused_at is not None and submission.arrived_at <= refused_at

    def refuse(self, key: JobKey, *, now: float) -> None:
        """Remember that a caller is told that a job never runs."""
        self._refused.pop(key, None)
        self._refused[key] = now

    def resume(self, submission: Submission) -> Job | None:
        """Give a job that is known the new entry and deadline.

        What another entry knew of runs elsewhere stays true.
        """
        job = self._jobs.get(submission.request.key)
        if job is not None:
            before = job.submission
            job.submission = replace(
                submission,
                held_until=max(before.held_until, submission.held_until),
                is_resumed=before.is_resumed or submission.is_resumed,
                is_blind=before.is_blind or submission.is_blind,
            )
            job.abandoned = False
            self._take_change(job)
        return job

    def add(self, job: Job) -> None:
        """Take a job."""
        key = job.submission.request.key
        self._ended.pop(key, None)
        self._jobs[key] = job
        self._take_change(job)

    def make(self, submission: Submission) -> Job:
        """Make a job, with run numbers above those that were used."""
        key = submission.request.key
        _, _, number = self._ended.get(key, (0, None, 0))
        number = max(number, self._first_number)
        queue = submission.terms.name
        seconds = tuple(
            self._times.expect(queue, step.estimate)
            for step in submission.request.steps
        )
        return Job(
            submission,
            first_number=number,
            seconds=seconds,
            number=next(self._numbers),
            changed=self._queue.note,
        )

    def learn(self, job: Job, task: Task, seconds: float) -> None:
        """Take the run time of a task that is done."""
        declared = job.steps[task.key.step].estimate
        self._times.learn(job.terms.name, declared, seconds)

    def end(self, job: Job, state: JobState, *, now: float) -> JobEnded:
        """Give a job its answer; its runs are to be stopped."""
        key = job.submission.request.key
        job.abandoned = True
        self._remember(job, state, now)
        return JobEnded(key, job.submission.entry, state)

    def abandon(self, job: Job, *, now: float) -> None:
        """Take that nobody waits for a job any more."""
        job.abandoned = True
        self._remember(job, None, now)

    def settle(self, job: Job) -> None:
        """Forget an abandoned job once nothing of it runs."""
        if job.abandoned and not job.runs_anything:
            self._jobs.pop(job.submission.request.key, None)

    def sweep(self, *, now: float) -> None:
        """Forget what ended long ago."""
        # The oldest come first.
        for key, ended in tuple(islice(self._ended.items(), _SWEPT_JOBS)):
            if now - ended[0] > _MEMORY_SECONDS:
                self._ended.pop(key)
        for refused, since in tuple(islice(self._refused.items(), _SWEPT_JOBS)):
            if now - since > _MEMORY_SECONDS:
                self._refused.pop(refused)

    def _remember(self, job: Job, state: JobState | None, now: float) -> None:
        self._take_change(job)
        key = job.submission.request.key
        highest = max(task.number for task in job.tasks.values())
        self._ended.pop(key, None)
        self._ended[key] = (now, state, highest)

    def _take_change(self, job: Job) -> None:
        self._live = None
        self._queue.note(job)
