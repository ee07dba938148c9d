"""The interface of a dispatch policy, and the registry of policies.

A policy decides which queued task starts next and on which endpoint.  Each
instance has one policy object; those of a deployment exchange messages.
"""

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    Needs,
    Send,
    ServiceRef,
    StartTask,
    TaskId,
)
from cuminstack.slots._messages import SlotSummary

Effect = Send | StartTask
Effects = tuple[Effect, ...]


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """A task that is ready to start.

    Args:
        task: The attempt.
        service: The service that runs it.
        needs: Resources of one endpoint that it needs.
        expected: Run time declared by the caller, in seconds; 0 if none.
    """

    task: TaskId
    service: ServiceRef
    needs: Needs = Needs()
    expected: float = 0


class Preference(enum.Enum):
    """What to minimize for a member: response time or wasted messages."""

    response = 'response'
    waste = 'waste'


@dataclass(frozen=True, slots=True)
class MemberTerms:
    """Scheduling terms of a member, as set in the sheet.

    Args:
        share: Weight in fair queueing, relative to other members.
        max_slots: Maximum slots it may use at once in the deployment; 0 for
            no limit.
        preference: Whether to minimize response time or messages.
    """

    share: float = 1
    max_slots: int = 0
    preference: Preference = Preference.response


class Policy(Protocol):
    """Decides which tasks to start.

    Every method that may free or fill a slot returns the resulting effects.
    All times are in seconds of one monotonic clock.
    """

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> Effects:
        """Update the live instances, this one included."""

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Effects:
        """Add or update the record of an endpoint."""

    def forget_endpoint(
        self,
        endpoint: EndpointId,
        *,
        now: float,
    ) -> Effects:
        """Remove an endpoint that has left the deployment."""

    def apply_terms(
        self,
        terms: dict[str, MemberTerms],
        *,
        now: float,
    ) -> Effects:
        """Replace the terms of all members, keyed by name."""

    def submit(
        self,
        tasks: Sequence[QueuedTask],
        *,
        now: float,
    ) -> Effects:
        """Queue tasks that are ready to start."""

    def withdraw(
        self,
        tasks: Sequence[TaskId],
        *,
        now: float,
    ) -> Effects:
        """Remove queued tasks; those already started are unaffected."""

    def finished(
        self,
        task: TaskId,
        endpoint: EndpointId,
        *,
        started: bool,
        now: float,
    ) -> Effects:
        """Free the slot of an attempt that ended or was refused.

        `started` is false if the endpoint answered *not started*.
        """

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Handle a message from the policy of another instance."""

    def limit_endpoint(
        self,
        endpoint: EndpointId,
        limit: int | None,
        *,
        now: float,
    ) -> Effects:
        """Limit the concurrent tasks at an endpoint; None removes the limit."""

    @property
    def summary(self) -> SlotSummary:
        """The summary that heartbeats carry to `observe_summary`."""

    def observe_summary(
        self,
        instance: InstanceId,
        summary: SlotSummary,
        *,
        now: float,
    ) -> None:
        """Record the summary from a heartbeat of another instance."""

    @property
    def unused_leases(self) -> int:
        """Number of leases received from others and given up unused."""

    def leaving(self, *, now: float) -> Effects:
        """Hand over held leases, as this instance is shutting down."""

    def tick(self, *, now: float) -> Effects:
        """Run the periodic work that is due; called at least every 50 ms."""


PolicyFactory = Callable[[Instance, int], Policy]
_Factory = TypeVar('_Factory', bound=PolicyFactory)
_policies: dict[str, PolicyFactory] = {}


def policy(name: str) -> Callable[[_Factory], _Factory]:
    """Register a policy factory, called with the instance and a seed."""

    def decorator(factory: _Factory) -> _Factory:
        _policies[name] = factory
        return factory

    return decorator


def policy_names() -> tuple[str, ...]:
    """Return the registered names, which settings may choose from."""
    return tuple(sorted(_policies))


def make_policy(name: str, own: Instance, *, seed: int) -> Policy:
    """Build the policy of an instance.

    Raises:
        KeyError: No policy of this name is registered.
    """
    return _policies[name](own, seed)
