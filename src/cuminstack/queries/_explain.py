"""The way of a job through the logs of all instances."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from cuminstack.logs import BadLine, read_fields

#: Around the lines of a job, those of its endpoints and dispatchers are shown
#: as well: what became known just before may have decided on it.
_AROUND: Final = timedelta(seconds=1)
#: An entry has another dispatcher, which matters to its own jobs.
_CHANGED: Final = 'dispatcher.changed'


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """A line of a log.

    Args:
        source: Which log it stands in.
        time: When it was written, by the clock of that instance.
        fields: Its fields, by name.
        text: The line.
    """

    source: str
    time: datetime
    fields: Mapping[str, str]
    text: str

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields.get('event', '')

    def is_of(self, job: str) -> bool:
        """Tell whether it names a job."""
        jobs = self.fields.get('jobs', '').split(',')
        return job == self.fields.get('key') or job in jobs


def read_events(source: str, lines: Iterable[str]) -> tuple[LoggedEvent, ...]:
    """Read the lines of a log; those that no instance wrote are left out.

    Args:
        source: Name of the log.
        lines: Its lines.
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
    """Choose the events that tell what became of a job, in order of time.

    Those are its own, and around them what became of the endpoints that they
    name and of the dispatcher.

    Args:
        job: Its key.
        events: Of all instances.
    """
    known = sorted(events, key=lambda event: event.time)
    own = [event for event in known if event.is_of(job)]
    if not own:
        return ()
    begins = own[0].time - _AROUND
    ends = own[-1].time + _AROUND
    logs = {event.source for event in own}
    endpoints = {event.fields.get('endpoint', '') for event in own}
    return tuple(
        event
        for event in known
        if event.is_of(job)
        or (begins <= event.time <= ends and _matters(event, logs, endpoints))
    )


def _matters(event: LoggedEvent, logs: set[str], endpoints: set[str]) -> bool:
    """Tell whether an event is of an endpoint or dispatcher of a job."""
    if event.event == _CHANGED:
        return event.source in logs
    part, _, _ = event.event.partition('.')
    if part == 'endpoint':
        return event.fields.get('endpoint') in endpoints
    return part == 'dispatcher'
