"""The metrics endpoint of a process, and the metrics that it exports."""

from typing import Final

from aiohttp import web

from cuminstack.core import InstanceId
from cuminstack.fleet import Answer, Completed, MayHaveRun, NotRun
from cuminstack.listeners import Listeners
from cuminstack.logs import LogOutput
from cuminstack.metrics import CONTENT_TYPE, Exposition
from cuminstack.roles import ControlRole, EntryRole

#: The same as in `deploy/system.toml`.
_METRICS_PATH: Final = '/metrics'


class MetricsPage:
    """Serves the metrics in the text format of Prometheus."""

    def __init__(self, exposition: Exposition) -> None:
        self._exposition = exposition

    def make_app(self) -> web.Application:
        """Return the application that serves the metrics."""
        app = web.Application()
        app.router.add_get(_METRICS_PATH, self._render)
        return app

    async def _render(self, request: web.Request) -> web.Response:
        headers = {'Content-Type': CONTENT_TYPE}
        return web.Response(body=self._exposition.render(), headers=headers)


def outcome_label(answer: Answer) -> str:
    """Return the label under which the answer to a job is counted."""
    match answer:
        case Completed():
            return answer.state.value
        case MayHaveRun():
            return answer.failure.value
        case NotRun():
            return f'not_run_{answer.reason}'


def export_log_metrics(exposition: Exposition, output: LogOutput) -> None:
    """Export a count of log events by name.

    Events whose lines the log drops are counted as well.
    """
    exposition.add_counter(
        'cuminstack_events',
        'Events by name, those included that the log left out.',
        label='event',
        read=lambda: output.event_counts,
    )


def export_work_metrics(
    exposition: Exposition, role: ControlRole | EntryRole
) -> None:
    """Export counts of the operations whose number grows with the load."""
    exposition.add_counter(
        'cuminstack_work',
        'Orders that were decided and carried, their answers, and frames.',
        label='kind',
        read=lambda: role.work,
    )


def export_connection_metrics(
    exposition: Exposition, listeners: Listeners
) -> None:
    """Export what the clients of all listeners use, and were refused."""
    exposition.add_gauge(
        'cuminstack_connections',
        'Open connections of clients.',
        label='listener',
        read=lambda: listeners.connections,
    )
    exposition.add_gauge(
        'cuminstack_request_bytes',
        'Estimated memory of the requests that are not answered.',
        label='listener',
        read=lambda: listeners.used_bytes,
    )
    exposition.add_counter(
        'cuminstack_connections_closed',
        'Connections closed or refused to keep the limits, by cause.',
        label='cause',
        read=lambda: listeners.closed,
    )


def export_entry_metrics(
    exposition: Exposition,
    own: InstanceId,
    role: EntryRole,
) -> None:
    """Export the gauges of an entry."""
    exposition.add_gauge(
        'cuminstack_desired_state_version',
        'Version of the desired state that is obeyed.',
        label='instance',
        read=lambda: {own: role.version},
    )
    exposition.add_gauge(
        'cuminstack_has_dispatcher',
        'Whether jobs can be taken now.',
        label='instance',
        read=lambda: {own: float(role.is_ready)},
    )


def export_control_metrics(
    exposition: Exposition,
    own: InstanceId,
    role: ControlRole,
) -> None:
    """Export the gauges of a control instance."""
    exposition.add_gauge(
        'cuminstack_dispatcher_term',
        'Term in which this instance dispatches; 0 if it does not.',
        label='instance',
        read=lambda: {own: role.term},
    )
    exposition.add_gauge(
        'cuminstack_endpoints',
        'Endpoints that have sent heartbeats and not left.',
        label='instance',
        read=lambda: {own: role.endpoints},
    )
    exposition.add_gauge(
        'cuminstack_evacuated_zones',
        'Availability zones that this instance knows to be evacuated.',
        label='zone',
        read=lambda: dict.fromkeys(role.evacuated_zones, 1),
    )
    exposition.add_gauge(
        'cuminstack_unserved_services',
        'Services whose endpoints are all in evacuated zones.',
        label='instance',
        read=lambda: {own: len(role.unserved_services)},
    )
    exposition.add_gauge(
        'cuminstack_jobs_waiting',
        'Jobs of which nothing was started, by queue.',
        label='queue',
        read=lambda: role.waiting,
    )
    exposition.add_gauge(
        'cuminstack_endpoints_by_slowness',
        'Endpoints whose speed is known, by slowness at most.',
        label='at_most',
        read=lambda: role.slowness_counts,
    )
    exposition.add_gauge(
        'cuminstack_look_ahead',
        'Reservations, starts on reserved endpoints, backfills since the term '
        'began, and the longest time in seconds for which a job was passed '
        'over.',
        label='kind',
        read=lambda: role.look_ahead,
    )
