"""Effects that the dispatcher returns for its caller to carry out."""

import enum
from dataclasses import dataclass
from typing import Any

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.pool._exchange import Hold, StartRun, StopRun


@dataclass(frozen=True, slots=True)
class Fenced:
    """An endpoint obeys a fencing token newer than any of this dispatcher.

    Args:
        endpoint: The endpoint.
        term: Term of this dispatcher.
        has_obeyed: Whether it obeyed this dispatcher earlier in its term, so
            that another one has issued the newer token since.
    """

    endpoint: EndpointId
    term: int
    has_obeyed: bool


@dataclass(frozen=True, slots=True)
class TokensLow:
    """Few tokens are left in a term; a later one has to begin."""

    term: int


class JobState(enum.Enum):
    """Final state of a job.

    Attributes:
        completed: All its tasks are done.
        failed: A task failed too often.
        useless: It could not be useful any more, and was ended while tasks
            were waiting; it isn't known which of its tasks ran.
    """

    completed = 'completed'
    failed = 'failed'
    useless = 'useless'


class RefusalReason(enum.Enum):
    """Reason why a job was refused; none of its tasks has run.

    Attributes:
        no_room: No endpoint of the service is large enough for a task.
        overload: The job would be answered too late to be useful.
        not_serving: No endpoint of the service is known.
    """

    no_room = 'no_room'
    overload = 'overload'
    not_serving = 'not_serving'


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has reached its final state, which its entry instance awaits."""

    job: JobKey
    entry: InstanceId
    state: JobState


@dataclass(frozen=True, slots=True)
class JobRefused:
    """A job was refused and will not run; `retry_after` is in seconds."""

    job: JobKey
    entry: InstanceId
    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A decision to be written to the log.

    Args:
        event: Name of the log event.
        values: Fields of the log event, as pairs of key and value.
    """

    event: str
    values: tuple[tuple[str, Any], ...] = ()


Effect = (
    StartRun
    | StopRun
    | Hold
    | JobEnded
    | JobRefused
    | LogEvent
    | Fenced
    | TokensLow
)
Effects = tuple[Effect, ...]
