"""Queues of tasks, in FIFO order within a group."""

from collections import OrderedDict
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from cuminstack.core import (
    EndpointRecord,
    EndpointState,
    Needs,
    ServiceRef,
    TaskId,
)
from cuminstack.slots._policy import QueuedTask

Group = TypeVar('Group', bound=Hashable)


@dataclass(frozen=True, slots=True)
class TaskClass:
    """Tasks that the same endpoints can run."""

    service: ServiceRef
    needs: Needs

    def fits(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint can run tasks of this class."""
        return (
            record.state is EndpointState.serving
            and record.runs(self.service)
            and self.needs.fit_in(record.offers)
        )


def class_of(task: QueuedTask) -> TaskClass:
    """Return the class of a task."""
    return TaskClass(task.service, task.needs)


class TaskQueue(Generic[Group]):
    """Waiting tasks, in FIFO order within a group.

    Args:
        group_of: Returns the group of a task.
    """

    def __init__(self, group_of: Callable[[QueuedTask], Group]) -> None:
        self._choose_group = group_of
        self._tasks: dict[Group, OrderedDict[TaskId, QueuedTask]] = {}
        self._group_of: dict[TaskId, Group] = {}

    @property
    def groups(self) -> tuple[Group, ...]:
        """Groups with at least one waiting task."""
        return tuple(self._tasks)

    def __len__(self) -> int:
        return len(self._group_of)

    def count(self, group: Group) -> int:
        """Return the number of waiting tasks of a group."""
        return len(self._tasks.get(group, ()))

    def push(self, tasks: Sequence[QueuedTask]) -> tuple[Group, ...]:
        """Append tasks to their groups; those already queued keep their place.

        Returns:
            The groups to which tasks were added.
        """
        grown: dict[Group, None] = {}
        for task in tasks:
            group = self._choose_group(task)
            if task.task not in self._group_of:
                self._group_of[task.task] = group
                self._tasks.setdefault(group, OrderedDict())[task.task] = task
                grown[group] = None
        return tuple(grown)

    def pop(self, group: Group) -> QueuedTask:
        """Remove and return the first task of a group."""
        waiting = self._tasks[group]
        task_id, task = waiting.popitem(last=False)
        self._group_of.pop(task_id)
        if not waiting:
            self._tasks.pop(group)
        return task

    def withdraw(self, tasks: Sequence[TaskId]) -> tuple[Group, ...]:
        """Remove tasks; unknown ones are ignored.

        Returns:
            The group of each removed task.
        """
        dropped: list[Group] = []
        for task_id in tasks:
            group = self._group_of.pop(task_id, None)
            if group is not None:
                self._drop(group, task_id)
                dropped.append(group)
        return tuple(dropped)

    def _drop(self, key: Group, task_id: TaskId) -> None:
        waiting = self._tasks[key]
        waiting.pop(task_id)
        if not waiting:
            self._tasks.pop(key)
