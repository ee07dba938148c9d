"""From a submission to a job in progress, here or at another instance."""

from dataclasses import dataclass
from typing import Any, Final

from cuminstack.core import Instance, InstanceId, JobId, Send
from cuminstack.jobs import (
    CancelJob,
    Failed,
    FailureReason,
    ForwardJob,
    JobEnded,
    JobOutcome,
    JobRequest,
    JobTracker,
    Outcome,
    RefusalReason,
    Refused,
)
from cuminstack.node._claim_effects import (
    ClaimHeld,
    ClaimSettled,
    ClaimTaken,
    ClaimUnavailable,
    TakeClaim,
    may_run_again,
)
from cuminstack.node._gate import Gate
from cuminstack.node._routing import Effects, on_effect, on_message

#: Seconds between two tries to reach the instance that accepted a job.
_FORWARD_INTERVAL_SECONDS: Final = 1.0

#: Seconds after which a retry at a restarted deployment can help.
_RETRY_AFTER_SECONDS: Final = 1.0

_CONFLICT: Final = Refused(RefusalReason.key_conflict)
_SHUTTING_DOWN: Final = Refused(
    RefusalReason.shutting_down,
    retry_after=_RETRY_AFTER_SECONDS,
)
_HOLDER_GONE: Final = Failed(FailureReason.holder_gone)


@dataclass(slots=True)
class _Forwarded:
    request: JobRequest
    holder: InstanceId
    incarnation: int
    sent_at: float


class IntakeDesk:
    """Admits submissions, and brings resends to the instance that has them.

    Args:
        own: This instance.
        book: The jobs in progress here.
        gate: What a submission must pass.
    """

    def __init__(self, own: Instance, book: JobTracker, gate: Gate) -> None:
        self._own = own
        self._book = book
        self._gate = gate
        self._claiming: dict[JobId, JobRequest] = {}
        self._forwarded: dict[JobId, _Forwarded] = {}
        self._waiting_peers: dict[JobId, set[InstanceId]] = {}
        self._accepting = True

    @property
    def busy(self) -> int:
        """Jobs that are not ended: running, claiming or forwarded."""
        return self._book.running + len(self._claiming) + len(self._forwarded)

    def stop_accepting(self) -> None:
        """Refuse new jobs from now on; resends still find theirs."""
        self._accepting = False

    def submit(
        self,
        request: JobRequest,
        *,
        now: float,
    ) -> tuple[Outcome | None, Effects]:
        """Take a submission.

        Returns:
            The outcome, if it is known at once, else none: then a
            `JobEnded` of the job follows.
        """
        known = self._known(request)
        if known is not None:
            return known
        request = self._gate.complete(request)
        refusal = self._refusal(request, now=now)
        if refusal is not None:
            return refusal, ()
        if request.minted:
            return None, self._book.accept(request, now=now)
        self._claiming[request.job] = request
        return None, (TakeClaim(request),)

    def knows(self, job: JobId) -> bool:
        """Tell whether a job is in progress here, or on its way."""
        return (
            self._book.find(job) is not None
            or job in self._claiming
            or job in self._forwarded
        )

    def cancel(self, job: JobId, *, now: float) -> Effects:
        """Cancel a job, wherever it runs."""
        forwarded = self._forwarded.get(job)
        if forwarded is not None:
            return (Send(forwarded.holder, CancelJob(job)),)
        claiming = self._claiming.pop(job, None)
        if claiming is not None:
            cancelled = Refused(RefusalReason.cancelled)
            return self._book.record_outcome(claiming, cancelled, now=now)
        return self._book.cancel(job, now=now)

    def abandon(self, job: JobId, *, now: float) -> Effects:
        """End a job whose callers here have all hung up for good.

        A job that a peer's caller waits for goes on.  A job that runs at
        another instance is only let go of here.
        """
        if self._forwarded.pop(job, None) is not None:
            return (JobEnded(job, Failed(FailureReason.cancelled)),)
        if self._waiting_peers.get(job):
            return ()
        return self.cancel(job, now=now)

    def shut_down(self, *, now: float) -> Effects:
        """End all jobs here; those of other instances are let go of."""
        refused = Refused(RefusalReason.shutting_down)
        effects: list[Any] = []
        for request in self._claiming.values():
            effects.extend(self._book.record_outcome(request, refused, now=now))
        failed = Failed(FailureReason.shutting_down)
        effects.extend(JobEnded(job, failed) for job in self._forwarded)
        self._claiming.clear()
        self._forwarded.clear()
        return (*effects, *self._book.shut_down(now=now))

    def holder_gone(self, holder: InstanceId, *, now: float) -> Effects:
        """End what waits for an instance that is gone."""
        lost = [
            forwarded.request
            for forwarded in self._forwarded.values()
            if forwarded.holder == holder
        ]
        return tuple(map(self._take_over, lost))

    def tick(self, *, now: float) -> Effects:
        """Ask again where a forwarded job has not been answered."""
        effects: list[Send] = []
        for forwarded in self._forwarded.values():
            if now - forwarded.sent_at >= _FORWARD_INTERVAL_SECONDS:
                forwarded.sent_at = now
                effects.append(_forward(forwarded))
        return tuple(effects)

    @on_effect(ClaimTaken)
    def _claim_taken(self, effect: ClaimTaken, *, now: float) -> Effects:
        request = self._claiming.pop(effect.request.job, None)
        if request is None:
            return ()
        return self._book.accept(request, now=now)

    @on_effect(ClaimUnavailable)
    def _claim_unavailable(
        self,
        effect: ClaimUnavailable,
        *,
        now: float,
    ) -> Effects:
        request = self._claiming.pop(effect.request.job, None)
        if request is None:
            return ()
        if request.idempotent:
            return self._book.accept(request, now=now)
        refused = Refused(
            RefusalReason.no_majority,
            retry_after=_RETRY_AFTER_SECONDS,
        )
        return (JobEnded(request.job, refused),)

    @on_effect(ClaimSettled)
    def _claim_settled(self, effect: ClaimSettled, *, now: float) -> Effects:
        request = self._claiming.pop(effect.request.job, None)
        if request is None:
            return ()
        if effect.digest != request.digest:
            return (JobEnded(request.job, _CONFLICT),)
        return (JobEnded(request.job, effect.outcome),)

    @on_effect(ClaimHeld)
    def _claim_held(self, effect: ClaimHeld, *, now: float) -> Effects:
        request = self._claiming.pop(effect.request.job, None)
        if request is None:
            return ()
        if effect.digest != request.digest:
            return (JobEnded(request.job, _CONFLICT),)
        if effect.gone:
            return (JobEnded(request.job, _HOLDER_GONE),)
        forwarded = _Forwarded(
            effect.request,
            effect.holder,
            effect.incarnation,
            now,
        )
        self._forwarded[request.job] = forwarded
        return (_forward(forwarded),)

    @on_message(ForwardJob)
    def _receive_forward(
        self,
        sender: InstanceId,
        message: ForwardJob,
        *,
        now: float,
    ) -> Effects:
        job = message.request.job
        if message.incarnation != self._own.incarnation:
            return (Send(sender, JobOutcome.of(job, _HOLDER_GONE)),)
        outcome, effects = self.submit(message.request, now=now)
        if outcome is not None:
            return (Send(sender, JobOutcome.of(job, outcome)),)
        self._waiting_peers.setdefault(job, set()).add(sender)
        return effects

    @on_message(JobOutcome)
    def _receive_outcome(
        self,
        sender: InstanceId,
        message: JobOutcome,
        *,
        now: float,
    ) -> Effects:
        forwarded = self._forwarded.get(message.job)
        outcome = message.outcome
        if forwarded is None or outcome is None:
            return ()
        if forwarded.holder != sender:
            return ()
        self._forwarded.pop(message.job)
        return (JobEnded(message.job, outcome),)

    @on_message(CancelJob)
    def _receive_cancel(
        self,
        sender: InstanceId,
        message: CancelJob,
        *,
        now: float,
    ) -> Effects:
        return self.cancel(message.job, now=now)

    def settle(self, ended: JobEnded, *, now: float) -> Effects:
        """Take the end of a job; tell the instances that forwarded it."""
        self._gate.release(ended, now=now)
        peers = self._waiting_peers.pop(ended.job, set())
        message = JobOutcome.of(ended.job, ended.outcome)
        return tuple(Send(peer, message) for peer in sorted(peers))

    def _take_over(self, request: JobRequest) -> TakeClaim | JobEnded:
        """Run an idempotent job anew; any other may have run, and is over."""
        self._forwarded.pop(request.job)
        if not request.idempotent:
            return JobEnded(request.job, _HOLDER_GONE)
        self._claiming[request.job] = request
        return TakeClaim(request)

    def _known(
        self,
        request: JobRequest,
    ) -> tuple[Outcome | None, Effects] | None:
        digest = self._digest_of(request.job)
        if digest is not None:
            same = digest == request.digest
            return (None if same else _CONFLICT), ()
        kept = self._book.ended(request.job)
        if kept is None or may_run_again(kept.outcome):
            return None
        if kept.digest != request.digest:
            return _CONFLICT, ()
        return kept.outcome, ()

    def _digest_of(self, job: JobId) -> bytes | None:
        running = self._book.find(job)
        if running is not None:
            return running.request.digest
        claiming = self._claiming.get(job)
        if claiming is not None:
            return claiming.digest
        forwarded = self._forwarded.get(job)
        return None if forwarded is None else forwarded.request.digest

    def _refusal(self, request: JobRequest, *, now: float) -> Refused | None:
        if not self._accepting:
            return _SHUTTING_DOWN
        return self._gate.check(request, now=now)


def _forward(forwarded: _Forwarded) -> Send:
    message = ForwardJob(forwarded.request, forwarded.incarnation)
    return Send(forwarded.holder, message)
