"""The waiting jobs in order: the same as if sorted anew at each event."""

import random

import pytest

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.pool import (
    JobRequest,
    JobState,
    QueueTerms,
    Room,
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


def _submission(key: str, chance: random.Random, now: float) -> Submission:
    """Draw a job of two steps, the second after the first."""
    steps = tuple(
        Step(
            count=chance.randint(1, 3),
            needs=Room(chance.choice((4000, 6800, 8000)), 64),
            estimate=chance.choice((0, 0.06, 0.2, 0.9)),
            after=after,
        )
        for after in ((), (0,))
    )
    # Times on a grid, so that some jobs have the same key.
    arrived_at = round(now - chance.random(), 1)
    return Submission(
        request=JobRequest(JobKey(key), 'queue', 'payload', steps),
        terms=QueueTerms(
            chance.choice(('urgent', 'other')),
            chance.choice(_SERVICES),
            priority=chance.randint(0, 2),
            stretch=1.6,
            slack=0.06,
        ),
        entry=InstanceId('entry'),
        arrived_at=arrived_at,
        deadline=arrived_at + chance.uniform(0.5, 3),
    )


class _Course:
    """Jobs that come, run, are handed over again, and leave, at random."""

    def __init__(self, order: str, seed: int) -> None:
        self.chance = random.Random(seed)
        self.order = find_order(order)
        self.queue = JobQueue(self.order)
        self.table = JobTable(self.queue, term=1)
        self.now = 1000.0

    def go_on(self) -> None:
        if self.chance.choice((True, False, False)):
            self.now += self.chance.choice((0.0005, 0.02, 0.3))
        key = str(self.chance.randint(0, 60))
        job = self.table.find(JobKey(key))
        if job is None:
            draw = _submission(key, self.chance, self.now)
            self.table.add(self.table.create(draw))
            return
        self.chance.choice(
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
            if self.chance.choice((True, True, False)):
                job.finish(task)

    def _leave(self, job: Job) -> None:
        if self.chance.choice((True, False)):
            self.table.abandon(job, now=self.now)
        else:
            self.table.end(job, JobState.failed, now=self.now)
        self.table.discard_if_done(job)

    def _resume(self, job: Job) -> None:
        key = job.submission.request.key
        self.table.resume(_submission(key, self.chance, self.now))

    def sorted_anew(self) -> list[Job]:
        waiting = [
            job
            for job in self.table.live
            if any(
                task.state is TaskState.waiting for task in job.tasks.values()
            )
        ]
        return sorted(waiting, key=lambda job: self.order(job, self.now).key)


class TestOrder:
    """Jobs whose place changes by events and by time alone."""

    # Guards against a job that keeps a stale place: it would starve, or go
    # before more urgent ones, under any load with a backlog.
    @pytest.mark.parametrize('order', order_names())
    @pytest.mark.parametrize('seed', range(4))
    def test_stale_place_starves_nobody(self, order: str, seed: int) -> None:
        course = _Course(order, seed)
        for _ in range(800):
            course.go_on()
            if course.chance.choice((True, False)):
                found = course.queue.waiting(now=course.now)
                assert [each.job for each in found] == course.sorted_anew()

    # Guards against refusals by a wrong wait under overload.
    @pytest.mark.parametrize('order', order_names())
    @pytest.mark.parametrize('seed', range(4))
    def test_overload_counts_the_work_ahead(
        self, order: str, seed: int
    ) -> None:
        course = _Course(order, seed)
        for number in range(400):
            course.go_on()
            draw = _submission(f'new{number}', course.chance, course.now)
            job = course.table.create(draw)
            key = course.order(job, course.now).key
            ahead = [
                other.waiting_work
                for other in course.sorted_anew()
                if other.terms.service == job.terms.service
                and course.order(other, course.now).key <= key
            ]
            work = course.queue.work_ahead(job, now=course.now)
            assert work == pytest.approx(sum(ahead))
            running = sum(other.running_work for other in course.table.live)
            found = course.queue.running_work(now=course.now)
            assert found == pytest.approx(running)


class TestBacklog:
    """Several hundred jobs wait while events come in."""

    # Guards against a dispatcher whose processor is taken up by its backlog.
    def test_backlog_is_not_ranked_at_each_event(self) -> None:
        ranked: list[JobKey] = []

        def rank(job: Job, now: float) -> Rank:
            ranked.append(job.submission.request.key)
            return find_order('useful-first')(job, now)

        queue = JobQueue(rank)
        table = JobTable(queue, term=1)
        chance = random.Random(1)
        for number in range(300):
            draw = _submission(str(number), chance, 1000)
            table.add(table.create(draw))
        queue.waiting(now=1000)
        ranked.clear()
        for event in range(1001):
            queue.waiting(now=1000 + event / 1000)
        # Each job leaves two bands at most, and is close to it for 1 ms.
        assert len(ranked) <= 300 * 2 * 4
        ranked.clear()
        job = table.live[7]
        job.begin(job.ready_tasks[0], EndpointId('endpoint'))
        queue.waiting(now=1001)
        assert ranked == [job.submission.request.key]
