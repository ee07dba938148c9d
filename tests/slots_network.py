"""An in-memory network of policies and endpoints that count tasks."""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    Send,
    StartTask,
    TaskId,
)
from cuminstack.slots import Effects, LeasePolicy, QueuedTask

_TICK_SECONDS = 0.05


@dataclass(slots=True)
class Running:
    """A running task, and the instance that started it."""

    own: InstanceId
    start: StartTask


@dataclass(slots=True)
class Network:
    """Instances, endpoints, and the messages between instances.

    Messages are queued in `links` until they are delivered.  A task runs
    until a call of `end`.
    """

    peers: Sequence[Instance]
    endpoints: Sequence[EndpointRecord]
    now: float = 0
    policies: dict[InstanceId, LeasePolicy] = field(default_factory=dict)
    links: dict[tuple[InstanceId, InstanceId], deque[Any]] = field(
        default_factory=dict,
    )
    running: dict[TaskId, Running] = field(default_factory=dict)
    tasks: dict[tuple[Any, int], QueuedTask] = field(default_factory=dict)
    starts: Counter[tuple[Any, int]] = field(default_factory=Counter)
    done: set[tuple[Any, int]] = field(default_factory=set)
    refusals: int = 0
    delivered: int = 0
    peak_load: Counter[EndpointId] = field(default_factory=Counter)
    capacity: dict[EndpointId, int] = field(default_factory=dict)
    down: set[InstanceId] = field(default_factory=set)
    is_cut: Callable[[InstanceId, InstanceId], bool] = lambda one, two: False

    def boot(self) -> None:
        """Create a policy for each instance, with a common view."""
        for own in self.peers:
            self.policies[own.instance] = LeasePolicy(own, 1)
        for own in self.peers:
            self.view(own.instance, self.peers)
        for record in self.endpoints:
            self.capacity[record.endpoint] = record.slots
            self.announce(record)

    def announce(self, record: EndpointRecord) -> None:
        """Pass the record of an endpoint to every live instance."""
        for own in self.live_instances():
            policy = self.policies[own]
            self.perform(own, policy.observe_endpoint(record, now=self.now))

    def live_instances(self) -> tuple[InstanceId, ...]:
        """Return the instances that are not down."""
        return tuple(each for each in self.policies if each not in self.down)

    def view(self, own: InstanceId, alive: Sequence[Instance]) -> None:
        """Set the membership view of one instance."""
        policy = self.policies[own]
        self.perform(own, policy.observe_instances(alive, now=self.now))

    def share_view(self) -> None:
        """Set the view of all live instances to exactly these."""
        alive = [each for each in self.peers if each.instance not in self.down]
        for own in self.live_instances():
            self.view(own, alive)

    def submit(self, own: InstanceId, tasks: Sequence[QueuedTask]) -> None:
        """Queue tasks at an instance."""
        self.tasks.update(
            {(task.task.job, task.task.index): task for task in tasks},
        )
        self.perform(own, self.policies[own].submit(tasks, now=self.now))

    def perform(self, own: InstanceId, effects: Effects) -> None:
        """Execute the effects of a policy."""
        for effect in effects:
            if isinstance(effect, Send):
                link = self.links.setdefault((own, effect.to), deque())
                link.append(effect.message)
            else:
                self._start(own, effect)

    def end(self, task: TaskId) -> None:
        """End a running task."""
        ran = self.running.pop(task)
        self.done.add((task.job, task.index))
        if ran.own not in self.down:
            self._finished(ran.own, ran.start, started=True)

    def end_all(self) -> None:
        """End all tasks that are running now."""
        for task in tuple(self.running):
            self.end(task)

    def deliver(self, limit: int = 10_000) -> None:
        """Deliver messages link by link, up to about `limit` of them."""
        pending = self._pending_links()
        while limit > 0 and pending:
            for key in pending:
                message = self.links[key].popleft()
                limit -= 1
                self._deliver(*key, message)
            pending = self._pending_links()

    def step(self, seconds: float = _TICK_SECONDS) -> None:
        """Advance the time tick by tick, and deliver all messages."""
        until = self.now + seconds - _TICK_SECONDS / 2
        while self.now < until:
            self.now += _TICK_SECONDS
            for own in self.live_instances():
                self.perform(own, self.policies[own].tick(now=self.now))
            self.deliver()

    def drain(self, rounds: int = 400) -> None:
        """Advance until every task has ended, for at most `rounds` ticks."""
        while rounds and self.unfinished_tasks():
            self.step()
            self.end_all()
            self.deliver()
            rounds -= 1

    def unfinished_tasks(self) -> Iterable[tuple[Any, int]]:
        """Return the tasks that haven't ended."""
        return set(self.tasks) - self.done

    def _pending_links(self) -> list[tuple[InstanceId, InstanceId]]:
        return [key for key, link in self.links.items() if link]

    def _deliver(
        self,
        sender: InstanceId,
        to: InstanceId,
        message: Any,
    ) -> None:
        self.delivered += 1
        if {sender, to} & self.down or self.is_cut(sender, to):
            return
        policy = self.policies[to]
        self.perform(to, policy.receive(sender, message, now=self.now))

    def _start(self, own: InstanceId, start: StartTask) -> None:
        place = (start.task.job, start.task.index)
        load = self.load(start.endpoint)
        if load >= self.capacity[start.endpoint]:
            self.refusals += 1
            self._refuse(own, start)
            return
        self.starts[place] += 1
        self.running[start.task] = Running(own, start)
        self.peak_load[start.endpoint] = max(
            self.peak_load[start.endpoint], load + 1
        )

    def load(self, endpoint: EndpointId) -> int:
        """Return how many tasks run at an endpoint."""
        return sum(
            ran.start.endpoint == endpoint for ran in self.running.values()
        )

    def _refuse(self, own: InstanceId, start: StartTask) -> None:
        self._finished(own, start, started=False)
        task = start.task
        again = replace(
            self.tasks[task.job, task.index],
            task=replace(task, attempt=task.attempt + 1),
        )
        self.perform(own, self.policies[own].submit([again], now=self.now))

    def _finished(
        self,
        own: InstanceId,
        start: StartTask,
        *,
        started: bool,
    ) -> None:
        effects = self.policies[own].finished(
            start.task,
            start.endpoint,
            started=started,
            now=self.now,
        )
        self.perform(own, effects)
