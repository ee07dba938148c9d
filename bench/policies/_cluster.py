"""Policies, endpoints and hops on one event loop."""

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

from bench.policies._load import Arrival
from cuminstack import wire
from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    JobId,
    JobKey,
    MemberName,
    Send,
    ServiceName,
    ServiceRef,
    StartTask,
    TaskId,
    ZoneName,
)
from cuminstack.slots import (
    Effects,
    Grant,
    LeasePolicy,
    MemberTerms,
    Policy,
    QueuedTask,
    SlotRequest,
    make_policy,
)

ZONES: Final = ('telavi', 'gurjaani', 'sighnaghi')
INSTANCES: Final = 9
ENDPOINTS: Final = 24
SLOTS: Final = 8
HOP_SECONDS: Final = 0.0005
_TICK_SECONDS: Final = 0.05
_HEARTBEAT_SECONDS: Final = 0.5
_SERVICE: Final = ServiceName('order-desk')
_ANY: Final = ServiceRef(MemberName('*'), ServiceName('*'))


@dataclass(slots=True)
class JobRun:
    """A job on its way: open tasks, and when the last was answered."""

    arrival: Arrival
    open: int
    started: Counter[int] = field(default_factory=Counter)
    done_at: float | None = None
    cancelled: bool = False

    @property
    def ideal(self) -> float:
        """Time with a free slot at once for each task, in seconds."""
        return max(self.arrival.runs) + 2 * HOP_SECONDS

    @property
    def twice(self) -> int:
        """Tasks that were started more than once."""
        return sum(count > 1 for count in self.started.values())

    @property
    def ratio(self) -> float | None:
        """Response time over the ideal; none if not done."""
        if self.done_at is None:
            return None
        return (self.done_at - self.arrival.at) / self.ideal


@dataclass(order=True, slots=True)
class _Event:
    at: float
    serial: int
    act: Callable[[], None] = field(compare=False)


def zone_of(number: int) -> ZoneName:
    """Deal instances and endpoints out over the zones."""
    return ZoneName(ZONES[number % len(ZONES)])


def instances() -> tuple[Instance, ...]:
    """Make the instances."""
    return tuple(
        Instance(InstanceId(f'i{number}'), zone_of(number), 1, '', '')
        for number in range(INSTANCES)
    )


def endpoints() -> tuple[EndpointRecord, ...]:
    """Make the endpoints."""
    return tuple(
        EndpointRecord(
            EndpointId(f'e{number}'),
            1,
            zone_of(number),
            '',
            (_ANY,),
            slots=SLOTS,
            connections=SLOTS * 8,
        )
        for number in range(ENDPOINTS)
    )


class Cluster:
    """One run of a policy over a sequence of jobs.

    Args:
        policy: Its registered name.
        seed: For the policies' own choices.
        terms: Of all members.
        hints: Whether heartbeats carry free slots; they aren't counted.
    """

    def __init__(
        self,
        policy: str,
        *,
        seed: int,
        terms: dict[str, MemberTerms],
        hints: bool = True,
    ) -> None:
        self.now: float = 0
        self.jobs: dict[JobId, JobRun] = {}
        self.messages: Counter[str] = Counter()
        self.waste: Counter[str] = Counter()
        self.use: Counter[str] = Counter()
        self.down: set[InstanceId] = set()
        self.lost: set[InstanceId] = set()
        self.gone: set[EndpointId] = set()
        self.room: Counter[EndpointId] = Counter(
            {record.endpoint: SLOTS for record in endpoints()},
        )
        self._hints = hints
        self._events: list[_Event] = []
        self._serial = 0
        self._awaited = 0
        self._running: Counter[EndpointId] = Counter()
        self.peers = instances()
        self.policies: dict[InstanceId, Policy] = {}
        for number, own in enumerate(self.peers):
            made = make_policy(policy, own, seed=seed * INSTANCES + number)
            self.policies[own.instance] = made
            self._boot(own.instance, made, terms)

    def run(self, jobs: Sequence[Arrival], until: float) -> None:
        """Let all jobs arrive, and go on until all are done, or a time.

        Messages are counted until then.
        """
        self._awaited = len(jobs)
        for number, job in enumerate(jobs):
            self.at(job.at, partial(self.submit, f'j{number}', job))
        for own in self.policies:
            self.at(_TICK_SECONDS, partial(self._tick, own))
            if self._hints:
                self.at(_HEARTBEAT_SECONDS, partial(self._beat, own))
        while self._awaited and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.act()
        for policy in self.policies.values():
            if isinstance(policy, LeasePolicy):
                self.waste['unused leases'] += policy.unused_leases

    def _boot(
        self,
        own: InstanceId,
        policy: Policy,
        terms: dict[str, MemberTerms],
    ) -> None:
        self.perform(own, policy.observe_instances(self.peers, now=0))
        self.perform(own, policy.apply_terms(terms, now=0))
        for record in endpoints():
            self.perform(own, policy.observe_endpoint(record, now=0))

    def at(self, at: float, event: Callable[[], None]) -> None:
        """Let something happen at a time."""
        self._serial += 1
        heapq.heappush(self._events, _Event(at, self._serial, event))

    def agree(self) -> None:
        """Give all that run a view of just these."""
        self.lost.update(self.down)
        alive = [each for each in self.peers if each.instance not in self.down]
        for own in alive:
            policy = self.policies[own.instance]
            effects = policy.observe_instances(alive, now=self.now)
            self.perform(own.instance, effects)

    def forget(self, endpoint: EndpointId) -> None:
        """Let all that run drop an endpoint."""
        for own, policy in self.policies.items():
            if own not in self.down:
                effects = policy.forget_endpoint(endpoint, now=self.now)
                self.perform(own, effects)

    def submit(self, key: str, job: Arrival) -> None:
        """Let a job arrive now."""
        member = MemberName(job.member)
        job_id = JobId(member, JobKey(key))
        self.jobs[job_id] = JobRun(job, len(job.runs))
        tasks = [
            QueuedTask(TaskId(job_id, index, 1), ServiceRef(member, _SERVICE))
            for index in range(len(job.runs))
        ]
        own = self.peers[job.instance].instance
        if own not in self.down:
            self.perform(own, self.policies[own].submit(tasks, now=self.now))

    def cancel_all(self) -> None:
        """Cancel what is queued of the jobs whose keys say `wave`."""
        for job_id, job in self.jobs.items():
            if job_id.key.startswith('wave'):
                job.cancelled = True
                self._withdraw(job_id, job)

    def _withdraw(self, job_id: JobId, job: JobRun) -> None:
        own = self.peers[job.arrival.instance].instance
        tasks = [
            TaskId(job_id, index, attempt)
            for index in range(len(job.arrival.runs))
            for attempt in (1, 2, 3)
        ]
        effects = self.policies[own].withdraw(tasks, now=self.now)
        self.perform(own, effects)

    def _tick(self, own: InstanceId) -> None:
        if own not in self.down:
            self.perform(own, self.policies[own].tick(now=self.now))
        self.at(self.now + _TICK_SECONDS, partial(self._tick, own))

    def _beat(self, own: InstanceId) -> None:
        policy = self.policies[own]
        self.at(self.now + _HEARTBEAT_SECONDS, partial(self._beat, own))
        if own in self.down or not isinstance(policy, LeasePolicy):
            return
        for peer, other in self.policies.items():
            if peer != own and isinstance(other, LeasePolicy):
                other.observe_summary(own, policy.summary, now=self.now)

    def perform(self, own: InstanceId, effects: Effects) -> None:
        """Do what a policy asks for."""
        for effect in effects:
            if isinstance(effect, StartTask):
                self.messages['start'] += 1
                begin = partial(self._begin, own, effect)
                self.at(self.now + HOP_SECONDS, begin)
            else:
                self._send(own, effect)

    def _send(self, own: InstanceId, effect: Send) -> None:
        message = effect.message
        self.messages[wire.kind_of(message)] += 1
        if isinstance(message, Grant) and not message.slots:
            self.waste['empty replies'] += 2
        if isinstance(message, SlotRequest) and not message.wanted:
            self.waste['cancelled asks'] += 1
        receive = partial(self._receive, effect.to, own, message)
        self.at(self.now + HOP_SECONDS, receive)

    def _receive(self, own: InstanceId, sender: InstanceId, body: Any) -> None:
        if own in self.down:
            return
        policy = self.policies[own]
        self.perform(own, policy.receive(sender, body, now=self.now))

    def _begin(self, own: InstanceId, start: StartTask) -> None:
        endpoint = start.endpoint
        job = self.jobs[start.task.job]
        full = self._running[endpoint] >= self.room[endpoint]
        if full or endpoint in self.gone:
            self.messages['refusal'] += 1
            self.waste['refused starts'] += 2
            refused = partial(self._refused, own, start)
            self.at(self.now + HOP_SECONDS, refused)
            return
        self._running[endpoint] += 1
        job.started[start.task.index] += 1
        run = job.arrival.runs[start.task.index]
        self.at(self.now + run, partial(self._end, own, start, run))

    def _end(self, own: InstanceId, start: StartTask, run: float) -> None:
        self._running[start.endpoint] -= 1
        self.use[start.task.job.member] += round(run * 1000)
        self.messages['answer'] += 1
        answered = partial(self._answered, own, start)
        self.at(self.now + HOP_SECONDS, answered)

    def _answered(self, own: InstanceId, start: StartTask) -> None:
        if own in self.down:
            return
        job = self.jobs[start.task.job]
        job.open -= 1
        if not job.open:
            job.done_at = self.now
            self._awaited -= not job.cancelled
        self._finish(own, start, started=True)

    def _refused(self, own: InstanceId, start: StartTask) -> None:
        if own in self.down:
            return
        self._finish(own, start, started=False)
        task = start.task
        if self.jobs[task.job].cancelled:
            return
        again = TaskId(task.job, task.index, task.attempt + 1)
        service = ServiceRef(task.job.member, _SERVICE)
        effects = self.policies[own].submit(
            [QueuedTask(again, service)],
            now=self.now,
        )
        self.perform(own, effects)

    def _finish(
        self,
        own: InstanceId,
        start: StartTask,
        *,
        started: bool,
    ) -> None:
        effects = self.policies[own].finished(
            start.task,
            start.endpoint,
            started=started,
            now=self.now,
        )
        self.perform(own, effects)
