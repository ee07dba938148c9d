"""What deciding parts ask the layer around them to do.

A deciding part takes the present time and an event and returns effects; it
never performs them.
"""

from dataclasses import dataclass
from typing import Any

from cuminstack.core._names import EndpointId, InstanceId, TaskId


@dataclass(frozen=True, slots=True)
class Send:
    """Send a peer message to another instance; it may get lost."""

    to: InstanceId
    message: Any


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start one attempt at an endpoint, in a slot leased for it."""

    task: TaskId
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class StopTasks:
    """Ask an endpoint to stop tasks that it may be running."""

    endpoint: EndpointId
    tasks: tuple[TaskId, ...]
