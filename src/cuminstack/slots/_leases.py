"""The policy of slot leases."""

from collections.abc import Sequence
from typing import Any, Final

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    TaskId,
)
from cuminstack.slots._dispatcher import Dispatcher
from cuminstack.slots._messages import (
    Ask,
    Claim,
    Claimed,
    Grant,
    SlotSummary,
)
from cuminstack.slots._policy import Effects, MemberTerms, QueuedTask, policy

#: Until leases that nobody here needs go back to the owner, in seconds.
_IDLE_SECONDS: Final = 10


@policy('leases')
class LeasePolicy:
    """Starts tasks in slots whose leases this instance holds.

    An owner makes one lease for each slot of its endpoints.  A lease stays
    with the instance that last used it, which uses it again with no message,
    until another instance asks for it.  Where nobody has a free slot the
    asks stand, and each slot that is freed goes to whoever is next by
    fairness, here or elsewhere.
    """

    def __init__(self, own: Instance, seed: int) -> None:
        self._own = own.instance
        self._dispatcher = Dispatcher(own)
        self._renewal = self._dispatcher.renewal
        self._leaving = False

    @property
    def free_slots(self) -> int:
        """Free slots held, for the hints on heartbeats."""
        return self._dispatcher.holdings.free

    @property
    def summary(self) -> SlotSummary:
        """What heartbeats should carry to `observe_summary`."""
        usage = self._dispatcher.demand.usage
        return SlotSummary(self.free_slots, usage.running, usage.uses())

    @property
    def unused_leases(self) -> int:
        """Leases got from other instances that went without use."""
        return self._dispatcher.holdings.unused

    def connection_limit(self, endpoint: EndpointId) -> int:
        """Tell how many connections to an endpoint may be open from here.

        Connections are leased with the slots, in even parts.
        """
        record = self._renewal.records.get(endpoint)
        if record is None or not record.slots:
            return 0
        held = self._dispatcher.holdings.held_at(endpoint)
        return held * record.connections // record.slots

    def observe_hint(
        self,
        instance: InstanceId,
        free_slots: int,
        *,
        now: float,
    ) -> None:
        """Take the count of free slots that a heartbeat carried."""
        if instance != self._own:
            self._dispatcher.hints.observe(instance, free_slots, at=now)

    def observe_summary(
        self,
        instance: InstanceId,
        summary: SlotSummary,
        *,
        now: float,
    ) -> None:
        """Take the summary that a heartbeat carried.

        Besides the counts of slots it tells what members use there, which
        counts for their caps.
        """
        if instance != self._own:
            hints = self._dispatcher.hints
            hints.observe(instance, summary.free, summary.busy, at=now)
            self._dispatcher.demand.learn(instance, summary.uses, now=now)

    def limit_endpoint(
        self,
        endpoint: EndpointId,
        limit: int | None,
        *,
        now: float,
    ) -> Effects:
        """Bound the tasks that this instance runs at an endpoint.

        Args:
            endpoint: The endpoint.
            limit: Tasks at once; 0 to start none; none to lift the bound.
            now: The present time, in seconds.
        """
        self._dispatcher.placement.limit(endpoint, limit)
        return self._dispatcher.advance(now)

    def leaving(self, *, now: float) -> Effects:
        """Hand free slots over, and from now on each that is freed."""
        self._leaving = True
        return self._dispatcher.advance(now)

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> Effects:
        """Take the instances now thought alive, this one included."""
        self._renewal.observe_instances(alive, now=now)
        self._dispatcher.observe_view()
        return self._dispatcher.advance(now)

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Effects:
        """Take a new or changed record of an endpoint."""
        self._renewal.observe_endpoint(record, now=now)
        self._dispatcher.placement.refresh()
        return self._dispatcher.advance(now)

    def forget_endpoint(
        self,
        endpoint: EndpointId,
        *,
        now: float,
    ) -> Effects:
        """Drop an endpoint that is gone."""
        self._renewal.forget_endpoint(endpoint)
        self._dispatcher.placement.limit(endpoint, None)
        self._dispatcher.placement.refresh()
        return self._dispatcher.advance(now)

    def apply_terms(
        self,
        terms: dict[str, MemberTerms],
        *,
        now: float,
    ) -> Effects:
        """Take the terms of all members, by name."""
        self._dispatcher.apply_terms(terms)
        return self._dispatcher.advance(now)

    def submit(
        self,
        tasks: Sequence[QueuedTask],
        *,
        now: float,
    ) -> Effects:
        """Queue tasks."""
        self._dispatcher.demand.submit(tasks, now=now)
        return self._dispatcher.advance(now)

    def withdraw(
        self,
        tasks: Sequence[TaskId],
        *,
        now: float,
    ) -> Effects:
        """Take queued tasks back; those already started are unaffected."""
        self._dispatcher.demand.withdraw(tasks)
        return self._dispatcher.advance(now)

    def finished(
        self,
        task: TaskId,
        endpoint: EndpointId,
        *,
        started: bool,
        now: float,
    ) -> Effects:
        """Free the slot of an attempt."""
        self._dispatcher.end(task, started=started, now=now)
        return self._dispatcher.advance(now)

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Take a message of the policy of another instance."""
        if isinstance(message, Ask):
            return self._dispatcher.answer(sender, message, now)
        if isinstance(message, Grant):
            return self._dispatcher.accept(sender, message, now)
        if isinstance(message, Claim):
            reply = self._renewal.answer(sender, message, now=now)
            return reply + self._dispatcher.advance(now)
        if isinstance(message, Claimed):
            self._renewal.claimed(sender, message)
        return ()

    def tick(self, *, now: float) -> Effects:
        """Do what is due."""
        self._dispatcher.holdings.wake(now=now)
        self._dispatcher.demand.expire(self._renewal.owners.alive, now=now)
        effects = self._dispatcher.advance(now) + self._renewal.tick(now=now)
        idle = now - self._dispatcher.idle_since(now)
        if self._leaving or idle >= _IDLE_SECONDS:
            effects += self._renewal.give_back(heirs=self._leaving)
        return effects
