"""Between the jobs accepted here and the dispatch policy."""

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
from cuminstack.node._claims import ClaimDesk
from cuminstack.node._health import HealthDesk
from cuminstack.node._routing import Effects, on_effect, on_message
from cuminstack.slots import Policy


class DispatchDesk:
    """Starts queued tasks where the policy says, and frees their slots."""

    def __init__(
        self,
        book: JobTracker,
        policy: Policy,
        *,
        health: HealthDesk,
        claims: ClaimDesk,
    ) -> None:
        self._claims = claims
        self._book = book
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
        """Take the end of an attempt."""
        self._health.ended(sent, end, now=now)
        return self._book.finish(
            sent.task,
            sent.endpoint,
            end,
            answer=answer,
            now=now,
        )

    def tick(self, *, now: float) -> Effects:
        """End late jobs, and let the policy do what is due."""
        return (*self._book.tick(now=now), *self._policy.tick(now=now))

    @on_message(*wire.messages_of('slots'))
    def _receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> Effects:
        # Which messages there are is the policy's affair.
        return self._policy.receive(sender, message, now=now)

    @on_effect(EnqueueTasks)
    def _queue(self, effect: EnqueueTasks, *, now: float) -> Effects:
        return self._policy.submit(effect.tasks, now=now)

    @on_effect(Withdraw)
    def _withdraw(self, effect: Withdraw, *, now: float) -> Effects:
        return self._policy.withdraw(effect.tasks, now=now)

    @on_effect(StartTask)
    def _start(self, effect: StartTask, *, now: float) -> Effects:
        job = effect.task.job
        if not self._claims.may_start(job, now=now):
            freed = FreeSlot(effect.task, effect.endpoint, started=False)
            return (freed, *self._book.lose_lease(job, now=now))
        effects = self._book.start(effect.task, effect.endpoint, now=now)
        return tuple(self._note(each, now=now) for each in effects)

    def _note(self, effect: JobEffect, *, now: float) -> JobEffect:
        """Take note of a start, and fill in how long it is expected to run."""
        if not isinstance(effect, SendStart):
            return effect
        self._health.started(effect, now=now)
        expected = self._health.expected(effect.service, effect.expected)
        return replace(effect, expected=expected)

    @on_effect(FreeSlot)
    def _free(self, effect: FreeSlot, *, now: float) -> Effects:
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
            *self._health.observe(effect.record, now=now),
        )

    @on_effect(EndpointGone)
    def _endpoint_gone(self, effect: EndpointGone, *, now: float) -> Effects:
        self._health.forget(effect)
        return self._policy.forget_endpoint(effect.endpoint, now=now)
