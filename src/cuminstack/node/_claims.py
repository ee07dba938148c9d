"""Claims of jobs, between the intake and the claim replicas."""

from dataclasses import replace
from typing import Final

from cuminstack.claims import (
    AlreadyClaimed,
    Claimed,
    Claims,
    Handover,
    NoMajority,
    Outcomes,
    Prepare,
    Propose,
    Pull,
    Recorded,
    Vote,
)
from cuminstack.core import Instance, InstanceId, JobId, JobKey
from cuminstack.jobs import JobBook, JobRequest
from cuminstack.membership import Membership, Standing
from cuminstack.node._intake import (
    ClaimHeld,
    ClaimTaken,
    ClaimUnavailable,
    TakeClaim,
    may_run_again,
)
from cuminstack.node._routing import Effects, on_effect, on_message
from cuminstack.node._sheets import NeverInForce

#: Separates a key from the number of the run that the claim is for; it
#: stands in no key.
_RUN_SEPARATOR: Final = '#'


class ClaimDesk:
    """Takes the claim on each job that may be resent, before it starts.

    The claim on an idempotent job whose holder is gone is followed by the
    claim on its next run, so that of several resends one runs it anew.

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
        book: JobBook,
        membership: Membership,
    ) -> None:
        self._own = own
        self._claims = claims
        self._book = book
        self._membership = membership
        self._requests: dict[JobId, JobRequest] = {}

    def tick(self, *, now: float) -> Effects:
        """Resend, give up and expire what is due."""
        return self._claims.tick(now=now)

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

    @on_effect(NoMajority)
    def _no_majority(self, effect: NoMajority, *, now: float) -> Effects:
        request = self._requests.pop(effect.job, None)
        return () if request is None else (ClaimUnavailable(request),)

    @on_effect(AlreadyClaimed)
    def _already(self, effect: AlreadyClaimed, *, now: float) -> Effects:
        request = self._requests.pop(effect.job, None)
        if request is None:
            return ()
        if self._is_own(effect):
            return (self._claimed_before(request, effect),)
        is_gone = self._is_gone(effect.holder, effect.incarnation)
        same = effect.body_digest == request.digest
        if is_gone and same and request.idempotent:
            return self._claim(
                replace(request, run=request.run + 1),
                now=now,
            )
        return (self._held(request, effect, gone=is_gone),)

    @on_message(Handover, Outcomes, Prepare, Propose, Pull, Recorded, Vote)
    def _receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> Effects:
        return self._claims.receive(sender, message, now=now)

    def _claim(self, request: JobRequest, *, now: float) -> Effects:
        claimed = claimed_job(request)
        self._requests[claimed] = request
        return self._claims.claim(claimed, request.digest, now=now)

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
        return self._held(request, effect, gone=True)

    def _held(
        self,
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


def claimed_job(request: JobRequest) -> JobId:
    """Give the id that the claim on a run of a job is taken under."""
    job = request.job
    if not request.run:
        return job
    key = JobKey(f'{job.key}{_RUN_SEPARATOR}{request.run}')
    return JobId(job.member, key)
