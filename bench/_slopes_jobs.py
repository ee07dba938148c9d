"""Slopes of jobs, claims and metrics: per task, per claim, per service."""

from typing import Final

from bench._slope import Slope, line, measure, microseconds, retained_bytes
from bench._slopes_membership import instances
from cuminstack import wire
from cuminstack.claims import Claims, ClaimView, replicas
from cuminstack.core import (
    EndpointId,
    Instance,
    InstanceId,
    JobId,
    JobKey,
    MemberName,
    Send,
    ServiceName,
    ServiceRef,
    ZoneName,
)
from cuminstack.jobs import JobRequest, JobTracker, OutcomeStore, TaskSpec
from cuminstack.metrics import Metrics

_TASKS: Final = (180, 600, 1800)
_CLAIMS: Final = (500, 1000, 2000)
#: Instances of three zones.
_ZONE_SIZES: Final = (9, 27, 105)
_CHOICES: Final = 20
_SERVICES: Final = (100, 390, 780)
_PAYLOAD: Final = b'{"order": 12345, "item": "quince paste", "crates": 7}'
_MEMBER: Final = MemberName('tkemali')
_SERVICE: Final = ServiceRef(_MEMBER, ServiceName('order-desk'))
_ENDPOINT: Final = EndpointId('rack-1-worker-1')
_ZONES: Final = ('telavi', 'gurjaani', 'sighnaghi')
_DIGEST: Final = bytes(32)


@measure('jobs')
def job_slopes() -> tuple[Slope, ...]:
    """Keep and carry out jobs of several sizes, without input or output."""
    return (
        line('memory of a running job', 'task', 'B', _TASKS, _job_bytes),
        line('open and start a job', 'task', 'us', _TASKS, _job_cost),
        line('histograms', 'service', 'B', _SERVICES, _histogram_bytes),
    )


@measure('claims')
def claim_slopes() -> tuple[Slope, ...]:
    """Take claims on three replicas, every frame encoded and decoded."""
    return (
        line('memory of claims', 'claim', 'B', _CLAIMS, _claim_bytes),
        line('take claims, all three', 'claim', 'us', _CLAIMS, _claim_cost),
        line('frames of claims', 'claim', 'B', _CLAIMS, _claim_frames),
        line('choose replicas', 'instance', 'us', _ZONE_SIZES, _choice_cost),
    )


def _request(tasks: int) -> JobRequest:
    return JobRequest(
        job=JobId(_MEMBER, JobKey('order-12345')),
        service=_SERVICE,
        tasks=tuple(
            TaskSpec(b'%s%d' % (_PAYLOAD, index)) for index in range(tasks)
        ),
        idempotent=True,
        within=60,
        digest=_DIGEST,
    )


_OWN: Final = Instance(
    InstanceId('telavi-1'),
    ZoneName('telavi'),
    1,
    '127.0.0.1:1',
    '127.0.0.1:2',
)


def _running(tasks: int) -> JobTracker:
    book = JobTracker(_OWN, OutcomeStore(lifetime=60, max_bytes=1))
    request = _request(tasks)
    book.accept(request, now=0)
    job = book.find(request.job)
    assert job is not None
    for queued in job.queued():
        book.start(queued.task, _ENDPOINT, now=0)
    return book


def _job_bytes(tasks: int) -> float:
    used, _ = retained_bytes(lambda: _running(tasks))
    return used


def _job_cost(tasks: int) -> float:
    return microseconds(lambda: _running(tasks), rounds=3)


def _histogram_bytes(services: int) -> float:
    used, _ = retained_bytes(lambda: _measured(services))
    return used


def _measured(services: int) -> Metrics:
    metrics = Metrics(InstanceId('telavi-1'))
    for index in range(services):
        service = ServiceRef(MemberName(f'team-{index}'), _SERVICE.service)
        metrics.record_wait(service, 1)
        metrics.record_run(service, 1)
        metrics.record_response(service, 1, ideal=1)
    return metrics


class _Replicas:
    """Three instances in three zones that hold claims together."""

    def __init__(self) -> None:
        members = tuple(
            Instance(
                InstanceId(f'{zone}-1'),
                ZoneName(zone),
                1,
                '127.0.0.1:1',
                '127.0.0.1:2',
            )
            for zone in _ZONES
        )
        view = ClaimView(1, members)
        self._parts = {
            own.instance: Claims(own, view, now=0) for own in members
        }
        for part in self._parts.values():
            part.assume_fresh()
        self.sent = 0

    def claim(self, count: int) -> None:
        """Take claims in turn, all from one instance."""
        name = next(iter(self._parts))
        for index in range(count):
            job = JobId(_MEMBER, JobKey(f'order-{index}'))
            self._carry(name, self._parts[name].claim(job, _DIGEST, now=0))

    def _carry(self, sender: InstanceId, effects: tuple[object, ...]) -> None:
        waiting = [(sender, effect) for effect in effects]
        while waiting:
            origin, effect = waiting.pop(0)
            if not isinstance(effect, Send):
                continue
            frame = wire.encode(effect.message)
            self.sent += len(frame)
            message = wire.decode(frame)
            told = self._parts[effect.to].receive(origin, message, now=0)
            waiting += [(effect.to, each) for each in told]


def _claimed(count: int) -> _Replicas:
    replicas = _Replicas()
    replicas.claim(count)
    return replicas


def _choice_cost(size: int) -> float:
    zones = len(_ZONES)
    job = JobId(_MEMBER, JobKey('order-12345'))
    members = instances(zones, size // zones)
    return microseconds(lambda: replicas(job, members), rounds=_CHOICES)


def _claim_bytes(count: int) -> float:
    used, _ = retained_bytes(lambda: _claimed(count))
    return used / len(_ZONES)


def _claim_cost(count: int) -> float:
    return microseconds(lambda: _claimed(count), rounds=1)


def _claim_frames(count: int) -> float:
    return _claimed(count).sent
