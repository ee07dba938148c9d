"""Who may start what, where: dispatch policies and slot leases."""

from cuminstack.slots._base import BasePolicy
from cuminstack.slots._baselines import (
    EndpointLoad,
    LoadReport,
    LocalPolicy,
    RandomPolicy,
    RoundRobinPolicy,
    TwoChoicesPolicy,
)
from cuminstack.slots._leases import LeasePolicy
from cuminstack.slots._messages import (
    Ask,
    Claim,
    Claimed,
    EndpointSlots,
    Grant,
    Hint,
    SlotSummary,
    Use,
    Wanted,
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
    'Ask',
    'BasePolicy',
    'Claim',
    'Claimed',
    'Effect',
    'Effects',
    'EndpointLoad',
    'EndpointSlots',
    'Grant',
    'Hint',
    'LeasePolicy',
    'LoadReport',
    'LocalPolicy',
    'MemberTerms',
    'Policy',
    'PolicyFactory',
    'Preference',
    'QueuedTask',
    'RandomPolicy',
    'RoundRobinPolicy',
    'SlotSummary',
    'TwoChoicesPolicy',
    'Use',
    'Wanted',
    'make_policy',
    'policy',
    'policy_names',
)
