"""The life of one job and of its tasks.

A task moves queued → started → answered | failed | unknown, and back to
queued only from an attempt that provably did not start.
"""

import enum
from collections import defaultdict
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, TaskId
from cuminstack.jobs._types import (
    Complete,
    Failed,
    FailureReason,
    JobEffect,
    JobRequest,
    Outcome,
    RefusalReason,
    Refused,
    StopStarted,
    Withdraw,
)
from cuminstack.slots import QueuedTask

_FIRST_ATTEMPT: Final = 1


class TaskState(enum.Enum):
    """Where a task is in its life."""

    queued = 'queued'
    started = 'started'
    answered = 'answered'
    failed = 'failed'
    unknown = 'unknown'


@dataclass(slots=True)
class TaskLife:
    """The mutable state of one task; `answer` is JSON text."""

    state: TaskState = TaskState.queued
    attempt: int = _FIRST_ATTEMPT
    endpoint: EndpointId | None = None
    answer: bytes = b''


class Job:
    """One accepted job; knows what may still be started.

    Args:
        request: What was asked for.
        accepted_at: Present time, in seconds.
        first_attempt: Number of the first attempt at each task.
    """

    def __init__(
        self,
        request: JobRequest,
        *,
        accepted_at: float,
        first_attempt: int = _FIRST_ATTEMPT,
    ) -> None:
        self._request = request
        self._deadline = accepted_at + request.within
        self._lives = [TaskLife(attempt=first_attempt) for _ in request.tasks]
        self._unanswered = len(request.tasks)
        self._retries = 0
        self._outcome: Outcome | None = None

    @property
    def request(self) -> JobRequest:
        """What was asked for."""
        return self._request

    @property
    def deadline(self) -> float:
        """Time after which no task may start and the job has failed."""
        return self._deadline

    @property
    def outcome(self) -> Outcome | None:
        """How the job ended, or none while it runs."""
        return self._outcome

    @property
    def retries(self) -> int:
        """Attempts so far that provably did not start."""
        return self._retries

    @property
    def may_have_run(self) -> bool:
        """Whether any task may have started."""
        return any(life.state is not TaskState.queued for life in self._lives)

    def queued(self) -> tuple[QueuedTask, ...]:
        """List the tasks that wait for a slot."""
        return tuple(
            self.queued_task(index)
            for index, life in enumerate(self._lives)
            if life.state is TaskState.queued
        )

    def queued_task(self, index: int) -> QueuedTask:
        """Describe one task to the dispatch policy."""
        spec = self._request.tasks[index]
        return QueuedTask(
            task=self.task_id(index),
            service=self._request.service,
            needs=spec.needs,
            expected=spec.expected,
        )

    def task_id(self, index: int) -> TaskId:
        """Give the id of the current attempt at a task."""
        attempt = self._lives[index].attempt
        return TaskId(self._request.job, index, attempt)

    def is_current(self, task: TaskId, state: TaskState) -> bool:
        """Tell whether an attempt is the current one and in a state."""
        if task.index >= len(self._lives):
            return False
        life = self._lives[task.index]
        return life.attempt == task.attempt and life.state is state

    def start(self, task: TaskId, endpoint: EndpointId) -> None:
        """Mark an attempt as started; call before its first byte is sent."""
        life = self._lives[task.index]
        life.state = TaskState.started
        life.endpoint = endpoint

    def requeue(self, task: TaskId) -> TaskId:
        """Take back an attempt that did not start; give the next one."""
        life = self._lives[task.index]
        life.state = TaskState.queued
        life.endpoint = None
        life.attempt += 1
        self._retries += 1
        return self.task_id(task.index)

    def answer(self, task: TaskId, answer: bytes) -> None:
        """Keep the answer of an attempt; the last one completes the job."""
        life = self._lives[task.index]
        life.state = TaskState.answered
        life.answer = answer
        self._unanswered -= 1
        if not self._unanswered:
            answers = tuple(each.answer for each in self._lives)
            self._outcome = Complete(answers)

    def lose(self, task: TaskId, state: TaskState) -> None:
        """Mark an attempt as failed or unknown."""
        self._lives[task.index].state = state

    def give_up(
        self,
        failure: FailureReason,
        refusal: RefusalReason,
        *,
        retry_after: float = 0,
        detail: str = '',
    ) -> tuple[JobEffect, ...]:
        """End the job without an answer.

        It counts as refused only if no task may have started.
        """
        if self.may_have_run:
            self._outcome = Failed(failure, detail)
        else:
            self._outcome = Refused(refusal, retry_after, detail)
        return self._wind_up()

    def _wind_up(self) -> tuple[JobEffect, ...]:
        effects: list[JobEffect] = []
        waiting = tuple(queued.task for queued in self.queued())
        if waiting:
            effects.append(Withdraw(waiting))
        effects.extend(self._stops())
        return tuple(effects)

    def _stops(self) -> list[StopStarted]:
        running: dict[EndpointId, list[TaskId]] = defaultdict(list)
        for index, life in enumerate(self._lives):
            if life.state is TaskState.started and life.endpoint is not None:
                running[life.endpoint].append(self.task_id(index))
        return [
            StopStarted(endpoint, tuple(tasks))
            for endpoint, tasks in running.items()
        ]
