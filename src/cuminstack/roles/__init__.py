"""Roles of the processes of a deployment, independent of the platform."""

from cuminstack.roles._clock import steady_now
from cuminstack.roles._control import ControlRole
from cuminstack.roles._entry import EntryRole
from cuminstack.roles._ports import EndpointClient, RoleSettings

__all__ = (
    'ControlRole',
    'EndpointClient',
    'EntryRole',
    'RoleSettings',
    'steady_now',
)
