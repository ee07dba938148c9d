"""Takes claims and leases on jobs and records their outcomes."""

from dataclasses import dataclass
from typing import Final

from cuminstack import wire
from cuminstack.claims import (
    AlreadyClaimed,
    Claimed,
    Claims,
    Leased,
    NoMajority,
)
from cuminstack.claims import LeaseLost as LeaseExpired
from cuminstack.core import Instance, InstanceId, JobId
from cuminstack.jobs import (
    JobEnded,
    JobOutcome,
    JobRequest,
    JobTracker,
    Outcome,
    Refused,
)
from cuminstack.membership import Membership, Standing
from cuminstack.node._claim_effects import (
    ClaimHeld,
    ClaimSettled,
    ClaimTaken,
    ClaimUnavailable,
    TakeClaim,
    may_run_again,
)
from cuminstack.node._routing import Effects, on_effect, on_message
from cuminstack.node._sheets import NeverInForce

#: Larger outcomes are stored only at the instance that accepted the job.
_MAX_RECORDED_OUTCOME_BYTES: Final = 65_536

#: Delay between attempts to take over the lease of an instance that is gone.
#: The lease expires by itself.
_LEASE_RETRY_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Retry:
    """A lease request to repeat at time `due`, in seconds."""

    request: JobRequest
    due: float


class ClaimHandler:
    """Takes a claim or lease on each job that may be resent, before it starts.

    A non-idempotent job gets a claim, which its holder keeps permanently.  An
    idempotent job gets a lease, which another instance can take over once it
    has expired.

    Args:
        own: This instance.
        claims: The claim client and the claim replica of this instance.
        tracker: Jobs that were accepted by this instance.
        membership: Failure detector that reports which holders are gone.
    """

    def __init__(
        self,
        own: Instance,
        *,
        claims: Claims,
        tracker: JobTracker,
        membership: Membership,
    ) -> None:
        self._own = own
        self._claims = claims
        self._tracker = tracker
        self._membership = membership
        self._requests: dict[JobId, JobRequest] = {}
        self._retries: dict[JobId, _Retry] = {}
        self._leased: set[JobId] = set()

    @property
    def votes_on_all_jobs(self) -> bool:
        """Whether the claim replica of this instance votes on every job."""
        return self._claims.votes_on_all_jobs

    def may_start(self, job: JobId, *, now: float) -> bool:
        """Return whether this instance may still start tasks of a job.

        Must be checked immediately before each start, so that an instance
        that was paused until after its lease expired starts no more tasks.
        """
        return job not in self._leased or self._claims.holds_lease(
            job,
            now=now,
        )

    def stop_batching_outcomes(self) -> None:
        """Record each outcome immediately from now on, without batching."""
        self._claims.stop_batching()

    def job_ended(self, ended: JobEnded) -> None:
        """Record the outcome of a job that this instance claimed or leased.

        The lease of a job that was refused, or whose outcome is too large to
        record, is released instead.
        """
        self._leased.discard(ended.job)
        if isinstance(ended.outcome, Refused):
            # No task of the job ran, so its key may be reused.
            self._claims.release_lease(ended.job)
            return
        outcome = wire.encode(JobOutcome.of(ended.job, ended.outcome))
        if len(outcome) <= _MAX_RECORDED_OUTCOME_BYTES:
            self._claims.record_outcome(ended.job, outcome)
        else:
            self._claims.release_lease(ended.job)

    def tick(self, *, now: float) -> Effects:
        """Resend requests, renew leases and apply time-outs that are due."""
        due = [
            retry.request
            for retry in self._retries.values()
            if retry.due <= now
        ]
        effects = [self._claims.tick(now=now)]
        for request in due:
            self._retries.pop(request.job)
            effects.append(self._claim(request, now=now))
        return tuple(each for group in effects for each in group)

    @on_effect(NeverInForce)
    def _on_never_in_force(self, _: NeverInForce, *, now: float) -> Effects:
        self._claims.assume_fresh()
        return ()

    @on_effect(TakeClaim)
    def _on_take_claim(self, effect: TakeClaim, *, now: float) -> Effects:
        return self._claim(effect.request, now=now)

    @on_effect(Claimed)
    def _on_claimed(self, effect: Claimed, *, now: float) -> Effects:
        request = self._requests.pop(effect.job, None)
        return () if request is None else (ClaimTaken(request),)

    @on_effect(Leased)
    def _on_leased(self, effect: Leased, *, now: float) -> Effects:
        request = self._requests.pop(effect.job, None)
        if request is None:
            return ()
        self._leased.add(effect.job)
        return (ClaimTaken(request),)

    @on_effect(LeaseExpired)
    def _on_lease_lost(self, effect: LeaseExpired, *, now: float) -> Effects:
        return self._tracker.lose_lease(effect.job, now=now)

    @on_effect(NoMajority)
    def _on_no_majority(self, effect: NoMajority, *, now: float) -> Effects:
        request = self._requests.pop(effect.job, None)
        return () if request is None else (ClaimUnavailable(request),)

    @on_effect(AlreadyClaimed)
    def _on_already_claimed(
        self,
        effect: AlreadyClaimed,
        *,
        now: float,
    ) -> Effects:
        request = self._requests.pop(effect.job, None)
        if request is None:
            return ()
        if effect.outcome is not None:
            return (self._to_settled(request, effect, effect.outcome),)
        if self._is_own(effect):
            return (self._handle_own_claim(request, effect),)
        is_gone = self._is_gone(effect.holder, effect.incarnation)
        if is_gone and request.idempotent:
            self._retries[request.job] = _Retry(
                request,
                now + _LEASE_RETRY_SECONDS,
            )
            return ()
        return (_to_held(request, effect, holder_gone=is_gone),)

    @on_message(*wire.messages_of('claims'))
    def _receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> Effects:
        return self._claims.receive(sender, message, now=now)

    def _claim(self, request: JobRequest, *, now: float) -> Effects:
        self._requests[request.job] = request
        if request.idempotent:
            return self._claims.lease(request.job, request.digest, now=now)
        return self._claims.claim(request.job, request.digest, now=now)

    def _is_gone(self, holder: InstanceId, incarnation: int) -> bool:
        record = self._membership.record_of(holder)
        if record is None or record.incarnation < incarnation:
            return False
        if record.incarnation > incarnation:
            return True
        return record.standing is Standing.gone

    def _is_own(self, effect: AlreadyClaimed) -> bool:
        holder = (effect.holder, effect.incarnation)
        return holder == (self._own.instance, self._own.incarnation)

    def _handle_own_claim(
        self,
        request: JobRequest,
        effect: AlreadyClaimed,
    ) -> ClaimTaken | ClaimHeld:
        """Handle a claim that this process took for an earlier submission.

        The job may run if this instance refused the earlier submission, since
        none of its tasks has run then.
        """
        stored = self._tracker.ended(request.job)
        if effect.body_digest == request.digest and stored is not None:
            if may_run_again(stored.outcome):
                return ClaimTaken(request)
        return _to_held(request, effect, holder_gone=True)

    def _to_settled(
        self,
        request: JobRequest,
        effect: AlreadyClaimed,
        recorded: bytes,
    ) -> ClaimSettled | ClaimHeld:
        outcome = _decode(recorded)
        if outcome is None:
            return _to_held(request, effect, holder_gone=True)
        return ClaimSettled(request, effect.body_digest, outcome)


def _decode(recorded: bytes) -> Outcome | None:
    """Decode a recorded outcome; return None for an unknown wire format.

    An instance of another version may have recorded it.
    """
    try:
        message = wire.decode(recorded)
    except wire.BadFrame:
        return None
    return message.outcome if isinstance(message, JobOutcome) else None


def _to_held(
    request: JobRequest,
    effect: AlreadyClaimed,
    *,
    holder_gone: bool,
) -> ClaimHeld:
    return ClaimHeld(
        request=request,
        holder=effect.holder,
        incarnation=effect.incarnation,
        digest=effect.body_digest,
        holder_gone=holder_gone,
    )
