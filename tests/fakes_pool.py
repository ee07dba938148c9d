"""Endpoints that change at random, and where tasks go if all are ranked."""

import random
from collections.abc import Sequence

from cuminstack.core import EndpointId, InstanceId, JobKey, ZoneName
from cuminstack.pool import (
    EndpointReport,
    JobRequest,
    Phase,
    QueueTerms,
    Room,
    RunKey,
    Step,
    Submission,
    TaskKey,
    find_order,
)
from cuminstack.pool._assignment import Assigner
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._health import MAX_SLOWDOWN
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._rooms import CapacityIndex

SERVICES = ('desk', 'press')
_LABELS = ('rack-1', 'rack-2', 'large')


def starters_anew(
    endpoints: Sequence[Endpoint], service: str, now: float
) -> list[Endpoint]:
    takers = [
        each
        for each in endpoints
        if each.report.service == service
        and each.phase is Phase.ready
        and not each.report.draining
        and not each.foreign_runs
    ]
    sound = [each for each in takers if not each.health.is_quarantined(now=now)]
    return sound or takers


def _fits(endpoint: Endpoint, task: Task, step: Step) -> bool:
    used = [run.needs for run in endpoint.runs.values()]
    room = endpoint.report.room
    copies = sum(
        run.task.job == task.key.job and run.task.step == task.key.step
        for run in endpoint.runs
    )
    millicores = sum(each.millicores for each in (step.needs, *used))
    memory = sum(each.memory_mb for each in (step.needs, *used))
    obstacles = (
        millicores > room.millicores,
        memory > room.memory_mb,
        endpoint.health.is_on_probation and endpoint.runs,
        step.label and step.label not in endpoint.report.labels,
        step.spread and copies >= step.spread,
    )
    return not any(obstacles)


def find_anew(
    endpoints: Sequence[Endpoint], job: Job, task: Task, now: float
) -> Endpoint | None:
    """Rank all endpoints, the first known first among equals."""
    step = job.steps[task.key.step]
    candidates = starters_anew(endpoints, job.terms.service, now)
    untried = [
        each
        for each in candidates
        if each.report.endpoint not in task.failed_on
    ]
    return min(
        (each for each in untried or candidates if _fits(each, task, step)),
        key=lambda each: [
            each.health.is_quarantined(now=now),
            each.health.slowdown > MAX_SLOWDOWN,
            bool(each.report.cold_seconds),
            bool(step.rack) and step.rack not in each.report.labels,
            each.health.has_failures,
            each.free.millicores,
        ],
        default=None,
    )


class RandomPool:
    """Endpoints that change at random, and jobs to place there."""

    def __init__(self, seed: int, *, order: str = 'first-come') -> None:
        self.chance = random.Random(seed)
        self.now = 1000.0
        self.capacity_index = CapacityIndex()
        self.endpoints = [self._endpoint(number) for number in range(12)]
        self.order = order
        self.queue = JobQueue(find_order(order))
        self.table = JobTable(self.queue, term=1)
        self.assigner = Assigner(
            {each.report.endpoint: each for each in self.endpoints},
            self.capacity_index,
            self.queue,
        )
        self.jobs = 0

    def _report(self, number: int) -> EndpointReport:
        chance = self.chance
        return EndpointReport(
            endpoint=EndpointId(str(number)),
            lifetime=1,
            sequence=1,
            address=str(number),
            zone=ZoneName('zone'),
            service=chance.choice(SERVICES),
            room=Room(chance.choice((8000, 16000)), chance.choice((200, 800))),
            labels=tuple(chance.sample(_LABELS, chance.randint(0, 2))),
            draining=chance.choice((True, False, False, False)),
            cold_seconds=chance.choice((0, 0, 0, 1)),
        )

    def _endpoint(self, number: int) -> Endpoint:
        made = Endpoint(
            self._report(number),
            token=1,
            number=number,
            on_change=self.capacity_index.mark_changed,
        )
        made.phase = Phase.ready
        return made

    def change(self) -> None:
        self.now += self.chance.choice((0, 0.01, 0.5))
        for ending in self.chance.sample(self.endpoints, 3):
            self._end(ending)
        endpoint = self.chance.choice(self.endpoints)
        changes = (
            self._change_phase,
            self._change_foreign_runs,
            self._change_health,
            self._change_report,
        )
        self.chance.choice(changes)(endpoint)

    def _end(self, endpoint: Endpoint) -> None:
        for key in tuple(endpoint.runs)[:1]:
            endpoint.remove(key)

    def _change_phase(self, endpoint: Endpoint) -> None:
        draw = self.chance.randint(0, 4)
        if draw == 0:
            endpoint.fence(2, Phase.voiding)
        elif draw == 1:
            endpoint.phase = Phase.silent
            endpoint.clear()
        else:
            endpoint.phase = Phase.ready

    def _change_foreign_runs(self, endpoint: Endpoint) -> None:
        for key in tuple(endpoint.foreign_runs):
            endpoint.remove_foreign_run(key)
        if self.chance.choice((True, False, False)):
            endpoint.add_foreign_run(RunKey(TaskKey(JobKey('other'), 0, 0), 1))

    def _change_health(self, endpoint: Endpoint) -> None:
        health = endpoint.health
        draw = self.chance.randint(0, 3)
        if draw == 0:
            health.quarantine(now=self.now)
        elif draw == 1:
            health.record_failure(JobKey(str(self.jobs)), now=self.now)
        else:
            health.record_success(self.chance.choice((1, 1, 8)))

    def _change_report(self, endpoint: Endpoint) -> None:
        endpoint.report = self._report(endpoint.number)

    def job(self) -> Job:
        chance = self.chance
        self.jobs += 1
        step = Step(
            count=3,
            needs=Room(chance.choice((2000, 6800)), chance.choice((64, 300))),
            label=chance.choice(('', '', 'large')),
            rack=chance.choice(('', 'rack-1')),
            spread=chance.choice((0, 0, 1)),
        )
        key = JobKey(str(self.jobs))
        submission = Submission(
            request=JobRequest(key, 'queue', 'payload', (step,)),
            terms=QueueTerms('queue', chance.choice(SERVICES)),
            entry=InstanceId('entry'),
            arrived_at=self.now,
            deadline=self.now + 1,
        )
        job = self.table.create(submission)
        for task in job.tasks.values():
            names = chance.sample(range(12), chance.choice((0, 0, 2, 12)))
            task.failed_on = tuple(EndpointId(str(name)) for name in names)
        return job

    def come(self) -> None:
        """Have a job come, of an entry that is heard."""
        job = self.job()
        self.assigner.entry_heard(job.submission.entry, self.now)
        self.table.add(job)
