"""The tasks of a stand-in endpoint: their states, and how they are refused."""

import asyncio
import enum
from dataclasses import dataclass
from typing import Any


class TaskState(enum.Enum):
    """Where a task that started has got to."""

    running = 'running'
    answered = 'answered'
    failed = 'failed'


class Refusal(enum.Enum):
    """Why a task was not started."""

    full = 'full'
    leaving = 'leaving'
    expired = 'expired'
    mode = 'mode'
    refused_before = 'refused-before'
    stopped = 'stopped'


@dataclass(eq=False)
class DuplicateTask(Exception):
    """The task id was started before."""

    task: str


@dataclass(eq=False)
class NotStarted(Exception):
    """The task was refused and will never start under its id."""

    task: str
    reason: Refusal


class TaskRun:
    """A task that started; it runs on whatever becomes of its connection."""

    def __init__(self, task: str, answer: Any) -> None:
        self.task = task
        self.state = TaskState.running
        self.done: asyncio.Future[TaskState] = (
            asyncio.get_running_loop().create_future()
        )
        self._answer = answer

    @property
    def description(self) -> dict[str, Any]:
        """Give the body of the response to a question for the state."""
        if self.state is TaskState.answered:
            return {'state': self.state.value, 'answer': self._answer}
        return {'state': self.state.value}

    @property
    def answer(self) -> Any:
        """Give the answer that the task has or will have."""
        return self._answer

    def finish(self, state: TaskState) -> bool:
        """End the run; return whether this call ended it."""
        if self.done.done():
            return False
        self.state = state
        self.done.set_result(state)
        return True
