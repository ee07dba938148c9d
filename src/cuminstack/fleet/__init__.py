"""Leader election of the dispatcher, and its protocol with other instances.

Entries take jobs of callers and submit them to the dispatcher, which one of
the control instances, or a deputy, is elected to be.  Its orders reach the
endpoints through other instances, the carriers.
"""

from cuminstack.fleet._answers import (
    Answer,
    Answered,
    Completed,
    Failure,
    MayHaveRun,
    NotRun,
)
from cuminstack.fleet._carriage import Order, OrderAnswered, OrderRouter
from cuminstack.fleet._carry_messages import (
    MAX_CARRY_AGE_SECONDS,
    Carried,
    Carry,
)
from cuminstack.fleet._deputies import (
    DeputyElection,
    choose_deputies,
    choose_evenly_spaced,
)
from cuminstack.fleet._dispatcher_client import DispatcherClient
from cuminstack.fleet._dispatcher_service import DispatcherService
from cuminstack.fleet._election import HEARTBEAT_TIMEOUT_SECONDS, Election
from cuminstack.fleet._evacuations import KnownEvacuations
from cuminstack.fleet._heartbeat_buffer import HeartbeatBuffer
from cuminstack.fleet._messages import (
    ControlBeat,
    Dropped,
    Ended,
    EndpointLeft,
    EndpointReports,
    EntryBeat,
    HeardDispatcher,
    LeaderBeat,
    Refused,
    Submit,
    Taken,
    UnknownJobs,
)
from cuminstack.fleet._shards import (
    DeputyPlan,
    DeputyShard,
    EntryInfo,
    endpoint_capacity,
    plan_deputies,
)
from cuminstack.fleet._speed_exchange import (
    SpeedChange,
    SpeedPublisher,
    SpeedRecords,
    SpeedUpdate,
)

__all__ = (
    'HEARTBEAT_TIMEOUT_SECONDS',
    'MAX_CARRY_AGE_SECONDS',
    'Answer',
    'Answered',
    'Carried',
    'Carry',
    'Completed',
    'ControlBeat',
    'DeputyElection',
    'DeputyPlan',
    'DeputyShard',
    'DispatcherClient',
    'DispatcherService',
    'Dropped',
    'Election',
    'Ended',
    'EndpointLeft',
    'EndpointReports',
    'EntryBeat',
    'EntryInfo',
    'Failure',
    'HeardDispatcher',
    'HeartbeatBuffer',
    'KnownEvacuations',
    'LeaderBeat',
    'MayHaveRun',
    'NotRun',
    'Order',
    'OrderAnswered',
    'OrderRouter',
    'Refused',
    'SpeedChange',
    'SpeedPublisher',
    'SpeedRecords',
    'SpeedUpdate',
    'Submit',
    'Taken',
    'UnknownJobs',
    'choose_deputies',
    'choose_evenly_spaced',
    'endpoint_capacity',
    'plan_deputies',
)
