"""Accepts submissions, or forwards them to the instance that has the job."""

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
from cuminstack.node._admission import AdmissionController
from cuminstack.node._claim_effects import (
    ClaimHeld,
    ClaimSettled,
    ClaimTaken,
    ClaimUnavailable,
    TakeClaim,
    may_run_again,
)
from cuminstack.node._routing import Effects, on_effect, on_message

#: Interval at which a forwarded job is sent again until it is answered.
_FORWARD_RETRY_SECONDS: Final = 1.0

#: Delay after which a retry can succeed once the deployment has restarted.
_RETRY_AFTER_SECONDS: Final = 1.0

_CONFLICT: Final = Refused(RefusalReason.key_conflict)
_SHUTTING_DOWN: Final = Refused(
    RefusalReason.shutting_down,
    retry_after=_RETRY_AFTER_SECONDS,
)
_HOLDER_GONE: Final = Failed(FailureReason.holder_gone)


@dataclass(slots=True)
class _Forwarded:
    """A submission that was forwarded to the holder of its claim."""

    request: JobRequest
    holder: InstanceId
    incarnation: int
    sent_at: float


class IntakeHandler:
    """Admits submissions, and forwards resends to the instance with the job.

    Args:
        own: This instance.
        tracker: Jobs that were accepted by this instance.
        controller: Admission control of new submissions.
    """

    def __init__(
        self,
        own: Instance,
        tracker: JobTracker,
        controller: AdmissionController,
    ) -> None:
        self._own = own
        self._tracker = tracker
        self._controller = controller
        self._claiming: dict[JobId, JobRequest] = {}
        self._forwarded: dict[JobId, _Forwarded] = {}
        self._waiting_peers: dict[JobId, set[InstanceId]] = {}
        self._accepting = True

    @property
    def busy(self) -> int:
        """Number of unfinished jobs: running, being claimed or forwarded."""
        return (
            self._tracker.running + len(self._claiming) + len(self._forwarded)
        )

    def stop_accepting(self) -> None:
        """Refuse new jobs from now on; resends of known jobs still succeed."""
        self._accepting = False

    def submit(
        self,
        request: JobRequest,
        *,
        now: float,
    ) -> tuple[Outcome | None, Effects]:
        """Process a submission.

        Returns:
            The outcome, and effects.  An outcome of None means that a
            `JobEnded` of the job follows.
        """
        existing = self._find_existing(request)
        if existing is not None:
            return existing
        request = self._controller.fill_defaults(request)
        refusal = self._refusal(request, now=now)
        if refusal is not None:
            return refusal, ()
        if request.minted:
            return None, self._tracker.accept(request, now=now)
        self._claiming[request.job] = request
        return None, (TakeClaim(request),)

    def knows(self, job: JobId) -> bool:
        """Return whether a job is running, being claimed or forwarded here."""
        return (
            self._tracker.find(job) is not None
            or job in self._claiming
            or job in self._forwarded
        )

    def cancel(self, job: JobId, *, now: float) -> Effects:
        """Cancel a job that this instance runs, claims or has forwarded."""
        forwarded = self._forwarded.get(job)
        if forwarded is not None:
            return (Send(forwarded.holder, CancelJob(job)),)
        claiming = self._claiming.pop(job, None)
        if claiming is not None:
            cancelled = Refused(RefusalReason.cancelled)
            return self._tracker.record_outcome(claiming, cancelled, now=now)
        return self._tracker.cancel(job, now=now)

    def abandon(self, job: JobId, *, now: float) -> Effects:
        """End a job whose callers at this instance have all disconnected.

        A job that another instance's caller waits for continues.  For a job
        that was forwarded, only the wait for its outcome ends.
        """
        if self._forwarded.pop(job, None) is not None:
            return (JobEnded(job, Failed(FailureReason.cancelled)),)
        if self._waiting_peers.get(job):
            return ()
        return self.cancel(job, now=now)

    def shut_down(self, *, now: float) -> Effects:
        """End all jobs of this instance, and the wait for forwarded jobs."""
        refused = Refused(RefusalReason.shutting_down)
        effects: list[Any] = []
        for request in self._claiming.values():
            effects.extend(
                self._tracker.record_outcome(request, refused, now=now)
            )
        failed = Failed(FailureReason.shutting_down)
        effects.extend(JobEnded(job, failed) for job in self._forwarded)
        self._claiming.clear()
        self._forwarded.clear()
        return (*effects, *self._tracker.shut_down(now=now))

    def handle_holder_gone(self, holder: InstanceId, *, now: float) -> Effects:
        """End or take over the jobs forwarded to an instance that is gone."""
        lost = [
            forwarded.request
            for forwarded in self._forwarded.values()
            if forwarded.holder == holder
        ]
        return tuple(map(self._take_over, lost))

    def tick(self, *, now: float) -> Effects:
        """Resend forwarded jobs that have not been answered."""
        effects: list[Send] = []
        for forwarded in self._forwarded.values():
            if now - forwarded.sent_at >= _FORWARD_RETRY_SECONDS:
                forwarded.sent_at = now
                effects.append(_forward(forwarded))
        return tuple(effects)

    @on_effect(ClaimTaken)
    def _claim_taken(self, effect: ClaimTaken, *, now: float) -> Effects:
        request = self._claiming.pop(effect.request.job, None)
        if request is None:
            return ()
        return self._tracker.accept(request, now=now)

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
            return self._tracker.accept(request, now=now)
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
        if effect.holder_gone:
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

    def job_ended(self, ended: JobEnded, *, now: float) -> Effects:
        """Process the end of a job.

        Returns:
            Messages with its outcome to the instances that forwarded it here.
        """
        self._controller.job_ended(ended, now=now)
        peers = self._waiting_peers.pop(ended.job, set())
        message = JobOutcome.of(ended.job, ended.outcome)
        return tuple(Send(peer, message) for peer in sorted(peers))

    def _take_over(self, request: JobRequest) -> TakeClaim | JobEnded:
        """Rerun an idempotent job; fail any other, as it may have run."""
        self._forwarded.pop(request.job)
        if not request.idempotent:
            return JobEnded(request.job, _HOLDER_GONE)
        self._claiming[request.job] = request
        return TakeClaim(request)

    def _find_existing(
        self,
        request: JobRequest,
    ) -> tuple[Outcome | None, Effects] | None:
        """Return the result for a known job, or None if the job is new."""
        digest = self._digest_in_progress(request.job)
        if digest is not None:
            same = digest == request.digest
            return (None if same else _CONFLICT), ()
        stored = self._tracker.ended(request.job)
        if stored is None or may_run_again(stored.outcome):
            return None
        if stored.digest != request.digest:
            return _CONFLICT, ()
        return stored.outcome, ()

    def _digest_in_progress(self, job: JobId) -> bytes | None:
        running = self._tracker.find(job)
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
        return self._controller.check(request, now=now)


def _forward(forwarded: _Forwarded) -> Send:
    message = ForwardJob(forwarded.request, forwarded.incarnation)
    return Send(forwarded.holder, message)
