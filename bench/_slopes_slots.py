"""Slopes of the dispatch policy: per endpoint known, and per task."""

from dataclasses import replace
from typing import Final

from bench._slope import Slope, line, measure, microseconds, retained_bytes
from bench._slopes_endpoints import record
from bench._slopes_membership import instances
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
#: As many tasks as one owner of the deployment has slots, or fewer.
_TASKS: Final = 80
#: Zones and instances of each, at the size to design for.
_DEPLOYMENT: Final = (13, 8)
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
    return (
        *_endpoint_slopes('owned endpoint', ()),
        *_endpoint_slopes('known endpoint', instances(*_DEPLOYMENT)),
        line('apply the terms', 'member', 'us', _MEMBERS, _terms),
    )


def _endpoint_slopes(
    per: str,
    peers: tuple[Instance, ...],
) -> tuple[Slope, ...]:
    """Measure an instance alone, or one among peers that own the rest."""

    def memory(count: int) -> float:  # noqa: WPS430
        used, _ = retained_bytes(lambda: _policy(count, peers))
        return used

    def tick(count: int) -> float:  # noqa: WPS430
        return _tick(_policy(count, peers))

    def start(count: int) -> float:  # noqa: WPS430
        return _start(_policy(count, peers))

    return (
        line('memory of the policy', per, 'B', _ENDPOINTS, memory),
        line('a tick of the policy', per, 'us', _ENDPOINTS, tick),
        line('queue, start, finish', per, 'us/task', _ENDPOINTS, start),
    )


def _policy(endpoints: int, peers: tuple[Instance, ...] = ()) -> Policy:
    own = peers[0] if peers else _OWN
    made = make_policy(_POLICY, own, seed=1)
    made.observe_instances(peers or (own,), now=0)
    made.apply_terms({_MEMBER: MemberTerms()}, now=0)
    zones = [each.zone for each in peers] or [own.zone]
    for index in range(endpoints):
        zone = zones[index % len(zones)]
        made.observe_endpoint(replace(record(index), zone=zone), now=0)
    return made


def _tick(made: Policy) -> float:
    return microseconds(lambda: made.tick(now=1), rounds=_TICK_ROUNDS)


def _start(made: Policy) -> float:
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
