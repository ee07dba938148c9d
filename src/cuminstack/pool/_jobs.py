"""Jobs at the dispatcher: which tasks wait, run, or are done."""

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.pool._records import (
    JobRequest,
    QueueTerms,
    Room,
    RunKey,
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


@dataclass(frozen=True, slots=True)
class _Standing:
    """What follows from the states of all tasks of a job."""

    ready: tuple[Task, ...]
    ready_needs: tuple[Room, ...]
    waiting_work: float
    running_work: float
    is_started: bool
    runs_anything: bool


class Job:
    """One job and its tasks.

    Tasks change their state through their job only, as what follows from
    their states is asked for at every event and worked out once a change.

    Args:
        submission: What was handed over.
        first_number: Run numbers of its tasks are above this one.
        seconds: Expected run time of a task, for each step.
        number: Grows with each job of a dispatcher.
        changed: Called with the job when a task of it changes its state.
    """

    def __init__(
        self,
        submission: Submission,
        *,
        first_number: int,
        seconds: tuple[float, ...],
        number: int,
        changed: Callable[['Job'], None],
    ) -> None:
        self.number = number
        self._changed = changed
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
        self._chain = _longest_chain(self.steps, seconds)
        self._known: _Standing | None = None

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
        return self._standing.is_started

    @property
    def may_have_run(self) -> bool:
        """Whether a task was started here or by another dispatcher."""
        return self.is_started or self.submission.is_resumed

    @property
    def runs_anything(self) -> bool:
        """Whether a task has a run that has not ended."""
        return self._standing.runs_anything

    @property
    def ready_tasks(self) -> tuple[Task, ...]:
        """The tasks that may be started now."""
        return self._standing.ready

    @property
    def ready_needs(self) -> tuple[Room, ...]:
        """Room that those tasks take, each amount once."""
        return self._standing.ready_needs

    @property
    def objective(self) -> float:
        """When a caller expects the answer at the latest."""
        terms = self.terms
        chain = self._chain * terms.stretch + terms.slack
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
        return self._standing.waiting_work

    @property
    def running_work(self) -> float:
        """Work of the tasks that run, in seconds of a millicore."""
        return self._standing.running_work

    @property
    def _standing(self) -> _Standing:
        if self._known is None:
            self._known = self._work_out()
        return self._known

    def finish_after(self, start: float) -> float:
        """Give when the job is done if it starts at a time."""
        return start + self._chain

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

    def begin(self, task: Task, endpoint: EndpointId) -> RunKey:
        """Give the run of a task that is about to be started."""
        task.number += 1
        self._place(task, endpoint)
        return RunKey(task.key, task.number)

    def claim(self, task: Task, run: RunKey, endpoint: EndpointId) -> None:
        """Take that a task has a run of another dispatcher."""
        task.number = max(task.number, run.number)
        self._place(task, endpoint)

    def requeue(self, task: Task) -> None:
        """Take that a task has no run any more, and has to have one."""
        task.state = TaskState.waiting
        self._take_change()

    def finish(self, task: Task) -> None:
        """Take that a task is done."""
        if task.state is not TaskState.done:
            task.state = TaskState.done
            self._undone[task.key.step] -= 1
            self._take_change()

    def _place(self, task: Task, endpoint: EndpointId) -> None:
        task.state = TaskState.placed
        task.endpoint = endpoint
        self._take_change()

    def _take_change(self) -> None:
        self._known = None
        self._changed(self)

    def _work_out(self) -> _Standing:
        tasks = self.tasks.values()
        ready = tuple(
            task
            for task in tasks
            if task.state is TaskState.waiting and self._is_open(task.key.step)
        )
        steps = dict.fromkeys(task.key.step for task in ready)
        return _Standing(
            ready=ready,
            ready_needs=tuple(self.steps[step].needs for step in steps),
            waiting_work=self._work_of(TaskState.waiting),
            running_work=self._work_of(TaskState.placed),
            is_started=any(task.number > self._first_number for task in tasks),
            runs_anything=any(task.state is TaskState.placed for task in tasks),
        )

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


def _longest_chain(
    steps: tuple[Step, ...],
    seconds: tuple[float, ...],
) -> float:
    ends: list[float] = []
    for step, each in zip(steps, seconds, strict=True):
        before = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(before + each)
    return max(ends, default=0)


def _task_keys(request: JobRequest) -> Iterator[TaskKey]:
    for number, step in enumerate(request.steps):
        for index in range(step.count):
            yield TaskKey(request.key, number, index)
