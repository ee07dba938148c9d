"""Logs an event with its level, its identifiers and further fields."""

from typing import Any

import eliot

from cuminstack.core import JobId, TaskId
from cuminstack.logs._level import level_filter
from cuminstack.settings import LogLevel


def log_event(
    event: str,
    level: LogLevel = LogLevel.info,
    *,
    job: JobId | None = None,
    task: TaskId | None = None,
    **fields: Any,
) -> None:
    """Log an event, unless its level is below the configured one.

    Args:
        event: Name of the event, in the form `component.what_happened`.
        level: Severity of the event.
        job: Job that the event concerns.
        task: Attempt that the event concerns; it implies the job.
        fields: Further fields.  Enumeration members are written as their
            values, exceptions as their type and text.
    """
    if not level_filter.passes(level):
        return
    ids = _ids_of(job, task)
    eliot.log_message(event, level=level.value, **{**ids, **fields})


def _ids_of(job: JobId | None, task: TaskId | None) -> dict[str, str]:
    if task:
        return {**_ids_of(task.job, None), 'task': str(task)}
    if job:
        return {'member': job.member, 'job': job.key}
    return {}
