"""Text output of the results of commands, for people."""

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

from cuminstack.cli._tables import Row, render_table
from cuminstack.commands import SheetReply
from cuminstack.core import ServiceRef
from cuminstack.metrics import (
    HistogramSnapshot,
    Measure,
    MetricsSnapshot,
    summarise,
)
from cuminstack.queries import (
    CheckReport,
    EndpointsView,
    MembersView,
    SheetChanges,
    SheetSummary,
    StatusView,
)

_View = TypeVar('_View')
_Renderer = Callable[[Any], str]
_renderers: dict[type[Any], _Renderer] = {}


def _renders(
    view: type[_View],
) -> Callable[[Callable[[_View], str]], Callable[[_View], str]]:
    """Register the decorated function as the renderer of a type."""

    def decorator(function: Callable[[_View], str]) -> Callable[[_View], str]:
        _renderers[view] = function
        return function

    return decorator


def render(view: object) -> str:
    """Format the result of a command as text for people."""
    return _renderers[view.__class__](view)


@_renders(SheetReply)
def _render_reply(reply: SheetReply) -> str:
    outcome = reply.outcome.value.replace('_', ' ')
    return f'{outcome}: version {reply.version}, digest {reply.digest}'


@_renders(SheetSummary)
def _render_summary(summary: SheetSummary) -> str:
    facts = dataclasses.asdict(summary).items()
    rows = [(name.replace('_', ' '), value) for name, value in facts]
    return render_table(('fact', 'value'), rows)


@_renders(CheckReport)
def _render_report(report: CheckReport) -> str:
    lines = map(str, report.findings)
    return '\n'.join(lines) or f'{report.kind}: nothing found'


@_renders(SheetChanges)
def _render_changes(changes: SheetChanges) -> str:
    lines = [f'version {changes.old_version} -> {changes.version}']
    lines.extend(f'- {row}' for row in changes.removed)
    lines.extend(f'+ {row}' for row in changes.added)
    return '\n'.join(lines)


@_renders(StatusView)
def _render_status(status: StatusView) -> str:
    return '\n'.join((_fact_table(status), '', _instance_table(status)))


def _fact_table(status: StatusView) -> str:
    sheet = status.sheet
    load = status.load
    standing = sheet.standing.value
    facts = (
        ('instance', status.instance),
        ('zone', status.zone),
        ('region', status.region),
        ('uptime', f'{status.uptime_ms} ms'),
        ('ready', status.ready),
        ('draining', status.draining),
        ('policy', status.policy),
        ('sheet', f'version {sheet.version}, {standing}'),
        ('digest', sheet.digest),
        ('votes on the sheet', status.votes),
        ('last sync failed', status.store_failed),
        ('votes on all claims', status.claims_whole),
        ('jobs running', load.jobs_running),
        ('tasks queued', load.tasks_queued),
        ('tasks running', load.tasks_running),
        ('endpoints', load.endpoints),
        ('slots busy', f'{load.slots_busy} of {load.slots}'),
        ('log lines dropped', status.log_lines_dropped),
    )
    return render_table(('fact', 'value'), facts)


def _instance_table(status: StatusView) -> str:
    return render_table(
        ('instance', 'zone', 'state', 'replica', 'sheet'),
        [
            (
                each.instance,
                each.zone,
                each.state.value,
                each.replica,
                each.sheet_version,
            )
            for each in status.instances
        ],
    )


@_renders(MembersView)
def _render_members(view: MembersView) -> str:
    return render_table(
        (
            'member',
            'share',
            'max slots',
            'max queued',
            'slots held',
            'queued',
            'jobs',
            'services',
        ),
        [
            (
                each.member,
                each.share,
                each.max_slots,
                each.max_queued,
                each.slots_held,
                each.tasks_queued,
                each.jobs_running,
                ' '.join(each.services),
            )
            for each in view.members
        ],
    )


@_renders(EndpointsView)
def _render_endpoints(view: EndpointsView) -> str:
    return render_table(
        (
            'endpoint',
            'zone',
            'state',
            'health',
            'busy',
            'slots',
            'connections',
            'owner',
            'announced ms ago',
            'serves',
        ),
        [
            (
                each.endpoint,
                each.zone,
                each.state.value,
                each.health.value,
                each.busy,
                each.slots,
                each.connections,
                each.owner,
                each.announced_ms_ago,
                ' '.join(map(_format_service, each.serves)),
            )
            for each in view.endpoints
        ],
    )


def _format_service(service: ServiceRef) -> str:
    return f'{service.member}/{service.service}'


@_renders(MetricsSnapshot)
def _render_metrics(snapshot: MetricsSnapshot) -> str:
    tables = (
        _histogram_table(snapshot),
        _tally_table(snapshot),
        _message_table(snapshot),
        _waste_table(snapshot),
    )
    instances = ' '.join(snapshot.instances)
    return '\n\n'.join((f'instances: {instances}', *tables))


def _histogram_table(snapshot: MetricsSnapshot) -> str:
    headers = (
        'member',
        'service',
        'measure',
        'count',
        'mean',
        'p50',
        'p90',
        'p99',
        'p99.9',
        'largest',
    )
    return render_table(
        headers, sorted(map(_histogram_row, snapshot.histograms))
    )


def _histogram_row(histogram: HistogramSnapshot) -> Row:
    service = histogram.service
    measure = histogram.measure.value
    unit = '' if histogram.measure is Measure.response_ratio else ' s'
    statistics = dataclasses.astuple(summarise(histogram))
    return (service.member, service.service, f'{measure}{unit}', *statistics)


def _tally_table(snapshot: MetricsSnapshot) -> str:
    rows = [
        (
            each.service.member,
            each.service.service,
            each.tally.value,
            each.count,
        )
        for each in snapshot.tallies
    ]
    headers = ('member', 'service', 'what', 'count')
    return render_table(headers, sorted(rows))


def _message_table(snapshot: MetricsSnapshot) -> str:
    rows = [
        (each.kind.value, each.direction.value, each.count, each.size)
        for each in snapshot.messages
    ]
    headers = ('messages', 'direction', 'count', 'bytes')
    return render_table(headers, sorted(rows))


def _waste_table(snapshot: MetricsSnapshot) -> str:
    rows = [
        (each.cause.value, each.member or '-', each.count)
        for each in snapshot.waste
    ]
    return render_table(('wasted by', 'member', 'count'), sorted(rows))
