"""Queued tasks, first in first out within a class of like tasks."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from cuminstack.core import (
    EndpointRecord,
    EndpointState,
    Needs,
    ServiceRef,
    TaskId,
)
from cuminstack.slots._policy import QueuedTask


@dataclass(frozen=True, slots=True)
class TaskClass:
    """Tasks that the same endpoints can run."""

    service: ServiceRef
    needs: Needs

    def fits(self, record: EndpointRecord) -> bool:
        """Tell whether an endpoint takes tasks of this class."""
        return (
            record.state is EndpointState.serving
            and record.runs(self.service)
            and self.needs.fit_in(record.offers)
        )


def class_of(task: QueuedTask) -> TaskClass:
    """Give the class of a task."""
    return TaskClass(task.service, task.needs)


class TaskQueue:
    """Tasks that wait, by class."""

    def __init__(self) -> None:
        self._tasks: dict[TaskClass, OrderedDict[TaskId, QueuedTask]] = {}
        self._class_of: dict[TaskId, TaskClass] = {}

    @property
    def classes(self) -> tuple[TaskClass, ...]:
        """Classes with a task that waits."""
        return tuple(self._tasks)

    def __len__(self) -> int:
        return len(self._class_of)

    def push(self, tasks: Sequence[QueuedTask]) -> None:
        """Add tasks at the end of their classes; a known one stays put."""
        for task in tasks:
            key = class_of(task)
            if task.task not in self._class_of:
                self._class_of[task.task] = key
                self._tasks.setdefault(key, OrderedDict())[task.task] = task

    def pop(self, task_class: TaskClass) -> QueuedTask:
        """Take the first task of a class."""
        waiting = self._tasks[task_class]
        task_id, task = waiting.popitem(last=False)
        self._class_of.pop(task_id)
        if not waiting:
            self._tasks.pop(task_class)
        return task

    def withdraw(self, tasks: Sequence[TaskId]) -> None:
        """Drop tasks; unknown ones are ignored."""
        for task_id in tasks:
            key = self._class_of.pop(task_id, None)
            if key is not None:
                self._drop(key, task_id)

    def _drop(self, key: TaskClass, task_id: TaskId) -> None:
        waiting = self._tasks[key]
        waiting.pop(task_id)
        if not waiting:
            self._tasks.pop(key)
