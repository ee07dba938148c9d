"""Read-only operator queries, and the types of their JSON responses."""

from cuminstack.queries._explain import LoggedEvent, explain_job, read_events
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
from cuminstack.queries._sheets import (
    SheetChanges,
    SheetSummary,
    check_sheet,
    compare_sheets,
)

__all__ = (
    'EndpointHealth',
    'EndpointView',
    'EndpointsView',
    'HistogramsView',
    'InstanceState',
    'InstanceView',
    'LoadView',
    'LoggedEvent',
    'MemberView',
    'MembersView',
    'SheetChanges',
    'SheetStanding',
    'SheetSummary',
    'SheetView',
    'StatusView',
    'check_sheet',
    'compare_sheets',
    'explain_job',
    'fetch_endpoints',
    'fetch_histograms',
    'fetch_members',
    'fetch_sheet',
    'fetch_status',
    'read_events',
)
