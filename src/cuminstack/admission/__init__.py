"""Whether a job is let in: at once, not now, or never."""

from cuminstack.admission._admission import Admission
from cuminstack.admission._records import (
    AdmissionRequest,
    Admit,
    Chance,
    DeadlineTooSoon,
    MemberBound,
    NoEndpoint,
    OverClaim,
    Overloaded,
    QueueFull,
    Reason,
    Refuse,
    RetryBudgetSpent,
    UnknownMember,
    Unrunnable,
    Verdict,
)
from cuminstack.admission._retries import RetryBudget
from cuminstack.admission._run_times import RunTimes
from cuminstack.admission._shedding import LagGauge

__all__ = (
    'Admission',
    'AdmissionRequest',
    'Admit',
    'Chance',
    'DeadlineTooSoon',
    'LagGauge',
    'MemberBound',
    'NoEndpoint',
    'OverClaim',
    'Overloaded',
    'QueueFull',
    'Reason',
    'Refuse',
    'RetryBudget',
    'RetryBudgetSpent',
    'RunTimes',
    'UnknownMember',
    'Unrunnable',
    'Verdict',
)
