"""Endpoints and jobs around an assigner, without orders and leases.

Runs end after their run time at the speed of their endpoint.  As there are no
holds, a site of some hundred endpoints takes seconds to simulate.
"""

import heapq
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Final

from bench.pool._sites import TASK_SPREAD, Site, SiteJob, site_jobs
from cuminstack.core import EndpointId, InstanceId, JobKey, ZoneName
from cuminstack.pool import (
    EndpointReport,
    JobRefused,
    JobRequest,
    JobState,
    Phase,
    QueueTerms,
    Resources,
    StartRun,
    Step,
    Submission,
    find_order,
)
from cuminstack.pool._admission import Load
from cuminstack.pool._assignment import Assigner
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._lookahead import MAX_RESERVATIONS
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._refuser import AdmissionControl
from cuminstack.pool._rooms import CapacityIndex

_ENTRY: Final = InstanceId('entry')
_SERVICE: Final = 'desk'
#: Seconds from the start order to the start, and from an end to its report.
_DELAY: Final = 0.002
_TICK: Final = 0.02
_SWEEP_TICKS: Final = 5
_STRETCH: Final = 1.6
_SLACK: Final = 0.062
_PATIENCE: Final = 1.5


@dataclass(order=True, slots=True)
class _Event:
    at: float
    number: int
    action: Callable[[], None] = field(compare=False)


@dataclass(slots=True)
class Served:
    """What became of a job.

    Args:
        job: The job.
        took: Seconds until its answer; None if it was refused.
    """

    job: SiteJob
    took: float | None = None

    @property
    def lateness(self) -> float:
        """Time to the answer as a multiple of the objective."""
        objective = self.job.seconds * _STRETCH + _SLACK
        return float('inf') if self.took is None else self.took / objective


class SiteWorld:
    """A site on simulated time.

    Args:
        site: The account.
        endpoints: Number of endpoints.
        seed: Seed of the draws.
        order: Name of the queue order.
        task_spread: Sigma of the run times of a job's tasks.
        max_reservations: Endpoints that are reserved at a time at most.
    """

    def __init__(
        self,
        site: Site,
        *,
        endpoints: int,
        seed: int,
        order: str = 'useful-first',
        task_spread: float = TASK_SPREAD,
        max_reservations: int = MAX_RESERVATIONS,
    ) -> None:
        self._task_spread = task_spread
        self._site = site
        self._rng = random.Random(seed + 1000)
        self.now = 1000.0
        self._until = self.now
        self.index = CapacityIndex(slowness=self._slowness)
        self.endpoints = {
            EndpointId(str(number)): self._make_endpoint(number)
            for number in range(endpoints)
        }
        self.queue = JobQueue(find_order(order))
        self.table = JobTable(self.queue, term=1)
        self.assigner = Assigner(
            self.endpoints,
            self.index,
            self.queue,
            slowness=self._slowness,
            max_reservations=max_reservations,
        )
        self._admission = AdmissionControl(
            self.table, Load(self.index, self.queue)
        )
        self._events: list[_Event] = []
        self._numbers = count()
        self._factors: dict[JobKey, SiteJob] = {}
        self.served: dict[JobKey, Served] = {}
        self.used_seconds: float = 0
        self.cpu_seconds: float = 0
        self.assigns = 0
        self.starts = 0
        self._ticks = 0

    def play(self, *, load: float, seconds: float, seed: int) -> None:
        """Let jobs arrive for a while, and let them end."""
        jobs = site_jobs(
            self._site,
            load=load,
            endpoints=len(self.endpoints),
            seconds=seconds,
            seed=seed,
        )
        self.play_jobs(jobs, seconds=seconds)

    def play_jobs(self, jobs: Iterable[SiteJob], *, seconds: float) -> None:
        """Let given jobs arrive, and let them end."""
        for job in jobs:
            self._at(self.now + job.at, partial(self._submit, job))
        self._until = self.now + seconds
        self._at(self.now, self._tick)
        while self._events and self._events[0].at <= self._until + _PATIENCE:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.action()

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, _Event(at, next(self._numbers), action))

    def _slowness(self, endpoint: EndpointId) -> float:
        return self._site.slowness_of(int(endpoint))

    def _make_endpoint(self, number: int) -> Endpoint:
        report = EndpointReport(
            endpoint=EndpointId(str(number)),
            lifetime=1,
            sequence=1,
            address=str(number),
            zone=ZoneName('zone'),
            service=_SERVICE,
            room=Resources(self._site.capacity(number), 32768),
        )
        endpoint = Endpoint(
            report,
            token=1,
            number=number,
            on_change=self.index.mark_changed,
        )
        endpoint.phase = Phase.ready
        endpoint.record_listing(0)
        return endpoint

    def _submit(self, drawn: SiteJob) -> None:
        key = JobKey(str(drawn.number))
        self._factors[key] = drawn
        self.served[key] = Served(drawn)
        needs = Resources(drawn.millicores, 64)
        step = Step(count=drawn.width, needs=needs, estimate=drawn.declared)
        submission = Submission(
            request=JobRequest(key, str(drawn.queue), '', (step,)),
            terms=QueueTerms(
                str(drawn.queue),
                _SERVICE,
                priority=drawn.kind.priority,
                stretch=_STRETCH,
                slack=_SLACK,
            ),
            entry=_ENTRY,
            arrived_at=self.now,
            deadline=self.now + _PATIENCE + drawn.seconds,
        )
        job = self.table.create(submission)
        if not self._admission.check_admission(job, now=self.now):
            self.table.add(job)
            self._assign()

    def _tick(self) -> None:
        self._ticks += 1
        if not self._ticks % _SWEEP_TICKS:
            self.table.sweep(now=self.now)
            for effect in self._admission.shed_waiting(now=self.now):
                assert not isinstance(effect, JobRefused) or effect.job
        self._assign()
        self._at(self.now + _TICK, self._tick)

    def _assign(self) -> None:
        self.assigner.record_entry_contact(_ENTRY, self.now)
        begun = time.thread_time()
        effects = self.assigner.assign(now=self.now)
        self.cpu_seconds += time.thread_time() - begun
        self.assigns += 1
        for effect in effects:
            if isinstance(effect, StartRun):
                self._start(effect)

    def _start(self, order: StartRun) -> None:
        self.starts += 1
        drawn = self._factors[order.run.task.job]
        factor = self._rng.lognormvariate(0, self._task_spread)
        seconds = drawn.seconds * factor * self._slowness(order.endpoint)
        used = max(0, min(self.now + seconds, self._until) - self.now)
        self.used_seconds += used * drawn.millicores
        self._at(self.now + seconds + _DELAY, partial(self._end, order))

    def _end(self, order: StartRun) -> None:
        key = order.run.task
        endpoint = self.endpoints[order.endpoint]
        run = endpoint.remove(order.run)
        job = self.table.find(key.job)
        assert run is not None
        assert job is not None
        task = job.tasks[key]
        seconds = self.now - run.sent_at
        job.requeue(task)
        self.table.learn(job, task, seconds / self._slowness(order.endpoint))
        job.finish(task)
        if job.is_done:
            self.table.end(job, JobState.completed, now=self.now)
            self.table.discard_if_done(job)
            served = self.served[key.job]
            served.took = self.now - job.submission.arrived_at
        self._assign()
