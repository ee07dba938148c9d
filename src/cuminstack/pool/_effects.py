"""What follows from an event at the dispatcher."""

import enum
from dataclasses import dataclass
from typing import Any

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.pool._exchange import Hold, StartRun, StopRun


@dataclass(frozen=True, slots=True)
class Fenced:
    """An endpoint obeys a token above the newest one of this dispatcher."""

    endpoint: EndpointId


class JobState(enum.Enum):
    """How a job ended."""

    completed = 'completed'
    failed = 'failed'


class RefusalReason(enum.Enum):
    """Why a job was refused; none of its tasks has run."""

    no_room = 'no_room'
    overload = 'overload'
    not_serving = 'not_serving'


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has its final answer, for the instance that waits for it."""

    job: JobKey
    entry: InstanceId
    state: JobState


@dataclass(frozen=True, slots=True)
class JobRefused:
    """A job was not taken and never runs."""

    job: JobKey
    entry: InstanceId
    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True, slots=True)
class Noted:
    """A decision worth a log line.

    Args:
        event: Name of the event.
        values: What decided it, as pairs.
    """

    event: str
    values: tuple[tuple[str, Any], ...] = ()


Effect = StartRun | StopRun | Hold | JobEnded | JobRefused | Noted | Fenced
Effects = tuple[Effect, ...]
