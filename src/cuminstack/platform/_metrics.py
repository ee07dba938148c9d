"""The page of metrics of a process."""

from typing import Final

from aiohttp import web

from cuminstack.core import InstanceId
from cuminstack.fleet import Answer, Completed, MayHaveRun, NotRun
from cuminstack.logs import LogOutput
from cuminstack.metrics import CONTENT_TYPE, Exposition
from cuminstack.roles import ControlRole, EntryRole

#: As the deploy file says.
_PATH: Final = '/metrics'


class MetricsPage:
    """Answers a monitor."""

    def __init__(self, exposition: Exposition) -> None:
        self._exposition = exposition

    def make_app(self) -> web.Application:
        """Give the application that serves the page."""
        app = web.Application()
        app.router.add_get(_PATH, self._tell)
        return app

    async def _tell(self, request: web.Request) -> web.Response:
        headers = {'Content-Type': CONTENT_TYPE}
        return web.Response(body=self._exposition.render(), headers=headers)


def outcome_word(answer: Answer) -> str:
    """Name what the caller of a job was told."""
    match answer:
        case Completed():
            return answer.state.value
        case MayHaveRun():
            return answer.failure.value
        case NotRun():
            return f'not_run_{answer.reason}'


def show_logs(exposition: Exposition, output: LogOutput) -> None:
    """Show how often each event was logged, or would have been."""
    exposition.add_counter(
        'cuminstack_events',
        'Events by name, those included that the log left out.',
        label='event',
        read=lambda: output.event_counts,
    )


def show_work(exposition: Exposition, role: ControlRole | EntryRole) -> None:
    """Show how much of the work that grows with the load was done."""
    exposition.add_counter(
        'cuminstack_work',
        'Orders that were decided and carried, their answers, and frames.',
        label='kind',
        read=lambda: role.work,
    )


def show_entry(
    exposition: Exposition,
    own: InstanceId,
    role: EntryRole,
) -> None:
    """Show what an entry believes."""
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


def show_control(
    exposition: Exposition,
    own: InstanceId,
    role: ControlRole,
) -> None:
    """Show what a control instance believes."""
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
        'cuminstack_jobs_waiting',
        'Jobs of which nothing was started, by queue.',
        label='queue',
        read=lambda: role.waiting,
    )
