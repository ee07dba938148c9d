"""Log events for decisions of the pool."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from cuminstack.pool._effects import JobRefused, LogEvent
from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._exchange import EndpointView, Refusal, StartRun
from cuminstack.pool._jobs import Job, TaskState
from cuminstack.pool._pace import LatenessMonitor
from cuminstack.pool._progress import Verdict
from cuminstack.pool._records import RunKey
from cuminstack.pool._speeds import EndpointSpeeds
from cuminstack.pool._usefulness import end_of_usefulness

#: Decimal places of times in seconds.
_DIGITS: Final = 3
#: Jobs that one event lists at most; an endpoint runs a dozen tasks at once.
_MAX_JOBS: Final = 24


def list_jobs(runs: Iterable[RunKey]) -> str:
    """Return the distinct job keys of runs, separated by commas."""
    jobs = sorted({run.task.job for run in runs})
    return ','.join(jobs[:_MAX_JOBS])


def refusal_event(refusal: JobRefused, job: Job, *, now: float) -> LogEvent:
    needed = job.finish_time(now) - now
    return LogEvent(
        'job.refused',
        (
            ('key', refusal.job),
            ('reason', refusal.reason),
            ('left', round(job.submission.deadline - now, _DIGITS)),
            ('useful', round(end_of_usefulness(job) - now, _DIGITS)),
            ('needed', round(needed, _DIGITS)),
            ('wait', round(refusal.retry_after, _DIGITS)),
        ),
    )


def dropped_event(job: Job, *, now: float) -> LogEvent:
    """Describe the progress of a job whose client has left."""
    submission = job.submission
    states = Counter(task.state for task in job.tasks.values())
    endpoints = sorted(
        {
            task.endpoint
            for task in job.tasks.values()
            if task.endpoint and task.state is TaskState.placed
        },
    )
    return LogEvent(
        'job.dropped',
        (
            ('key', submission.request.key),
            ('after', round(now - submission.arrived_at, _DIGITS)),
            ('waiting', states[TaskState.waiting]),
            ('running', states[TaskState.placed]),
            ('done', states[TaskState.done]),
            ('resumed', submission.is_resumed),
            ('held', max(0, round(submission.held_until - now, _DIGITS))),
            ('endpoints', ','.join(endpoints)),
        ),
    )


def useless_event(job: Job, *, now: float) -> LogEvent:
    """Describe the progress of a job that is ended as useless."""
    submission = job.submission
    states = Counter(task.state for task in job.tasks.values())
    return LogEvent(
        'job.useless',
        (
            ('key', submission.request.key),
            ('after', round(now - submission.arrived_at, _DIGITS)),
            ('useful', round(end_of_usefulness(job) - now, _DIGITS)),
            ('needed', round(job.remaining_path, _DIGITS)),
            ('pace', round(job.pace, _DIGITS)),
            ('waiting', states[TaskState.waiting]),
            ('done', states[TaskState.done]),
            ('resumed', submission.is_resumed),
        ),
    )


def pace_event(monitor: LatenessMonitor) -> LogEvent:
    """Describe whether the process keeps up with its ticks."""
    return LogEvent(
        'dispatcher.pace',
        (
            ('behind', monitor.is_behind),
            ('lateness', round(monitor.lateness, _DIGITS)),
        ),
    )


def start_refused_event(order: StartRun, refusal: Refusal) -> LogEvent:
    return LogEvent(
        'task.start_refused',
        (
            ('key', order.run.task.job),
            ('endpoint', order.endpoint),
            ('refusal', refusal),
        ),
    )


def ready_event(endpoint: Endpoint, view: EndpointView) -> LogEvent:
    return LogEvent(
        'endpoint.ready',
        (
            ('endpoint', endpoint.report.endpoint),
            ('after', endpoint.phase),
            ('running', len(view.running)),
        ),
    )


def moved_event(
    endpoint: Endpoint, run: Run, verdict: Verdict, speeds: EndpointSpeeds
) -> LogEvent:
    name = endpoint.report.endpoint
    return LogEvent(
        'task.moved',
        (
            ('key', run.key.task.job),
            ('endpoint', name),
            ('verdict', verdict),
            ('percent', run.percent),
            ('slowness', round(speeds.slowness(name), _DIGITS)),
            ('uncertainty', round(speeds.uncertainty(name), _DIGITS)),
        ),
    )
