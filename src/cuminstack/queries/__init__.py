"""Questions of operators, and the shapes of their answers."""

from cuminstack.queries._fetch import (
    HistogramsView,
    fetch_endpoints,
    fetch_histograms,
    fetch_members,
    fetch_sheet,
    fetch_status,
)
from cuminstack.queries._shapes import (
    EndpointHealth,
    EndpointsView,
    EndpointView,
    InstanceState,
    InstanceView,
    LoadView,
    MembersView,
    MemberView,
    SheetStanding,
    SheetView,
    StatusView,
)

__all__ = (
    'EndpointHealth',
    'EndpointView',
    'EndpointsView',
    'HistogramsView',
    'InstanceState',
    'InstanceView',
    'LoadView',
    'MemberView',
    'MembersView',
    'SheetStanding',
    'SheetView',
    'StatusView',
    'fetch_endpoints',
    'fetch_histograms',
    'fetch_members',
    'fetch_sheet',
    'fetch_status',
)
