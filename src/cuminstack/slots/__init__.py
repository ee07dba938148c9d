"""Dispatch policies, which assign queued tasks to endpoints."""

from cuminstack.slots._base import BasePolicy
from cuminstack.slots._baselines import (
    EndpointLoad,
    LoadReport,
    LocalPolicy,
    RandomPolicy,
    RoundRobinPolicy,
    TwoChoicesPolicy,
)
from cuminstack.slots._lease_policy import LeasePolicy
from cuminstack.slots._messages import (
    Claim,
    Claimed,
    EndpointSlots,
    Grant,
    Hint,
    JobDemand,
    MemberUsage,
    SlotRequest,
    SlotSummary,
)
from cuminstack.slots._policy import (
    Effect,
    Effects,
    MemberTerms,
    Policy,
    PolicyFactory,
    Preference,
    QueuedTask,
    make_policy,
    policy,
    policy_names,
)

__all__ = (
    'SlotRequest',
    'BasePolicy',
    'Claim',
    'Claimed',
    'Effect',
    'Effects',
    'EndpointLoad',
    'EndpointSlots',
    'Grant',
    'Hint',
    'JobDemand',
    'LeasePolicy',
    'LoadReport',
    'LocalPolicy',
    'MemberTerms',
    'MemberUsage',
    'Policy',
    'PolicyFactory',
    'Preference',
    'QueuedTask',
    'RandomPolicy',
    'RoundRobinPolicy',
    'SlotSummary',
    'TwoChoicesPolicy',
    'make_policy',
    'policy',
    'policy_names',
)
