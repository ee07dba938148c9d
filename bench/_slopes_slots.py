"""Slopes of the dispatch policy: per endpoint known, and per task."""

from typing import Final

from bench._slope import Slope, measure, microseconds, retained_bytes
from bench._slopes_endpoints import record
from cuminstack.core import (
    Instance,
    InstanceId,
    JobId,
    JobKey,
    MemberName,
    ServiceName,
    ServiceRef,
    StartTask,
    TaskId,
    ZoneName,
)
from cuminstack.slots import MemberTerms, Policy, QueuedTask, make_policy

_ENDPOINTS: Final = (450, 900, 1800)
_MEMBERS: Final = (100, 390, 780)
_POLICY: Final = 'leases'
_TICK_ROUNDS: Final = 50
_TASKS: Final = 400
_MEMBER: Final = MemberName('tkemali')
_SERVICE: Final = ServiceRef(_MEMBER, ServiceName('order-desk'))
_OWN: Final = Instance(
    InstanceId('telavi-1'),
    ZoneName('telavi'),
    1,
    '10.0.0.1:8003',
    '10.0.0.1:8002',
)


@measure('slots')
def slot_slopes() -> tuple[Slope, ...]:
    """Keep endpoints and members, look for what is due, and start tasks."""
    memory = tuple((count, _memory(count)) for count in _ENDPOINTS)
    ticks = tuple((count, _tick(count)) for count in _ENDPOINTS)
    starts = tuple((count, _start(count)) for count in _ENDPOINTS)
    terms = tuple((count, _terms(count)) for count in _MEMBERS)
    return (
        Slope('memory of the policy', 'endpoint', 'B', memory),
        Slope('a tick of the policy', 'endpoint', 'us', ticks),
        Slope('queue, start and finish', 'endpoint', 'us/task', starts),
        Slope('apply the terms', 'member', 'us', terms),
    )


def _policy(endpoints: int) -> Policy:
    made = make_policy(_POLICY, _OWN, seed=1)
    made.observe_instances((_OWN,), now=0)
    made.apply_terms({_MEMBER: MemberTerms()}, now=0)
    for index in range(endpoints):
        made.observe_endpoint(record(index), now=0)
    return made


def _memory(endpoints: int) -> float:
    used, _ = retained_bytes(lambda: _policy(endpoints))
    return used


def _tick(endpoints: int) -> float:
    made = _policy(endpoints)
    return microseconds(lambda: made.tick(now=1), rounds=_TICK_ROUNDS)


def _start(endpoints: int) -> float:
    made = _policy(endpoints)
    cost = microseconds(lambda: _run_tasks(made), rounds=1)
    return cost / _TASKS


def _run_tasks(made: Policy) -> None:
    job = JobId(_MEMBER, JobKey('order-1'))
    tasks = [
        QueuedTask(TaskId(job, index, 1), _SERVICE, expected=1)
        for index in range(_TASKS)
    ]
    for effect in made.submit(tasks, now=1):
        if isinstance(effect, StartTask):
            made.finished(effect.task, effect.endpoint, started=True, now=1)


def _terms(members: int) -> float:
    made = _policy(0)
    terms = {f'team-{index}': MemberTerms() for index in range(members)}
    return microseconds(lambda: made.apply_terms(terms, now=1), rounds=3)
