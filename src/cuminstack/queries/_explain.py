"""Extraction of the events that affected a job from the instances' logs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from cuminstack.logs import BadLine, read_fields

#: Events of the job's endpoints and dispatchers are included from this long
#: before its first event until this long after its last: an event just before
#: may be the cause of what happened to the job.
_CONTEXT_WINDOW: Final = timedelta(seconds=1)
#: Event that an entry logs when it switches to another dispatcher; relevant
#: only to the jobs of that entry.
_DISPATCHER_CHANGED: Final = 'dispatcher.changed'


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One parsed log line.

    Args:
        source: Name of the log.
        time: When the line was written, by the clock of the instance.
        fields: Values of the fields, by name.
        text: The line, without surrounding whitespace.
    """

    source: str
    time: datetime
    fields: Mapping[str, str]
    text: str

    @property
    def event_name(self) -> str:
        """Name of the event; empty if the line has none."""
        return self.fields.get('event', '')

    def mentions_job(self, job: str) -> bool:
        """Return whether the event names the job with the given key."""
        jobs = self.fields.get('jobs', '').split(',')
        return job == self.fields.get('key') or job in jobs


def read_events(source: str, lines: Iterable[str]) -> tuple[LoggedEvent, ...]:
    """Parse the lines of a log.

    Lines without log fields or a valid time, such as tracebacks, are skipped.

    Args:
        source: Name of the log.
        lines: Lines of the log.

    Returns:
        The events, in the order of the lines.
    """
    events: list[LoggedEvent] = []
    for line in lines:
        try:
            fields = read_fields(line)
            moment = datetime.fromisoformat(fields.get('time', ''))
        except (BadLine, ValueError):
            continue
        events.append(LoggedEvent(source, moment, fields, line.strip()))
    return tuple(events)


def explain_job(
    job: str,
    events: Iterable[LoggedEvent],
) -> tuple[LoggedEvent, ...]:
    """Select the events that explain the course of a job.

    These are the events that name the job and, shortly before, between and
    after them, the events of dispatchers and of the endpoints they name.

    Args:
        job: Key of the job.
        events: Events of all instances, in any order.

    Returns:
        The selected events, ordered by time; none if no event names the job.
    """
    sorted_events = sorted(events, key=lambda event: event.time)
    job_events = [event for event in sorted_events if event.mentions_job(job)]
    if not job_events:
        return ()
    start = job_events[0].time - _CONTEXT_WINDOW
    end = job_events[-1].time + _CONTEXT_WINDOW
    logs = {event.source for event in job_events}
    endpoints = {event.fields.get('endpoint', '') for event in job_events}
    return tuple(
        event
        for event in sorted_events
        if event.mentions_job(job)
        or (
            start <= event.time <= end
            and _may_affect_job(event, logs, endpoints)
        )
    )


def _may_affect_job(
    event: LoggedEvent, logs: set[str], endpoints: set[str]
) -> bool:
    """Return whether an event may have affected a job that it does not name.

    Args:
        event: The event.
        logs: Names of the logs with events of the job.
        endpoints: Endpoints that the events of the job name.
    """
    if event.event_name == _DISPATCHER_CHANGED:
        return event.source in logs
    category, _, _ = event.event_name.partition('.')
    if category == 'endpoint':
        return event.fields.get('endpoint') in endpoints
    return category == 'dispatcher'
