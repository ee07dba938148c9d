"""Task dispatch over a pool of endpoints that has a single dispatcher."""

from cuminstack.pool._dispatcher import Dispatcher
from cuminstack.pool._effects import (
    Effect,
    Effects,
    Fenced,
    JobEnded,
    JobRefused,
    JobState,
    LogEvent,
    RefusalReason,
    TokensLow,
)
from cuminstack.pool._endpoint import Endpoint, Phase
from cuminstack.pool._exchange import (
    EndKind,
    EndpointView,
    Hold,
    NoAnswer,
    OrderRefused,
    Refusal,
    RunEnd,
    RunProgress,
    Started,
    StartRun,
    StopRun,
)
from cuminstack.pool._jobs import Submission
from cuminstack.pool._orders import (
    QueueOrder,
    find_order,
    order_names,
    register_order,
)
from cuminstack.pool._policies import (
    SchedulingPolicy,
    find_policy,
    policy_names,
)
from cuminstack.pool._records import (
    EndpointReport,
    JobRequest,
    QueueTerms,
    Resources,
    RunKey,
    Step,
    TaskKey,
)
from cuminstack.pool._speed_table import SpeedFigure, SpeedTable
from cuminstack.pool._speeds import EndpointSpeeds
from cuminstack.pool._tokens import MAX_TERM
from cuminstack.pool._usefulness import latest_useful_start
from cuminstack.pool._watch import LEASE_SECONDS

__all__ = (
    'LEASE_SECONDS',
    'MAX_TERM',
    'Dispatcher',
    'Effect',
    'Effects',
    'EndKind',
    'Endpoint',
    'EndpointReport',
    'EndpointSpeeds',
    'EndpointView',
    'Fenced',
    'Hold',
    'JobEnded',
    'JobRefused',
    'JobRequest',
    'JobState',
    'NoAnswer',
    'LogEvent',
    'QueueOrder',
    'OrderRefused',
    'Phase',
    'QueueTerms',
    'Refusal',
    'RefusalReason',
    'Resources',
    'RunEnd',
    'RunKey',
    'RunProgress',
    'SpeedFigure',
    'SpeedTable',
    'StartRun',
    'Started',
    'Step',
    'StopRun',
    'Submission',
    'TaskKey',
    'TokensLow',
    'SchedulingPolicy',
    'find_order',
    'find_policy',
    'policy_names',
    'latest_useful_start',
    'order_names',
    'register_order',
)
