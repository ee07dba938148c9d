"""What the policies without leases have in common."""

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
from cuminstack.slots._chance import Chance
from cuminstack.slots._messages import SlotSummary
from cuminstack.slots._policy import Effects, MemberTerms, QueuedTask
from cuminstack.slots._queue import TaskClass, TaskQueue, class_of

#: How long an endpoint that refused a start is passed over, in seconds.
_COOLING_SECONDS: Final = 0.02


class BasePolicy(ABC):
    """Starts queued tasks wherever `_choose` sends them.

    Members take turns one task at a time; their caps hold per instance, as
    its even part of the whole.
    """

    def __init__(self, own: Instance, seed: int) -> None:
        self._own = own
        self._chance = Chance(seed)
        self._alive: dict[InstanceId, Instance] = {own.instance: own}
        self._records: dict[EndpointId, EndpointRecord] = {}
        self._terms: dict[str, MemberTerms] = {}
        self._queue = TaskQueue(class_of)
        self._running: dict[EndpointId, set[TaskId]] = {}
        self._held: dict[str, int] = {}
        self._cooling: dict[EndpointId, float] = {}
        self._limits: dict[EndpointId, int] = {}

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> Effects:
        """Take the instances now thought alive, this one included."""
        self._alive = {peer.instance: peer for peer in alive}
        self._alive[self._own.instance] = self._own
        return self._dispatch(now)

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Effects:
        """Take a new or changed record of an endpoint."""
        self._records[record.endpoint] = record
        return self._dispatch(now)

    def forget_endpoint(
        self,
        endpoint: EndpointId,
        *,
        now: float,
    ) -> Effects:
        """Drop an endpoint that is gone."""
        self._records.pop(endpoint, None)
        self._cooling.pop(endpoint, None)
        return ()

    def apply_terms(
        self,
        terms: dict[str, MemberTerms],
        *,
        now: float,
    ) -> Effects:
        """Take the terms of all members, by name."""
        self._terms = dict(terms)
        return self._dispatch(now)

    def submit(
        self,
        tasks: Sequence[QueuedTask],
        *,
        now: float,
    ) -> Effects:
        """Queue tasks."""
        self._queue.push(tasks)
        return self._dispatch(now)

    def withdraw(
        self,
        tasks: Sequence[TaskId],
        *,
        now: float,
    ) -> Effects:
        """Take queued tasks back; those already started are unaffected."""
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
        """Free the slot of an attempt."""
        running = self._running.get(endpoint, set())
        if task in running:
            running.discard(task)
            self._held[task.job.member] -= 1
        if not started:
            self._cooling[endpoint] = now + _COOLING_SECONDS
        return self._dispatch(now)

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Take a message of the policy of another instance."""
        return ()

    @property
    def summary(self) -> SlotSummary:
        """Nothing that others could use: nothing is leased."""
        return SlotSummary()

    @property
    def unused_leases(self) -> int:
        """None, as nothing is leased."""
        return 0

    # Nothing to do is a choice of these policies, which others may override.
    def observe_summary(  # noqa: B027
        self,
        instance: InstanceId,
        summary: SlotSummary,
        *,
        now: float,
    ) -> None:
        """Ignore summaries, as nothing is borrowed."""

    def leaving(self, *, now: float) -> Effects:
        """Hand nothing over, as nothing is leased."""
        return ()

    def limit_endpoint(
        self,
        endpoint: EndpointId,
        limit: int | None,
        *,
        now: float,
    ) -> Effects:
        """Bound the tasks that are run at an endpoint; none lifts it."""
        if limit is None:
            self._limits.pop(endpoint, None)
        else:
            self._limits[endpoint] = limit
        return self._dispatch(now)

    def tick(self, *, now: float) -> Effects:
        """Do what is due."""
        return self._dispatch(now)

    @abstractmethod
    def _choose(
        self,
        open_endpoints: Sequence[EndpointRecord],
        now: float,
    ) -> EndpointRecord | None:
        """Choose one of the endpoints that fit and aren't known as full."""

    def _limit(self, record: EndpointRecord) -> int:
        """Tell how many slots of an endpoint this instance may use."""
        return record.slots

    def _dispatch(self, now: float) -> Effects:
        effects: list[StartTask] = []
        ready = list(self._queue.groups)
        while ready:
            ready = [key for key in ready if self._start(key, effects, now)]
        return tuple(effects)

    def _start(
        self,
        key: TaskClass,
        effects: list[StartTask],
        now: float,
    ) -> bool:
        """Start one task; tell whether its class may go on."""
        chosen = self._find(key, now)
        if chosen is None:
            return False
        task = self._queue.pop(key).task
        self._running.setdefault(chosen.endpoint, set()).add(task)
        self._held[task.job.member] = self._held_by(task.job.member) + 1
        effects.append(StartTask(task, chosen.endpoint))
        return key in self._queue.groups

    def _find(self, key: TaskClass, now: float) -> EndpointRecord | None:
        member = key.service.member
        cap = self._cap(member)
        if cap and self._held_by(member) >= cap:
            return None
        fitting = [
            record
            for record in self._records.values()
            if self._is_open(record, now) and key.fits(record)
        ]
        return self._choose(fitting, now) if fitting else None

    def _is_open(self, record: EndpointRecord, now: float) -> bool:
        if self._cooling.get(record.endpoint, now) > now:
            return False
        bound = self._limits.get(record.endpoint, record.slots)
        return self._load(record) < min(bound, self._limit(record))

    def _load(self, record: EndpointRecord) -> int:
        return len(self._running.get(record.endpoint, ()))

    def _held_by(self, member: str) -> int:
        return self._held.get(member, 0)

    def _cap(self, member: str) -> int:
        terms = self._terms.get(member, MemberTerms())
        if not terms.max_slots:
            return 0
        return max(1, terms.max_slots // len(self._alive))
