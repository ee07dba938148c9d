"""Jobs at the dispatcher: which tasks wait, run, or are done."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.pool._records import (
    JobRequest,
    QueueTerms,
    Step,
    TaskKey,
)

#: Times the objective after which an answer has lost its use to most
#: callers.
_USEFUL_SPAN: Final = 3.0


class TaskState(enum.Enum):
    """Where a task stands."""

    waiting = 'waiting'
    placed = 'placed'
    done = 'done'


@dataclass(slots=True)
class Task:
    """One task of a job.

    Args:
        key: Which.
        number: Number of its newest run.
        state: Where it stands.
        endpoint: Where its newest run is.
        failed_on: Endpoints on which runs of it failed.
        failures: Runs of it that failed.
        moves: Runs of it that were stopped to begin anew elsewhere.
    """

    key: TaskKey
    number: int
    state: TaskState = TaskState.waiting
    endpoint: EndpointId | None = None
    failed_on: tuple[EndpointId, ...] = ()
    failures: int = 0
    moves: int = 0


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as an entry hands it over.

    Args:
        request: The job.
        terms: What the desired state says of its queue.
        entry: The instance that waits for its end.
        arrived_at: When the caller submitted it.
        deadline: When the caller stops waiting.
        held_until: Until then its tasks may be running at endpoints that
            this dispatcher has not asked.
        is_resumed: Whether tasks of it may have run.
        is_blind: Whether they may be running at endpoints that it doesn't
            know of.
    """

    request: JobRequest
    terms: QueueTerms
    entry: InstanceId
    arrived_at: float
    deadline: float
    held_until: float = 0
    is_resumed: bool = False
    is_blind: bool = False


class Job:
    """One job and its tasks.

    Args:
        submission: What was handed over.
        first_number: Run numbers of its tasks are above this one.
        seconds: Expected run time of a task, for each step.
    """

    def __init__(
        self,
        submission: Submission,
        *,
        first_number: int,
        seconds: tuple[float, ...],
    ) -> None:
        self.submission = submission
        self.seconds = seconds
        self.abandoned = False
        self._first_number = first_number
        self.ratios: dict[TaskKey, tuple[EndpointId, float]] = {}
        self.tasks = {
            key: Task(key, first_number)
            for key in _task_keys(submission.request)
        }
        self._undone = [step.count for step in self.steps]

    @property
    def steps(self) -> tuple[Step, ...]:
        """Its steps."""
        return self.submission.request.steps

    @property
    def terms(self) -> QueueTerms:
        """What the desired state says of its queue."""
        return self.submission.terms

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return not any(self._undone)

    @property
    def is_started(self) -> bool:
        """Whether a task was started."""
        return any(
            task.number > self._first_number for task in self.tasks.values()
        )

    @property
    def may_have_run(self) -> bool:
        """Whether a task was started here or by another dispatcher."""
        return self.is_started or self.submission.is_resumed

    @property
    def runs_anything(self) -> bool:
        """Whether a task has a run that has not ended."""
        return any(
            task.state is TaskState.placed for task in self.tasks.values()
        )

    @property
    def objective(self) -> float:
        """When a caller expects the answer at the latest."""
        terms = self.terms
        chain = self._longest_chain() * terms.stretch + terms.slack
        return self.submission.arrived_at + chain

    @property
    def useful_until(self) -> float:
        """When an answer has lost its use, or the caller has left."""
        arrived_at = self.submission.arrived_at
        span = (self.objective - arrived_at) * _USEFUL_SPAN
        return min(arrived_at + span, self.submission.deadline)

    @property
    def waiting_work(self) -> float:
        """Work of the tasks that wait, in seconds of a millicore."""
        return self._work_of(TaskState.waiting)

    @property
    def running_work(self) -> float:
        """Work of the tasks that run, in seconds of a millicore."""
        return self._work_of(TaskState.placed)

    def finish_after(self, start: float) -> float:
        """Give when the job is done if it starts at a time."""
        return start + self._longest_chain()

    def ready_tasks(self) -> Iterator[Task]:
        """List the tasks that may be started now."""
        for task in self.tasks.values():
            is_waiting = task.state is TaskState.waiting
            if is_waiting and self._is_open(task.key.step):
                yield task

    def sibling_ratio(
        self, task: TaskKey, endpoint: EndpointId
    ) -> float | None:
        """Give how long tasks alike take at other endpoints.

        Gives:
            The least ratio to the expected run time; None if there is none.
        """
        ratios = [
            ratio
            for key, (place, ratio) in self.ratios.items()
            if key.step == task.step and place != endpoint
        ]
        return min(ratios, default=None)

    def finish(self, task: Task) -> None:
        """Take that a task is done."""
        if task.state is not TaskState.done:
            task.state = TaskState.done
            self._undone[task.key.step] -= 1

    def _work_of(self, state: TaskState) -> float:
        return sum(
            self.seconds[task.key.step]
            * self.steps[task.key.step].needs.millicores
            for task in self.tasks.values()
            if task.state is state
        )

    def _is_open(self, step: int) -> bool:
        after = self.steps[step].after
        return not any(self._undone[earlier] for earlier in after)

    def _longest_chain(self) -> float:
        ends: list[float] = []
        for step, seconds in zip(self.steps, self.seconds, strict=True):
            before = max((ends[each] for each in step.after), default=0)
            ends.append(before + seconds)
        return max(ends, default=0)


def _task_keys(request: JobRequest) -> Iterator[TaskKey]:
    for number, step in enumerate(request.steps):
        for index in range(step.count):
            yield TaskKey(request.key, number, index)
