"""Names, records and effects that all packages share."""

from cuminstack.core._effects import Send, StartTask, StopTasks
from cuminstack.core._names import (
    WILDCARD,
    EndpointId,
    InstanceId,
    JobId,
    JobKey,
    MemberName,
    ServiceName,
    ServiceRef,
    TaskId,
    ZoneName,
    is_name,
)
from cuminstack.core._records import (
    EndpointRecord,
    EndpointState,
    Instance,
    Needs,
)
from cuminstack.core._rendezvous import rendezvous_order, rendezvous_score

__all__ = (
    'WILDCARD',
    'EndpointId',
    'EndpointRecord',
    'EndpointState',
    'Instance',
    'InstanceId',
    'JobId',
    'JobKey',
    'MemberName',
    'Needs',
    'Send',
    'ServiceName',
    'ServiceRef',
    'StartTask',
    'StopTasks',
    'TaskId',
    'ZoneName',
    'is_name',
    'rendezvous_order',
    'rendezvous_score',
)
