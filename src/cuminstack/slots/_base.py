"""Base class of the policies without leases."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any, Final

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    StartTask,
    TaskId,
)
from cuminstack.slots._messages import SlotSummary
from cuminstack.slots._policy import Effects, MemberTerms, QueuedTask
from cuminstack.slots._queue import TaskClass, TaskQueue, class_of
from cuminstack.slots._random import SplitMix64

#: Time for which an endpoint that refused a start gets no task, in seconds.
_REFUSAL_BACKOFF_SECONDS: Final = 0.02


class BasePolicy(ABC):
    """Starts queued tasks on the endpoints that `_choose` selects.

    Task classes are served round-robin, one task at a time.  The slot limit
    of a member is divided evenly among the live instances, rounded down but at
    least one, and each enforces its own part.  The parts can therefore exceed
    a limit that is smaller than the number of instances.
    """

    def __init__(self, own: Instance, seed: int) -> None:
        self._own = own
        self._random = SplitMix64(seed)
        self._alive: dict[InstanceId, Instance] = {own.instance: own}
        self._records: dict[EndpointId, EndpointRecord] = {}
        self._terms: dict[str, MemberTerms] = {}
        self._queue = TaskQueue(class_of)
        self._running: dict[EndpointId, set[TaskId]] = {}
        self._running_by_member: dict[str, int] = {}
        self._backoff_until: dict[EndpointId, float] = {}
        self._limits: dict[EndpointId, int] = {}

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> Effects:
        """Update the live instances, this one included."""
        self._alive = {peer.instance: peer for peer in alive}
        self._alive[self._own.instance] = self._own
        return self._dispatch(now)

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Effects:
        """Add or update the record of an endpoint."""
        self._records[record.endpoint] = record
        return self._dispatch(now)

    def forget_endpoint(
        self,
        endpoint: EndpointId,
        *,
        now: float,
    ) -> Effects:
        """Remove an endpoint that has left the deployment."""
        self._records.pop(endpoint, None)
        self._backoff_until.pop(endpoint, None)
        return ()

    def apply_terms(
        self,
        terms: dict[str, MemberTerms],
        *,
        now: float,
    ) -> Effects:
        """Replace the terms of all members, keyed by name."""
        self._terms = dict(terms)
        return self._dispatch(now)

    def submit(
        self,
        tasks: Sequence[QueuedTask],
        *,
        now: float,
    ) -> Effects:
        """Queue tasks that are ready to start."""
        self._queue.push(tasks)
        return self._dispatch(now)

    def withdraw(
        self,
        tasks: Sequence[TaskId],
        *,
        now: float,
    ) -> Effects:
        """Remove queued tasks; those already started are unaffected."""
        self._queue.withdraw(tasks)
        return ()

    def finished(
        self,
        task: TaskId,
        endpoint: EndpointId,
        *,
        started: bool,
        now: float,
    ) -> Effects:
        """Free the slot of an attempt that ended or was refused.

        An endpoint that refused the task (`started` is false) gets no other
        task for a short time.
        """
        running = self._running.get(endpoint, set())
        if task in running:
            running.discard(task)
            self._running_by_member[task.job.member] -= 1
        if not started:
            self._backoff_until[endpoint] = now + _REFUSAL_BACKOFF_SECONDS
        return self._dispatch(now)

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Handle a message from the policy of another instance."""
        return ()

    @property
    def summary(self) -> SlotSummary:
        """An empty summary, as this policy leases no slots."""
        return SlotSummary()

    @property
    def unused_leases(self) -> int:
        """Always 0, as this policy leases no slots."""
        return 0

    # Concrete and empty on purpose: subclasses may override it.
    def observe_summary(  # noqa: B027
        self,
        instance: InstanceId,
        summary: SlotSummary,
        *,
        now: float,
    ) -> None:
        """Ignore the summary, as this policy leases no slots."""

    def leaving(self, *, now: float) -> Effects:
        """Return no effects, as there are no leases to hand over."""
        return ()

    def limit_endpoint(
        self,
        endpoint: EndpointId,
        limit: int | None,
        *,
        now: float,
    ) -> Effects:
        """Limit the concurrent tasks at an endpoint; None removes the limit."""
        if limit is None:
            self._limits.pop(endpoint, None)
        else:
            self._limits[endpoint] = limit
        return self._dispatch(now)

    def tick(self, *, now: float) -> Effects:
        """Run the periodic work that is due."""
        return self._dispatch(now)

    @abstractmethod
    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        """Choose an endpoint that fits the task and has a free slot.

        Returns:
            The endpoint; None leaves the task in the queue.
        """

    def _slot_limit(self, record: EndpointRecord) -> int:
        """Return how many slots of an endpoint this instance may use."""
        return record.slots

    def _dispatch(self, now: float) -> Effects:
        effects: list[StartTask] = []
        ready = list(self._queue.groups)
        while ready:
            ready = [
                key for key in ready if self._start_next(key, effects, now)
            ]
        return tuple(effects)

    def _start_next(
        self,
        key: TaskClass,
        effects: list[StartTask],
        now: float,
    ) -> bool:
        """Start one task of a class.

        Returns:
            Whether the class has more tasks to try.
        """
        chosen = self._find_endpoint(key, now)
        if chosen is None:
            return False
        task = self._queue.pop(key).task
        self._running.setdefault(chosen.endpoint, set()).add(task)
        self._running_by_member[task.job.member] = (
            self._running_tasks_of(task.job.member) + 1
        )
        effects.append(StartTask(task, chosen.endpoint))
        return key in self._queue.groups

    def _find_endpoint(
        self, key: TaskClass, now: float
    ) -> EndpointRecord | None:
        member = key.service.member
        cap = self._instance_cap(member)
        if cap and self._running_tasks_of(member) >= cap:
            return None
        fitting = [
            record
            for record in self._records.values()
            if self._is_open(record, now) and key.fits(record)
        ]
        return self._choose(fitting, now) if fitting else None

    def _is_open(self, record: EndpointRecord, now: float) -> bool:
        if self._backoff_until.get(record.endpoint, now) > now:
            return False
        bound = self._limits.get(record.endpoint, record.slots)
        return self._load(record) < min(bound, self._slot_limit(record))

    def _load(self, record: EndpointRecord) -> int:
        return len(self._running.get(record.endpoint, ()))

    def _running_tasks_of(self, member: str) -> int:
        return self._running_by_member.get(member, 0)

    def _instance_cap(self, member: str) -> int:
        terms = self._terms.get(member, MemberTerms())
        if not terms.max_slots:
            return 0
        return max(1, terms.max_slots // len(self._alive))
