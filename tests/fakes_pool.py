"""Endpoints that change at random, and a reference ranking of all of them."""

import random
from collections.abc import Sequence

from cuminstack.core import EndpointId, InstanceId, JobKey, ZoneName
from cuminstack.pool import (
    EndpointReport,
    JobRequest,
    Phase,
    QueueTerms,
    Resources,
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


def expected_candidates(
    endpoints: Sequence[Endpoint], service: str, now: float
) -> list[Endpoint]:
    """Return the endpoints of a service that may get starts, by a full scan."""
    accepting = [
        each
        for each in endpoints
        if each.report.service == service
        and each.phase is Phase.ready
        and not each.report.draining
        and not each.foreign_runs
    ]
    healthy = [
        each for each in accepting if not each.health.is_quarantined(now=now)
    ]
    return healthy or accepting


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


def expected_endpoint(
    endpoints: Sequence[Endpoint], job: Job, task: Task, now: float
) -> Endpoint | None:
    """Return the best endpoint of a full ranking; ties go to the first one."""
    step = job.steps[task.key.step]
    candidates = expected_candidates(endpoints, job.terms.service, now)
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


def make_endpoint(name: str, *labels: str) -> Endpoint:
    """Return an endpoint of 64 cores that serves `SERVICES[0]`."""
    report = EndpointReport(
        endpoint=EndpointId(name),
        lifetime=1,
        sequence=1,
        address=f'{name}:80',
        zone=ZoneName('zone'),
        service=SERVICES[0],
        room=Resources(64_000, 32768),
        labels=labels,
    )
    return Endpoint(report, token=1, number=1, on_change=lambda changed: None)


class RandomPool:
    """Endpoints that change at random, and jobs to place on them."""

    def __init__(
        self,
        seed: int,
        *,
        order: str = 'first-come',
        max_reservations: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.capacity_index = CapacityIndex()
        self.endpoints = [self._make_endpoint(number) for number in range(12)]
        self.order = order
        self.queue = JobQueue(find_order(order))
        self.table = JobTable(self.queue, term=1)
        self.assigner = Assigner(
            {each.report.endpoint: each for each in self.endpoints},
            self.capacity_index,
            self.queue,
            max_reservations=max_reservations,
        )
        self.jobs = 0

    def _make_report(self, number: int) -> EndpointReport:
        rng = self.rng
        return EndpointReport(
            endpoint=EndpointId(str(number)),
            lifetime=1,
            sequence=1,
            address=str(number),
            zone=ZoneName('zone'),
            service=rng.choice(SERVICES),
            room=Resources(rng.choice((8000, 16000)), rng.choice((200, 800))),
            labels=tuple(rng.sample(_LABELS, rng.randint(0, 2))),
            draining=rng.choice((True, False, False, False)),
            cold_seconds=rng.choice((0, 0, 0, 1)),
        )

    def _make_endpoint(self, number: int) -> Endpoint:
        endpoint = Endpoint(
            self._make_report(number),
            token=1,
            number=number,
            on_change=self.capacity_index.mark_changed,
        )
        endpoint.phase = Phase.ready
        return endpoint

    def change(self) -> None:
        self.now += self.rng.choice((0, 0.01, 0.5))
        for ending in self.rng.sample(self.endpoints, 3):
            self._end_run(ending)
        endpoint = self.rng.choice(self.endpoints)
        changes = (
            self._change_phase,
            self._change_foreign_runs,
            self._change_health,
            self._change_report,
        )
        self.rng.choice(changes)(endpoint)

    def _end_run(self, endpoint: Endpoint) -> None:
        for key in tuple(endpoint.runs)[:1]:
            endpoint.remove(key)

    def _change_phase(self, endpoint: Endpoint) -> None:
        draw = self.rng.randint(0, 4)
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
        if self.rng.choice((True, False, False)):
            endpoint.add_foreign_run(RunKey(TaskKey(JobKey('other'), 0, 0), 1))

    def _change_health(self, endpoint: Endpoint) -> None:
        health = endpoint.health
        draw = self.rng.randint(0, 3)
        if draw == 0:
            health.quarantine(now=self.now)
        elif draw == 1:
            health.record_failure(JobKey(str(self.jobs)), now=self.now)
        else:
            health.record_success(self.rng.choice((1, 1, 8)))

    def _change_report(self, endpoint: Endpoint) -> None:
        endpoint.report = self._make_report(endpoint.number)

    def create_job(self) -> Job:
        rng = self.rng
        self.jobs += 1
        step = Step(
            count=3,
            needs=Resources(rng.choice((2000, 6800)), rng.choice((64, 300))),
            label=rng.choice(('', '', 'large')),
            rack=rng.choice(('', 'rack-1')),
            spread=rng.choice((0, 0, 1)),
        )
        key = JobKey(str(self.jobs))
        submission = Submission(
            request=JobRequest(key, 'queue', 'payload', (step,)),
            terms=QueueTerms('queue', rng.choice(SERVICES)),
            entry=InstanceId('entry'),
            arrived_at=self.now,
            deadline=self.now + 1,
        )
        job = self.table.create(submission)
        for task in job.tasks.values():
            names = rng.sample(range(12), rng.choice((0, 0, 2, 12)))
            task.failed_on = tuple(EndpointId(str(name)) for name in names)
        return job

    def submit_job(self) -> None:
        """Add a job of an entry instance that is in contact."""
        job = self.create_job()
        self.assigner.record_entry_contact(job.submission.entry, self.now)
        self.table.add(job)
