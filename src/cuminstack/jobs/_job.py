"""State machine of one job and its tasks.

The states of a task are queued → started → answered | failed | unknown. A
task returns to queued only if its attempt provably did not start.
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
    """State of a task."""

    queued = 'queued'
    started = 'started'
    answered = 'answered'
    failed = 'failed'
    unknown = 'unknown'


@dataclass(slots=True)
class TaskRecord:
    """Mutable state of one task; `answer` is JSON text."""

    state: TaskState = TaskState.queued
    attempt: int = _FIRST_ATTEMPT
    endpoint: EndpointId | None = None
    answer: bytes = b''


class Job:
    """One accepted job with the states of its tasks.

    Args:
        request: The submission.
        accepted_at: Time of acceptance, in seconds.
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
        self._records = [
            TaskRecord(attempt=first_attempt) for _ in request.tasks
        ]
        self._unanswered = len(request.tasks)
        self._retries = 0
        self._outcome: Outcome | None = None

    @property
    def request(self) -> JobRequest:
        """The submission."""
        return self._request

    @property
    def deadline(self) -> float:
        """Time in seconds at which the job fails; no task starts after it."""
        return self._deadline

    @property
    def outcome(self) -> Outcome | None:
        """How the job ended, or None while it is in progress."""
        return self._outcome

    @property
    def retries(self) -> int:
        """Number of attempts so far that provably did not start."""
        return self._retries

    @property
    def may_have_run(self) -> bool:
        """Whether any task may have been started."""
        return any(
            record.state is not TaskState.queued for record in self._records
        )

    def queued(self) -> tuple[QueuedTask, ...]:
        """Return the tasks that wait for a slot."""
        return tuple(
            self.queued_task(index)
            for index, record in enumerate(self._records)
            if record.state is TaskState.queued
        )

    def queued_task(self, index: int) -> QueuedTask:
        """Return the description of a task for the dispatch policy."""
        spec = self._request.tasks[index]
        return QueuedTask(
            task=self.task_id(index),
            service=self._request.service,
            needs=spec.needs,
            expected=spec.expected,
        )

    def task_id(self, index: int) -> TaskId:
        """Return the id of the current attempt at a task."""
        attempt = self._records[index].attempt
        return TaskId(self._request.job, index, attempt)

    def is_current(self, task: TaskId, state: TaskState) -> bool:
        """Return whether an attempt is the current one and in a given state."""
        if task.index >= len(self._records):
            return False
        record = self._records[task.index]
        return record.attempt == task.attempt and record.state is state

    def mark_started(self, task: TaskId, endpoint: EndpointId) -> None:
        """Mark an attempt as started.

        Call this before the first byte of the start request is sent.
        """
        record = self._records[task.index]
        record.state = TaskState.started
        record.endpoint = endpoint

    def requeue(self, task: TaskId) -> TaskId:
        """Queue a task again whose attempt did not start.

        Returns:
            The id of the next attempt.
        """
        record = self._records[task.index]
        record.state = TaskState.queued
        record.endpoint = None
        record.attempt += 1
        self._retries += 1
        return self.task_id(task.index)

    def record_answer(self, task: TaskId, answer: bytes) -> None:
        """Store the answer of a task; the last one completes the job."""
        record = self._records[task.index]
        record.state = TaskState.answered
        record.answer = answer
        self._unanswered -= 1
        if not self._unanswered:
            answers = tuple(each.answer for each in self._records)
            self._outcome = Complete(answers)

    def mark_unanswered(self, task: TaskId, state: TaskState) -> None:
        """Mark an attempt as failed or unknown, as `state` says."""
        self._records[task.index].state = state

    def give_up(
        self,
        failure: FailureReason,
        refusal: RefusalReason,
        *,
        retry_after: float = 0,
        detail: str = '',
    ) -> tuple[JobEffect, ...]:
        """End the job without an answer.

        The outcome is a refusal if no task may have been started, and a
        failure otherwise.

        Args:
            failure: Reason if some task may have been started.
            refusal: Reason if no task was started.
            retry_after: Seconds after which a refused caller may retry.
            detail: Human-readable explanation.

        Returns:
            The effects that withdraw queued tasks and stop started ones.
        """
        if self.may_have_run:
            self._outcome = Failed(failure, detail)
        else:
            self._outcome = Refused(refusal, retry_after, detail)
        return self._cleanup_effects()

    def _cleanup_effects(self) -> tuple[JobEffect, ...]:
        effects: list[JobEffect] = []
        waiting = tuple(queued.task for queued in self.queued())
        if waiting:
            effects.append(Withdraw(waiting))
        effects.extend(self._stop_effects())
        return tuple(effects)

    def _stop_effects(self) -> list[StopStarted]:
        running: dict[EndpointId, list[TaskId]] = defaultdict(list)
        for index, record in enumerate(self._records):
            if (
                record.state is TaskState.started
                and record.endpoint is not None
            ):
                running[record.endpoint].append(self.task_id(index))
        return [
            StopStarted(endpoint, tuple(tasks))
            for endpoint, tasks in running.items()
        ]
