"""State of accepted jobs and their tasks, each started at most once."""

from cuminstack.jobs._job import Job, TaskState
from cuminstack.jobs._messages import (
    AskJob,
    CancelJob,
    ForwardJob,
    JobOutcome,
    JobState,
)
from cuminstack.jobs._outcomes import OutcomeStore, StoredOutcome
from cuminstack.jobs._tracker import JobTracker, UnmatchedResults
from cuminstack.jobs._types import (
    AttemptOutcome,
    Complete,
    EnqueueTasks,
    Failed,
    FailureReason,
    FreeSlot,
    JobEffect,
    JobEffects,
    JobEnded,
    JobRequest,
    Outcome,
    RefusalReason,
    Refused,
    SendStart,
    StopStarted,
    TaskSpec,
    Withdraw,
)

__all__ = (
    'AskJob',
    'CancelJob',
    'ForwardJob',
    'JobOutcome',
    'JobState',
    'Complete',
    'Failed',
    'FailureReason',
    'FreeSlot',
    'Job',
    'JobTracker',
    'JobEffect',
    'JobEffects',
    'JobEnded',
    'JobRequest',
    'StoredOutcome',
    'Outcome',
    'OutcomeStore',
    'EnqueueTasks',
    'Refused',
    'RefusalReason',
    'SendStart',
    'AttemptOutcome',
    'StopStarted',
    'TaskSpec',
    'TaskState',
    'UnmatchedResults',
    'Withdraw',
)
