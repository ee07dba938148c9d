"""Factories of records and tasks for tests of dispatch policies."""

from collections.abc import Iterable, Sequence

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    EndpointState,
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
from cuminstack.slots import QueuedTask

ORDER_DESK = ServiceRef(MemberName('tkemali'), ServiceName('order-desk'))
BESTELL_DIENST = ServiceRef(MemberName('haslinger'), ServiceName('bestell'))
_EVERY_SERVICE = ServiceRef(MemberName('*'), ServiceName('*'))


def instance(name: str, zone: str = 'telavi') -> Instance:
    """Return an instance in an availability zone."""
    return Instance(InstanceId(name), ZoneName(zone), 1, '', '')


def endpoint(
    name: str,
    zone: str = 'telavi',
    *,
    slots: int = 8,
    busy: int = 0,
    state: EndpointState = EndpointState.serving,
) -> EndpointRecord:
    """Return an endpoint that serves every service."""
    return EndpointRecord(
        EndpointId(name),
        1,
        ZoneName(zone),
        'http://127.0.0.1:9000',
        (_EVERY_SERVICE,),
        slots=slots,
        connections=slots * 8,
        state=state,
        busy=busy,
    )


def tasks_of(
    key: str,
    count: int,
    service: ServiceRef = ORDER_DESK,
) -> tuple[QueuedTask, ...]:
    """Return the first attempts of the tasks of a job."""
    job = JobId(service.member, JobKey(key))
    return tuple(
        QueuedTask(TaskId(job, index, 1), service) for index in range(count)
    )


def starts(effects: Iterable[object]) -> Sequence[StartTask]:
    """Return the task starts among effects."""
    return [effect for effect in effects if isinstance(effect, StartTask)]
