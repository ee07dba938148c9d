"""Log lines of what the pool decides."""

from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._progress import Verdict
from cuminstack.pool._records import (
    EndpointView,
    JobRefused,
    Noted,
    Refusal,
    StartRun,
)


def note_refusal(refusal: JobRefused) -> Noted:
    return Noted(
        'job.refused',
        (('key', refusal.job), ('reason', refusal.reason)),
    )


def note_start_refused(order: StartRun, refusal: Refusal) -> Noted:
    return Noted(
        'task.start_refused',
        (
            ('key', order.run.task.job),
            ('endpoint', order.endpoint),
            ('refusal', refusal),
        ),
    )


def note_ready(endpoint: Endpoint, view: EndpointView) -> Noted:
    return Noted(
        'endpoint.ready',
        (
            ('endpoint', endpoint.report.endpoint),
            ('after', endpoint.phase),
            ('running', len(view.running)),
        ),
    )


def note_verdict(endpoint: Endpoint, run: Run, verdict: Verdict) -> Noted:
    return Noted(
        'task.moved',
        (
            ('key', run.key.task.job),
            ('endpoint', endpoint.report.endpoint),
            ('verdict', verdict),
            ('percent', run.percent),
        ),
    )
