"""What the other parts call to log an event."""

from typing import Any

import eliot

from cuminstack.core import JobId, TaskId
from cuminstack.logs._gate import gate
from cuminstack.settings import LogLevel


def log_event(
    event: str,
    level: LogLevel = LogLevel.info,
    *,
    job: JobId | None = None,
    task: TaskId | None = None,
    **fields: Any,
) -> None:
    """Log one event, if its level is written at all.

    Args:
        event: Its name, as `part.what_happened`.
        level: How much it matters.
        job: The job that it is about.
        task: The attempt that it is about; names the job too.
        fields: Further values; enumerations stand as their values, errors
            as their type and text.
    """
    if not gate.passes(level):
        return
    ids = _ids_of(job, task)
    eliot.log_message(event, level=level.value, **{**ids, **fields})


def _ids_of(job: JobId | None, task: TaskId | None) -> dict[str, str]:
    if task:
        return {**_ids_of(task.job, None), 'task': str(task)}
    if job:
        return {'member': job.member, 'job': job.key}
    return {}
