"""Jobs at the dispatcher, and the states of their tasks."""

import enum
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.pool._records import (
    JobRequest,
    QueueTerms,
    Resources,
    RunKey,
    Step,
    TaskKey,
)

#: Multiple of the time to the objective after which an answer is of little use
#: to most clients.
USEFUL_FACTOR: Final = 3.0
#: Tasks of a step that others are compared with; more would tell little more,
#: and steps have up to 1,800 tasks.
_MAX_SIBLINGS: Final = 16
#: Ratio of actual to expected run time at slowness 1.0, and the endpoint.
_Measured = tuple[float, EndpointId]
#: Least work of a job, in millicore-seconds, as it divides other work.
_MIN_WORK: Final = 1e-6


class TaskState(enum.Enum):
    """State of a task."""

    waiting = 'waiting'
    placed = 'placed'
    done = 'done'


@dataclass(slots=True)
class Task:
    """One task of a job.

    Args:
        key: Key of the task.
        number: Number of its newest run.
        state: State of the task.
        endpoint: Endpoint of its newest run.
        failed_on: Endpoints on which runs of it failed or were too slow.
        failures: Number of its runs that failed.
        moves: Number of its runs that were stopped to restart elsewhere.
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
    """A job as an entry instance hands it over.

    Args:
        request: The requested job.
        terms: Terms of its queue in the desired state.
        entry: The entry instance, which waits for the outcome.
        arrived_at: Time at which the client submitted it.
        deadline: Time at which the client stops waiting.
        held_until: Time until which its tasks may be running at endpoints that
            this dispatcher has not asked yet.
        is_resumed: Whether any of its tasks may have run.
        may_run_elsewhere: Whether its tasks may be running at endpoints that
            this dispatcher does not know.
    """

    request: JobRequest
    terms: QueueTerms
    entry: InstanceId
    arrived_at: float
    deadline: float
    held_until: float = 0
    is_resumed: bool = False
    may_run_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class _JobSummary:
    """Values derived from the states of all tasks of a job."""

    ready: tuple[Task, ...]
    ready_needs: tuple[Resources, ...]
    waiting_work: float
    running_work: float
    waiting_share: float
    remaining_path: float
    is_started: bool
    has_active_runs: bool


class Job:
    """One job and its tasks.

    Tasks change their state only through methods of their job.  The values
    derived from these states are read at every event and cached until a task
    changes its state.

    Args:
        submission: The job as it was handed over.
        first_number: Run numbers of its tasks are above this one.
        expected_seconds: Expected run time of a task, for each step.
        number: Serial number of the job at this dispatcher; increasing.
        on_change: Called with the job when one of its tasks changes state.
    """

    def __init__(
        self,
        submission: Submission,
        *,
        first_number: int,
        expected_seconds: tuple[float, ...],
        number: int,
        on_change: Callable[['Job'], None],
    ) -> None:
        self.number = number
        self._on_change = on_change
        self.submission = submission
        self.expected_seconds = expected_seconds
        self.abandoned = False
        self._first_number = first_number
        # Ratios of the tasks that were measured last, by step.
        self._ratios: defaultdict[int, dict[TaskKey, _Measured]] = defaultdict(
            dict
        )
        self.tasks = {
            key: Task(key, first_number)
            for key in _task_keys(submission.request)
        }
        total_work = sum(
            seconds * step.needs.millicores * step.count
            for step, seconds in zip(self.steps, expected_seconds, strict=True)
        )
        # Tasks may need no processor capacity.
        self._total_work = max(total_work, _MIN_WORK)
        self._unfinished = [step.count for step in self.steps]
        self._critical_path = critical_path_seconds(
            self.steps, expected_seconds
        )
        self._cached_summary: _JobSummary | None = None

    @property
    def steps(self) -> tuple[Step, ...]:
        """Steps of the job."""
        return self.submission.request.steps

    @property
    def terms(self) -> QueueTerms:
        """Terms of its queue in the desired state."""
        return self.submission.terms

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return not any(self._unfinished)

    @property
    def is_started(self) -> bool:
        """Whether a task was started by this dispatcher or claimed by it."""
        return self._summary.is_started

    @property
    def may_have_run(self) -> bool:
        """Whether any task may have run, under this dispatcher or another."""
        return self.is_started or self.submission.is_resumed

    @property
    def has_active_runs(self) -> bool:
        """Whether a task has a run that has not ended."""
        return self._summary.has_active_runs

    @property
    def ready_tasks(self) -> tuple[Task, ...]:
        """Tasks that may be started now."""
        return self._summary.ready

    @property
    def ready_needs(self) -> tuple[Resources, ...]:
        """Resources that the ready tasks need, once for each step."""
        return self._summary.ready_needs

    @property
    def objective(self) -> float:
        """Time by which the client expects the answer."""
        return self.submission.arrived_at + self._allowance()

    @property
    def useful_until(self) -> float:
        """Time after which an answer is of little use to the client."""
        return self.useful_until_at(1)

    @property
    def pace(self) -> float:
        """Lowest measured ratio of actual to expected run time, at least 1.

        A few jobs take several times as long as usual, so their objective is
        later than expected as well.
        """
        ratios = [
            ratio
            for measured in self._ratios.values()
            for ratio, _ in measured.values()
        ]
        return max(1, min(ratios, default=1))

    @property
    def remaining_path(self) -> float:
        """Expected seconds for the steps that are not done, one by one.

        Steps that don't depend on each other run at the same time.  A running
        task counts in full.
        """
        return self._summary.remaining_path

    @property
    def waiting_work(self) -> float:
        """Work of the waiting tasks, in millicore-seconds."""
        return self._summary.waiting_work

    @property
    def waiting_share(self) -> float:
        """Share of its work whose tasks wait."""
        return self._summary.waiting_share

    @property
    def running_work(self) -> float:
        """Work of the running tasks, in millicore-seconds."""
        return self._summary.running_work

    @property
    def _summary(self) -> _JobSummary:
        if self._cached_summary is None:
            self._cached_summary = self._summarize()
        return self._cached_summary

    def useful_until_at(self, pace: float) -> float:
        """Return the end of usefulness if run times are longer than expected.

        Args:
            pace: Ratio of actual to expected run times.
        """
        submission = self.submission
        span = self._allowance(pace) * USEFUL_FACTOR
        return min(submission.arrived_at + span, submission.deadline)

    def finish_time(self, start: float) -> float:
        """Return the time at which the job is done if it starts at `start`."""
        return start + self._critical_path

    def record_ratio(
        self, task: TaskKey, endpoint: EndpointId, ratio: float
    ) -> None:
        """Record the run time of a task, known or estimated.

        Args:
            task: The task.
            endpoint: Endpoint of its run.
            ratio: Ratio of its actual to its expected run time, divided by the
                slowness of the endpoint.
        """
        ratios = self._ratios[task.step]
        ratios.pop(task, None)
        ratios[task] = (ratio, endpoint)
        if len(ratios) > _MAX_SIBLINGS:
            ratios.pop(next(iter(ratios)))

    def best_sibling(
        self, endpoint: EndpointId, step: int
    ) -> tuple[float, EndpointId] | None:
        """Return how fast tasks of a step run on other endpoints.

        Args:
            endpoint: Endpoint that is left out.
            step: The step.

        Returns:
            The lowest recorded ratio and its endpoint; None if no such task
            has been measured.
        """
        return min(
            [
                measured
                for measured in self._ratios[step].values()
                if measured[1] != endpoint
            ],
            default=None,
        )

    def begin(self, task: Task, endpoint: EndpointId) -> RunKey:
        """Create the next run of a task that is about to be started."""
        task.number += 1
        self._place(task, endpoint)
        return RunKey(task.key, task.number)

    def claim(self, task: Task, run: RunKey, endpoint: EndpointId) -> None:
        """Record that a run of another dispatcher executes a task."""
        task.number = max(task.number, run.number)
        self._place(task, endpoint)

    def requeue(self, task: Task) -> None:
        """Put a task whose run has ended back into the waiting state."""
        task.state = TaskState.waiting
        self._notify_change()

    def finish(self, task: Task) -> None:
        """Mark a task as done."""
        if task.state is not TaskState.done:
            task.state = TaskState.done
            self._unfinished[task.key.step] -= 1
            self._notify_change()

    def _allowance(self, pace: float = 1) -> float:
        """Return the seconds from arrival to the objective."""
        terms = self.terms
        return self._critical_path * pace * terms.stretch + terms.slack

    def _place(self, task: Task, endpoint: EndpointId) -> None:
        task.state = TaskState.placed
        task.endpoint = endpoint
        self._notify_change()

    def _notify_change(self) -> None:
        self._cached_summary = None
        self._on_change(self)

    def _summarize(self) -> _JobSummary:
        tasks = self.tasks.values()
        ready = tuple(
            task
            for task in tasks
            if task.state is TaskState.waiting
            and self._is_unblocked(task.key.step)
        )
        steps = dict.fromkeys(task.key.step for task in ready)
        waiting_work = self._work_of(TaskState.waiting)
        return _JobSummary(
            ready=ready,
            ready_needs=tuple(self.steps[step].needs for step in steps),
            waiting_work=waiting_work,
            waiting_share=waiting_work / self._total_work,
            running_work=self._work_of(TaskState.placed),
            remaining_path=self._remaining_path(),
            is_started=any(task.number > self._first_number for task in tasks),
            has_active_runs=any(
                task.state is TaskState.placed for task in tasks
            ),
        )

    def _remaining_path(self) -> float:
        return critical_path_seconds(
            self.steps,
            tuple(
                seconds if unfinished else 0
                for seconds, unfinished in zip(
                    self.expected_seconds, self._unfinished, strict=True
                )
            ),
        )

    def _work_of(self, state: TaskState) -> float:
        return sum(
            self.expected_seconds[task.key.step]
            * self.steps[task.key.step].needs.millicores
            for task in self.tasks.values()
            if task.state is state
        )

    def _is_unblocked(self, step: int) -> bool:
        after = self.steps[step].after
        return not any(self._unfinished[earlier] for earlier in after)


def critical_path_seconds(
    steps: tuple[Step, ...],
    expected_seconds: tuple[float, ...],
) -> float:
    """Return the run time in seconds of the longest chain of steps."""
    finish_times: list[float] = []
    for step, duration in zip(steps, expected_seconds, strict=True):
        start = max(
            (finish_times[earlier] for earlier in step.after), default=0
        )
        finish_times.append(start + duration)
    return max(finish_times, default=0)


def _task_keys(request: JobRequest) -> Iterator[TaskKey]:
    for number, step in enumerate(request.steps):
        for index in range(step.count):
            yield TaskKey(request.key, number, index)
