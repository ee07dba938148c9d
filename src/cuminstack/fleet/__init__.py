"""How entries and control instances share work, and who dispatches it."""

from cuminstack.fleet._answers import (
    Answer,
    Answered,
    Completed,
    Failure,
    MayHaveRun,
    NotRun,
)
from cuminstack.fleet._carriage import Carriage, Order, OrderAnswered
from cuminstack.fleet._carry_messages import CARRY_SECONDS, Carried, Carry
from cuminstack.fleet._deputies import (
    DeputyElection,
    choose_deputies,
    choose_spread,
)
from cuminstack.fleet._election import SILENCE_SECONDS, Election
from cuminstack.fleet._entry_desk import EntryDesk
from cuminstack.fleet._heartbeat_buffer import HeartbeatBuffer
from cuminstack.fleet._job_desk import JobDesk
from cuminstack.fleet._messages import (
    ControlBeat,
    Dropped,
    Ended,
    EndpointLeft,
    EndpointNews,
    EntryBeat,
    LeaderBeat,
    Refused,
    Submit,
    Taken,
    Unknown,
)

__all__ = (
    'CARRY_SECONDS',
    'SILENCE_SECONDS',
    'Answer',
    'Answered',
    'Carriage',
    'Carried',
    'Carry',
    'Completed',
    'ControlBeat',
    'DeputyElection',
    'Dropped',
    'Election',
    'Ended',
    'EndpointLeft',
    'EndpointNews',
    'EntryBeat',
    'EntryDesk',
    'Failure',
    'HeartbeatBuffer',
    'JobDesk',
    'LeaderBeat',
    'MayHaveRun',
    'NotRun',
    'Order',
    'OrderAnswered',
    'Refused',
    'Submit',
    'Taken',
    'Unknown',
    'choose_deputies',
    'choose_spread',
)
