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
from cuminstack.slots._policy import (
    Effect,
    Effects,
    MemberTerms,
    Policy,
    PolicyFactory,
    QueuedTask,
    make_policy,
    policy,
    policy_names,
)

__all__ = (
    'BasePolicy',
    'Effect',
    'Effects',
    'EndpointLoad',
    'LoadReport',
    'LocalPolicy',
    'MemberTerms',
    'Policy',
    'PolicyFactory',
    'QueuedTask',
    'RandomPolicy',
    'RoundRobinPolicy',
    'TwoChoicesPolicy',
    'make_policy',
    'policy',
    'policy_names',
)
