"""Tests of the job queue against a full sort at each event."""

import random

import pytest

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.pool import (
    JobRequest,
    JobState,
    QueueTerms,
    Resources,
    Step,
    Submission,
    find_order,
    order_names,
)
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job, TaskState
from cuminstack.pool._orders import Rank
from cuminstack.pool._queue import JobQueue

_SERVICES = ('desk', 'press')


def _make_submission(key: str, rng: random.Random, now: float) -> Submission:
    """Make a random job of two steps, the second after the first."""
    steps = tuple(
        Step(
            count=rng.randint(1, 3),
            needs=Resources(rng.choice((4000, 6800, 8000)), 64),
            estimate=rng.choice((0, 0.06, 0.2, 0.9)),
            after=after,
        )
        for after in ((), (0,))
    )
    # Rounded times, so that some jobs have the same sort key.
    arrived_at = round(now - rng.random(), 1)
    return Submission(
        request=JobRequest(JobKey(key), 'queue', 'payload', steps),
        terms=QueueTerms(
            rng.choice(('urgent', 'other')),
            rng.choice(_SERVICES),
            priority=rng.randint(0, 2),
            stretch=1.6,
            slack=0.06,
        ),
        entry=InstanceId('entry'),
        arrived_at=arrived_at,
        deadline=arrived_at + rng.uniform(0.5, 3),
    )


class _RandomQueue:
    """A queue whose jobs arrive, run, are resubmitted and leave at random."""

    def __init__(self, order: str, seed: int) -> None:
        self.rng = random.Random(seed)
        self.order = find_order(order)
        self.queue = JobQueue(self.order)
        self.table = JobTable(self.queue, term=1)
        self.now = 1000.0

    def step(self) -> None:
        if self.rng.choice((True, False, False)):
            self.now += self.rng.choice((0.0005, 0.02, 0.3))
        key = str(self.rng.randint(0, 60))
        job = self.table.find(JobKey(key))
        if job is None:
            submission = _make_submission(key, self.rng, self.now)
            self.table.add(self.table.create(submission))
            return
        self.rng.choice(
            (self._begin, self._begin, self._finish, self._leave, self._resume)
        )(job)

    def _begin(self, job: Job) -> None:
        for task in job.ready_tasks[:1]:
            job.begin(task, EndpointId('endpoint'))

    def _finish(self, job: Job) -> None:
        placed = [
            task
            for task in job.tasks.values()
            if task.state is TaskState.placed
        ]
        for task in placed[:1]:
            job.requeue(task)
            if self.rng.choice((True, True, False)):
                job.finish(task)

    def _leave(self, job: Job) -> None:
        if self.rng.choice((True, False)):
            self.table.abandon(job, now=self.now)
        else:
            self.table.end(job, JobState.failed, now=self.now)
        self.table.discard_if_done(job)

    def _resume(self, job: Job) -> None:
        key = job.submission.request.key
        self.table.resume(_make_submission(key, self.rng, self.now))

    def sorted_jobs(self) -> list[Job]:
        waiting = [
            job
            for job in self.table.live
            if any(
                task.state is TaskState.waiting for task in job.tasks.values()
            )
        ]
        return sorted(waiting, key=lambda job: self.order(job, self.now).key)


class TestOrder:
    """Jobs whose ranks change with events and with time alone."""

    # Guards against a job that keeps a stale rank: under any load with a
    # backlog it would starve, or go before more urgent jobs.
    @pytest.mark.parametrize('order', order_names())
    @pytest.mark.parametrize('seed', range(4))
    def test_ranks_are_never_stale(self, order: str, seed: int) -> None:
        model = _RandomQueue(order, seed)
        for _ in range(800):
            model.step()
            if model.rng.choice((True, False)):
                found = model.queue.waiting(now=model.now)
                assert [each.job for each in found] == model.sorted_jobs()

    # Guards against refusals under overload that rest on a wrong wait.
    @pytest.mark.parametrize('order', order_names())
    @pytest.mark.parametrize('seed', range(4))
    def test_work_ahead_matches_full_sum(self, order: str, seed: int) -> None:
        model = _RandomQueue(order, seed)
        for number in range(400):
            model.step()
            submission = _make_submission(f'new{number}', model.rng, model.now)
            job = model.table.create(submission)
            key = model.order(job, model.now).key
            ahead = [
                other.waiting_work
                for other in model.sorted_jobs()
                if other.terms.service == job.terms.service
                and model.order(other, model.now).key <= key
            ]
            work = model.queue.work_ahead(job, now=model.now)
            assert work == pytest.approx(sum(ahead))
            running = sum(other.running_work for other in model.table.live)
            found = model.queue.running_work(now=model.now)
            assert found == pytest.approx(running)


class TestBacklog:
    """Several hundred jobs that wait while events arrive."""

    # Guards against a backlog that saturates the dispatcher's processor.
    def test_backlog_is_not_ranked_at_every_event(self) -> None:
        ranked: list[JobKey] = []

        def rank(job: Job, now: float) -> Rank:
            ranked.append(job.submission.request.key)
            return find_order('useful-first')(job, now)

        queue = JobQueue(rank)
        table = JobTable(queue, term=1)
        rng = random.Random(1)
        for number in range(300):
            submission = _make_submission(str(number), rng, 1000)
            table.add(table.create(submission))
        queue.waiting(now=1000)
        ranked.clear()
        for event in range(1001):
            queue.waiting(now=1000 + event / 1000)
        # Each job leaves two bands at most, and is ranked at each event only
        # within 1 ms of that.
        assert len(ranked) <= 300 * 2 * 4
        ranked.clear()
        job = table.live[7]
        job.begin(job.ready_tasks[0], EndpointId('endpoint'))
        queue.waiting(now=1001)
        assert ranked == [job.submission.request.key]
