"""Effects: the actions that decision logic requests from its caller.

Decision logic does no input or output.  It takes the current time and an
event, and returns effects; the caller performs them.
"""

from dataclasses import dataclass
from typing import Any

from cuminstack.core._names import EndpointId, InstanceId, TaskId


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another instance, without a delivery guarantee.

    Args:
        to: The receiving instance.
        message: A message that is registered with `wire.message`.
    """

    to: InstanceId
    message: Any


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start an attempt at a task on an endpoint, in a slot leased for it."""

    task: TaskId
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class StopTasks:
    """Request that an endpoint stop tasks that it may be running."""

    endpoint: EndpointId
    tasks: tuple[TaskId, ...]
