"""The dispatch policy that is based on slot leases."""

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
    Claim,
    Claimed,
    Grant,
    SlotRequest,
    SlotSummary,
)
from cuminstack.slots._policy import Effects, MemberTerms, QueuedTask, policy

#: Idle time after which leases are returned to their owners, in seconds.
_IDLE_SECONDS: Final = 10


@policy('leases')
class LeasePolicy:
    """Starts tasks in slots whose leases this instance holds.

    The owner of an endpoint issues one lease for each of its slots.  A lease
    stays with the instance that last used it, which can reuse it without a
    message, until another instance requests it.  When no instance has a free
    slot, requests stay open, and each freed slot goes to the next job in the
    fair order, local or remote.
    """

    def __init__(self, own: Instance, seed: int) -> None:
        self._own = own.instance
        self._dispatcher = Dispatcher(own)
        self._renewal = self._dispatcher.renewal
        self._leaving = False

    @property
    def free_slots(self) -> int:
        """Number of free slots held, as sent in heartbeats."""
        return self._dispatcher.holdings.free

    @property
    def summary(self) -> SlotSummary:
        """The summary that heartbeats carry to `observe_summary`."""
        usage = self._dispatcher.demand.usage
        return SlotSummary(self.free_slots, usage.running, usage.uses())

    @property
    def unused_leases(self) -> int:
        """Number of leases received from others and given up unused."""
        return self._dispatcher.holdings.unused

    def connection_limit(self, endpoint: EndpointId) -> int:
        """Return how many connections to an endpoint may be open.

        The connections of an endpoint are divided evenly among its slots and
        leased with them.
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
        """Record the number of free slots from a heartbeat."""
        if instance != self._own:
            self._dispatcher.hints.observe(instance, free_slots, at=now)

    def observe_summary(
        self,
        instance: InstanceId,
        summary: SlotSummary,
        *,
        now: float,
    ) -> None:
        """Record the summary from a heartbeat.

        It contains slot counts and the usage of members at the instance,
        which counts towards their slot limits.
        """
        if instance != self._own:
            hints = self._dispatcher.hints
            hints.observe(instance, summary.free, summary.busy, at=now)
            self._dispatcher.demand.observe_uses(
                instance, summary.uses, now=now
            )

    def limit_endpoint(
        self,
        endpoint: EndpointId,
        limit: int | None,
        *,
        now: float,
    ) -> Effects:
        """Limit the tasks that this instance runs at an endpoint.

        Args:
            endpoint: The endpoint.
            limit: Maximum concurrent tasks; 0 to start none, None to remove
                the limit.
            now: The current time, in seconds.
        """
        self._dispatcher.placement.set_limit(endpoint, limit)
        return self._dispatcher.advance(now)

    def leaving(self, *, now: float) -> Effects:
        """Hand over free slots now, and others as they are freed."""
        self._leaving = True
        return self._dispatcher.advance(now)

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> Effects:
        """Update the live instances, this one included."""
        self._renewal.observe_instances(alive, now=now)
        self._dispatcher.observe_view()
        return self._dispatcher.advance(now)

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Effects:
        """Add or update the record of an endpoint."""
        self._renewal.observe_endpoint(record, now=now)
        self._dispatcher.placement.clear_cache()
        return self._dispatcher.advance(now)

    def forget_endpoint(
        self,
        endpoint: EndpointId,
        *,
        now: float,
    ) -> Effects:
        """Remove an endpoint that has left the deployment."""
        self._renewal.forget_endpoint(endpoint)
        self._dispatcher.placement.set_limit(endpoint, None)
        self._dispatcher.placement.clear_cache()
        return self._dispatcher.advance(now)

    def apply_terms(
        self,
        terms: dict[str, MemberTerms],
        *,
        now: float,
    ) -> Effects:
        """Replace the terms of all members, keyed by name."""
        self._dispatcher.apply_terms(terms)
        return self._dispatcher.advance(now)

    def submit(
        self,
        tasks: Sequence[QueuedTask],
        *,
        now: float,
    ) -> Effects:
        """Queue tasks that are ready to start."""
        self._dispatcher.demand.submit(tasks, now=now)
        return self._dispatcher.advance(now)

    def withdraw(
        self,
        tasks: Sequence[TaskId],
        *,
        now: float,
    ) -> Effects:
        """Remove queued tasks; those already started are unaffected."""
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
        """Free the slot of an attempt that ended or was refused."""
        self._dispatcher.end(task, started=started, now=now)
        return self._dispatcher.advance(now)

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Handle a message from the policy of another instance."""
        if isinstance(message, SlotRequest):
            return self._dispatcher.answer(sender, message, now)
        if isinstance(message, Grant):
            return self._dispatcher.accept(sender, message, now)
        if isinstance(message, Claim):
            reply = self._renewal.answer_claim(sender, message, now=now)
            return reply + self._dispatcher.advance(now)
        if isinstance(message, Claimed):
            self._renewal.handle_claimed(sender, message)
        return ()

    def tick(self, *, now: float) -> Effects:
        """Run the periodic work that is due."""
        self._dispatcher.holdings.end_backoffs(now=now)
        self._dispatcher.demand.expire(self._renewal.owners.alive, now=now)
        effects = self._dispatcher.advance(now) + self._renewal.tick(now=now)
        idle = now - self._dispatcher.idle_since(now)
        if self._leaving or idle >= _IDLE_SECONDS:
            effects += self._renewal.return_leases(include_owned=self._leaving)
        return effects
