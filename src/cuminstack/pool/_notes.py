"""Log lines of what the pool decides."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from cuminstack.pool._effects import JobRefused, Noted
from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._exchange import EndpointView, Refusal, StartRun
from cuminstack.pool._jobs import Job, TaskState
from cuminstack.pool._pace import Pace
from cuminstack.pool._progress import Verdict
from cuminstack.pool._records import RunKey

#: Digits of seconds after the point.
_DIGITS: Final = 3
#: Jobs that a line names at most; an endpoint runs a dozen tasks at once.
_MOST_JOBS: Final = 24


def list_jobs(runs: Iterable[RunKey]) -> str:
    """Name the jobs of runs, each once, with commas between."""
    jobs = sorted({run.task.job for run in runs})
    return ','.join(jobs[:_MOST_JOBS])


def note_refusal(refusal: JobRefused, job: Job, *, now: float) -> Noted:
    needed = job.finish_after(now) - now
    return Noted(
        'job.refused',
        (
            ('key', refusal.job),
            ('reason', refusal.reason),
            ('left', round(job.submission.deadline - now, _DIGITS)),
            ('needed', round(needed, _DIGITS)),
            ('wait', round(refusal.retry_after, _DIGITS)),
        ),
    )


def note_dropped(job: Job, *, now: float) -> Noted:
    """Say how far a job was when its caller left."""
    submission = job.submission
    states = Counter(task.state for task in job.tasks.values())
    places = sorted(
        {
            task.endpoint
            for task in job.tasks.values()
            if task.endpoint and task.state is TaskState.placed
        },
    )
    return Noted(
        'job.dropped',
        (
            ('key', submission.request.key),
            ('after', round(now - submission.arrived_at, _DIGITS)),
            ('waiting', states[TaskState.waiting]),
            ('running', states[TaskState.placed]),
            ('done', states[TaskState.done]),
            ('resumed', submission.is_resumed),
            ('held', max(0, round(submission.held_until - now, _DIGITS))),
            ('endpoints', ','.join(places)),
        ),
    )


def note_pace(pace: Pace) -> Noted:
    """Say whether the process keeps up."""
    return Noted(
        'dispatcher.pace',
        (
            ('behind', pace.is_behind),
            ('lateness', round(pace.lateness, _DIGITS)),
        ),
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
