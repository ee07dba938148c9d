"""Who may start what, where: dispatch policies and slot leases."""

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
    'Effect',
    'Effects',
    'MemberTerms',
    'Policy',
    'PolicyFactory',
    'QueuedTask',
    'make_policy',
    'policy',
    'policy_names',
)
