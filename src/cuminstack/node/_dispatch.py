"""Connects the jobs accepted by this instance to the dispatch policy."""

from dataclasses import replace

from cuminstack import wire
from cuminstack.core import InstanceId, StartTask
from cuminstack.endpoints import EndpointChanged, EndpointGone
from cuminstack.jobs import (
    AttemptOutcome,
    EnqueueTasks,
    FreeSlot,
    JobEffect,
    JobTracker,
    SendStart,
    Withdraw,
)
from cuminstack.node._claims import ClaimHandler
from cuminstack.node._health import HealthMonitor
from cuminstack.node._routing import Effects, on_effect, on_message
from cuminstack.slots import Policy


class DispatchHandler:
    """Starts queued tasks where the policy decides, and frees their slots.

    Args:
        tracker: Jobs that were accepted by this instance.
        policy: The dispatch policy.
        health: Monitor that records starts and ends of attempts.
        claims: Handler that checks that a job's lease is still held.
    """

    def __init__(
        self,
        tracker: JobTracker,
        policy: Policy,
        *,
        health: HealthMonitor,
        claims: ClaimHandler,
    ) -> None:
        self._claims = claims
        self._tracker = tracker
        self._health = health
        self._policy = policy

    def finish(
        self,
        sent: SendStart,
        end: AttemptOutcome,
        *,
        answer: bytes = b'',
        now: float,
    ) -> Effects:
        """Process the end of an attempt.

        Args:
            sent: The start that was sent to the endpoint.
            end: How the attempt ended.
            answer: Answer of the task; empty unless it was answered.
            now: Present time, in seconds.
        """
        self._health.attempt_ended(sent, end, now=now)
        return self._tracker.finish(
            sent.task,
            sent.endpoint,
            end,
            answer=answer,
            now=now,
        )

    def tick(self, *, now: float) -> Effects:
        """End jobs past their deadline, and run the policy's periodic work."""
        return (*self._tracker.tick(now=now), *self._policy.tick(now=now))

    @on_message(*wire.messages_of('slots'))
    def _receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> Effects:
        # The policy decides which of these message types it handles.
        return self._policy.receive(sender, message, now=now)

    @on_effect(EnqueueTasks)
    def _enqueue(self, effect: EnqueueTasks, *, now: float) -> Effects:
        return self._policy.submit(effect.tasks, now=now)

    @on_effect(Withdraw)
    def _withdraw(self, effect: Withdraw, *, now: float) -> Effects:
        return self._policy.withdraw(effect.tasks, now=now)

    @on_effect(StartTask)
    def _start(self, effect: StartTask, *, now: float) -> Effects:
        job = effect.task.job
        if not self._claims.may_start(job, now=now):
            freed = FreeSlot(effect.task, effect.endpoint, started=False)
            return (freed, *self._tracker.lose_lease(job, now=now))
        effects = self._tracker.start(effect.task, effect.endpoint, now=now)
        return tuple(self._record_start(each, now=now) for each in effects)

    def _record_start(self, effect: JobEffect, *, now: float) -> JobEffect:
        """Record a start, and set the run time that is expected of it."""
        if not isinstance(effect, SendStart):
            return effect
        self._health.attempt_started(effect, now=now)
        expected = self._health.expected_run_time(
            effect.service,
            effect.expected,
        )
        return replace(effect, expected=expected)

    @on_effect(FreeSlot)
    def _free_slot(self, effect: FreeSlot, *, now: float) -> Effects:
        return self._policy.finished(
            effect.task,
            effect.endpoint,
            started=effect.started,
            now=now,
        )

    @on_effect(EndpointChanged)
    def _endpoint_changed(
        self,
        effect: EndpointChanged,
        *,
        now: float,
    ) -> Effects:
        return (
            *self._policy.observe_endpoint(effect.record, now=now),
            *self._health.observe_endpoint(effect.record, now=now),
        )

    @on_effect(EndpointGone)
    def _endpoint_gone(self, effect: EndpointGone, *, now: float) -> Effects:
        self._health.forget_endpoint(effect)
        return self._policy.forget_endpoint(effect.endpoint, now=now)
