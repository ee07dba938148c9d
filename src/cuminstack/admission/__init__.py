"""Admission control: admit a job, refuse it for now, or refuse it for good."""

from cuminstack.admission._admission import Admission
from cuminstack.admission._records import (
    AdmissionRequest,
    Admit,
    DeadlineTooSoon,
    MemberBound,
    NoEndpoint,
    OverClaim,
    Overloaded,
    QueueFull,
    RandomSource,
    Reason,
    Refuse,
    RetryBudgetSpent,
    UnknownMember,
    Unrunnable,
    Verdict,
)
from cuminstack.admission._retries import RetryBudget
from cuminstack.admission._run_times import RunTimes
from cuminstack.admission._shedding import LoopLag

__all__ = (
    'Admission',
    'AdmissionRequest',
    'Admit',
    'DeadlineTooSoon',
    'LoopLag',
    'MemberBound',
    'NoEndpoint',
    'OverClaim',
    'Overloaded',
    'QueueFull',
    'RandomSource',
    'Reason',
    'Refuse',
    'RetryBudget',
    'RetryBudgetSpent',
    'RunTimes',
    'UnknownMember',
    'Unrunnable',
    'Verdict',
)
