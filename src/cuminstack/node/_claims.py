"""Claims and leases of jobs, between the intake and the claim replicas."""

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
from cuminstack.claims import LeaseLost as LeaseRanOut
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

#: Outcomes larger than this are kept by the accepting instance only, in bytes.
_RECORDED_BYTES: Final = 65_536

#: Pause before the lease of an instance that is gone is asked for again, in
#: seconds; it runs out by itself.
_RETRY_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Retry:
    request: JobRequest
    due: float


class ClaimDesk:
    """Takes the claim on each job that may be resent, before it starts.

    A job that is not idempotent gets a claim, which is for ever its
    holder's; an idempotent one a lease, which passes on once it ran out.

    Args:
        own: This instance.
        claims: The claimant and the claim replica here.
        book: Jobs that were accepted here.
        membership: Tells which holders are gone.
    """

    def __init__(
        self,
        own: Instance,
        *,
        claims: Claims,
        book: JobTracker,
        membership: Membership,
    ) -> None:
        self._own = own
        self._claims = claims
        self._book = book
        self._membership = membership
        self._requests: dict[JobId, JobRequest] = {}
        self._retries: dict[JobId, _Retry] = {}
        self._leased: set[JobId] = set()

    @property
    def votes_on_all_jobs(self) -> bool:
        """Whether the claim replica here votes on every job."""
        return self._claims.votes_on_all_jobs

    def may_start(self, job: JobId, *, now: float) -> bool:
        """Tell whether this instance may still start tasks of a job.

        Asked just before each start, so that an instance that was paused
        past its lease starts nothing more.
        """
        return job not in self._leased or self._claims.holds_lease(
            job,
            now=now,
        )

    def leave(self) -> None:
        """Record outcomes at once from now on."""
        self._claims.stop_batching()

    def settle(self, ended: JobEnded) -> None:
        """Record the outcome of a job that was claimed or leased here."""
        self._leased.discard(ended.job)
        if isinstance(ended.outcome, Refused):
            # Nothing has run, so the key is free again.
            self._claims.release_lease(ended.job)
            return
        outcome = wire.encode(JobOutcome.of(ended.job, ended.outcome))
        if len(outcome) <= _RECORDED_BYTES:
            self._claims.record_outcome(ended.job, outcome)
        else:
            self._claims.release_lease(ended.job)

    def tick(self, *, now: float) -> Effects:
        """Resend, renew, give up and expire what is due."""
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
    def _never_in_force(self, _: NeverInForce, *, now: float) -> Effects:
        self._claims.assume_fresh()
        return ()

    @on_effect(TakeClaim)
    def _take(self, effect: TakeClaim, *, now: float) -> Effects:
        return self._claim(effect.request, now=now)

    @on_effect(Claimed)
    def _claimed(self, effect: Claimed, *, now: float) -> Effects:
        request = self._requests.pop(effect.job, None)
        return () if request is None else (ClaimTaken(request),)

    @on_effect(Leased)
    def _leased_to_us(self, effect: Leased, *, now: float) -> Effects:
        request = self._requests.pop(effect.job, None)
        if request is None:
            return ()
        self._leased.add(effect.job)
        return (ClaimTaken(request),)

    @on_effect(LeaseRanOut)
    def _lease_ran_out(self, effect: LeaseRanOut, *, now: float) -> Effects:
        return self._book.lose_lease(effect.job, now=now)

    @on_effect(NoMajority)
    def _no_majority(self, effect: NoMajority, *, now: float) -> Effects:
        request = self._requests.pop(effect.job, None)
        return () if request is None else (ClaimUnavailable(request),)

    @on_effect(AlreadyClaimed)
    def _already(self, effect: AlreadyClaimed, *, now: float) -> Effects:
        request = self._requests.pop(effect.job, None)
        if request is None:
            return ()
        if effect.outcome is not None:
            return (self._settled(request, effect, effect.outcome),)
        if self._is_own(effect):
            return (self._claimed_before(request, effect),)
        is_gone = self._is_gone(effect.holder, effect.incarnation)
        if is_gone and request.idempotent:
            self._retries[request.job] = _Retry(request, now + _RETRY_SECONDS)
            return ()
        return (_held(request, effect, gone=is_gone),)

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

    def _claimed_before(
        self,
        request: JobRequest,
        effect: AlreadyClaimed,
    ) -> ClaimTaken | ClaimHeld:
        """Run a job that was refused here before; nothing of it has run."""
        kept = self._book.ended(request.job)
        if effect.body_digest == request.digest and kept is not None:
            if may_run_again(kept.outcome):
                return ClaimTaken(request)
        return _held(request, effect, gone=True)

    def _settled(
        self,
        request: JobRequest,
        effect: AlreadyClaimed,
        recorded: bytes,
    ) -> ClaimSettled | ClaimHeld:
        outcome = _decode(recorded)
        if outcome is None:
            return _held(request, effect, gone=True)
        return ClaimSettled(request, effect.body_digest, outcome)


def _decode(recorded: bytes) -> Outcome | None:
    """Read a recorded outcome; none if another version wrote it."""
    try:
        message = wire.decode(recorded)
    except wire.BadFrame:
        return None
    return message.outcome if isinstance(message, JobOutcome) else None


def _held(
    request: JobRequest,
    effect: AlreadyClaimed,
    *,
    gone: bool,
) -> ClaimHeld:
    return ClaimHeld(
        request=request,
        holder=effect.holder,
        incarnation=effect.incarnation,
        digest=effect.body_digest,
        gone=gone,
    )
