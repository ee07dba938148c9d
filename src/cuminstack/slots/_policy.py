"""The interface of a dispatch policy, and the registry of policies.

A policy decides which queued task starts on which endpoint next.  One policy
object lives in each instance; the objects of a deployment talk by messages.
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
        service: What it is a task of.
        needs: Resources of one endpoint that it must fit in.
        expected: Run time that the caller declared, in seconds; 0 if none.
    """

    task: TaskId
    service: ServiceRef
    needs: Needs = Needs()
    expected: float = 0


class Preference(enum.Enum):
    """What a member would rather have less of."""

    response = 'response'
    waste = 'waste'


@dataclass(frozen=True, slots=True)
class MemberTerms:
    """What the sheet grants a member.

    Args:
        share: Weight of its turns against the other members'.
        max_slots: Slots that it may hold at once in the deployment; 0 for
            no bound.
        preference: Whether waiting or messages are spared for its tasks.
    """

    share: float = 1
    max_slots: int = 0
    preference: Preference = Preference.response


class Policy(Protocol):
    """Decides starts; every method that may free or fill a slot returns them.

    All times are seconds of one monotonic clock.
    """

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> Effects:
        """Take the instances now thought alive, this one included."""

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Effects:
        """Take a new or changed record of an endpoint."""

    def forget_endpoint(
        self,
        endpoint: EndpointId,
        *,
        now: float,
    ) -> Effects:
        """Drop an endpoint that is gone."""

    def apply_terms(
        self,
        terms: dict[str, MemberTerms],
        *,
        now: float,
    ) -> Effects:
        """Take the terms of all members, by name."""

    def submit(
        self,
        tasks: Sequence[QueuedTask],
        *,
        now: float,
    ) -> Effects:
        """Queue tasks."""

    def withdraw(
        self,
        tasks: Sequence[TaskId],
        *,
        now: float,
    ) -> Effects:
        """Take queued tasks back; those already started are unaffected."""

    def finished(
        self,
        task: TaskId,
        endpoint: EndpointId,
        *,
        started: bool,
        now: float,
    ) -> Effects:
        """Free the slot of an attempt.

        `started` is false when the endpoint answered *not started*.
        """

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Take a message of the policy of another instance."""

    def limit_endpoint(
        self,
        endpoint: EndpointId,
        limit: int | None,
        *,
        now: float,
    ) -> Effects:
        """Bound the tasks that are run at an endpoint; none lifts it."""

    @property
    def summary(self) -> SlotSummary:
        """What heartbeats should carry to `observe_summary`."""

    def observe_summary(
        self,
        instance: InstanceId,
        summary: SlotSummary,
        *,
        now: float,
    ) -> None:
        """Take the summary that a heartbeat carried."""

    @property
    def unused_leases(self) -> int:
        """Leases got from other instances so far that went without use."""

    def leaving(self, *, now: float) -> Effects:
        """Hand over what is held here, as this instance shuts down."""

    def tick(self, *, now: float) -> Effects:
        """Do what is due; called at least every 50 ms."""


PolicyFactory = Callable[[Instance, int], Policy]
_Factory = TypeVar('_Factory', bound=PolicyFactory)
_policies: dict[str, PolicyFactory] = {}


def policy(name: str) -> Callable[[_Factory], _Factory]:
    """Register a class that is called with the own instance and a seed."""

    def decorator(factory: _Factory) -> _Factory:
        _policies[name] = factory
        return factory

    return decorator


def policy_names() -> tuple[str, ...]:
    """Give the names that the settings may choose from."""
    return tuple(sorted(_policies))


def make_policy(name: str, own: Instance, *, seed: int) -> Policy:
    """Build the policy of an instance.

    Raises:
        KeyError: No policy of this name is registered.
    """
    return _policies[name](own, seed)
