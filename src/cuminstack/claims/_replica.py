"""Claim replica: votes on claims, and recovers them after a restart."""

from functools import singledispatchmethod

from cuminstack.claims._catchup import CatchUp
from cuminstack.claims._handovers import Handovers
from cuminstack.claims._lease_messages import Lease, LeaseRequest, LeaseVote
from cuminstack.claims._lease_table import LeaseTable
from cuminstack.claims._messages import (
    Answer,
    Handover,
    Outcomes,
    Prepare,
    Propose,
    Pull,
    Recorded,
    Vote,
)
from cuminstack.claims._store import Limits, Store
from cuminstack.claims._values import VoteState
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, Send


class ClaimReplica:
    """Votes on claims and holds them in memory.

    Args:
        own: This instance, with its current incarnation.
        view: The configured instances.
        limits: Lifetime and maximum numbers of claims.
        now: Time of the start, in seconds.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        limits: Limits | None = None,
        now: float,
    ) -> None:
        limits = Limits() if limits is None else limits
        self._view = view
        self._highest_view = view.number
        self._store = Store(limits)
        self._catch_up = CatchUp(
            own,
            view,
            lifetime=limits.lifetime,
            now=now,
        )
        self._handovers = Handovers(own, view, self._store, self._catch_up)
        self._leases = LeaseTable(lifetime=limits.lifetime, jobs=limits.jobs)

    def __len__(self) -> int:
        return len(self._store)

    @property
    def votes_on_all_jobs(self) -> bool:
        """Whether this replica votes on every job."""
        return self._catch_up.votes_on_all_jobs

    def assume_fresh(self) -> None:
        """Vote at once; only for a deployment that never ran a job.

        The caller must know from a quorum of the sheet's replicas, queried
        after this process started, that no sheet was ever in force.
        """
        self._catch_up.assume_fresh()

    def tick(self, *, now: float) -> tuple[Send, ...]:
        """Process timers; must be called at least once a second."""
        self._store.expire(now=now)
        self._leases.expire(now=now)
        return self._catch_up.tick(now=now)

    def receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> tuple[Send, ...]:
        """Handle a message from an instance, including this one."""
        return self._dispatch(message, sender, now)

    @singledispatchmethod
    def _dispatch(
        self,
        message: object,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        """Ignore a message that is not for a replica."""
        return ()

    @_dispatch.register
    def _handle_propose(
        self,
        request: Propose,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        rejection = self._rejection_of(request)
        if rejection is not None:
            return (self._make_vote(sender, request, rejection),)
        register = self._store.get_or_create(request.job, now=now)
        register.add_voters(request.voters)
        if register.propose(request.ballot, request.claim):
            return (self._make_vote(sender, request, Answer.granted),)
        answer = Answer.refused
        return (self._make_vote(sender, request, answer, register.state),)

    @_dispatch.register
    def _handle_prepare(
        self,
        request: Prepare,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        rejection = self._rejection_of(request)
        if rejection is not None:
            return (self._make_vote(sender, request, rejection),)
        register = self._store.get_or_create(request.job, now=now)
        register.add_voters(request.voters)
        granted = register.prepare(request.ballot)
        answer = Answer.granted if granted else Answer.refused
        return (self._make_vote(sender, request, answer, register.state),)

    @_dispatch.register
    def _handle_outcomes(
        self,
        message: Outcomes,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        for settled in message.settled:
            self._store.settle(
                settled.job,
                settled.claim,
                settled.outcome,
                now=now,
            )
            register = self._store.get_or_create(settled.job, now=now)
            register.add_voters(settled.voters)
        return (Send(sender, Recorded(message.serial)),)

    @_dispatch.register
    def _handle_lease(
        self,
        request: LeaseRequest,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        register = self._store.get(request.job)
        outcome = None if register is None else register.state.outcome
        if register is None or outcome is None:
            lease = self._leases.grant(request, now=now)
        else:
            lease = _lease_of(register.state)
        vote = LeaseVote(request.job, request.serial, lease, outcome)
        return (Send(sender, vote),)

    @_dispatch.register
    def _handle_pull(
        self,
        pull: Pull,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        return self._handovers.make_page(sender, pull, now=now)

    @_dispatch.register
    def _handle_handover(
        self,
        page: Handover,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        if not self._catch_up.expects(sender, page):
            return ()
        self._handovers.merge_fences(page.fences)
        for entry in page.entries:
            self._store.adopt(entry, now=now)
        return self._catch_up.record_page(sender, page, now=now)

    def _rejection_of(self, request: Propose | Prepare) -> Answer | None:
        """Return the answer that rejects a request, or None to vote on it.

        A claimant one view behind is served, since its majorities overlap those
        of this view; one that is further behind is rejected.
        """
        self._highest_view = max(self._highest_view, request.number)
        if request.number < self._highest_view - 1:
            return Answer.stale_view
        if not self._may_vote(request):
            return Answer.not_ready
        if self._store.is_full and self._store.get(request.job) is None:
            return Answer.full
        return None

    def _may_vote(self, request: Propose | Prepare) -> bool:
        """Return whether all replicas of the job in both views handed over."""
        if self._catch_up.votes_on_all_jobs:
            return True
        own_voters = self._view.voters(request.job)
        return self._catch_up.may_vote({*request.voters, *own_voters})

    def _make_vote(
        self,
        to: InstanceId,
        request: Propose | Prepare,
        answer: Answer,
        state: VoteState | None = None,
    ) -> Send:
        vote = Vote(
            job=request.job,
            serial=request.serial,
            answer=answer,
            vector=self._handovers.incarnation_vector(request.voters),
            state=state,
        )
        return Send(to, vote)


def _lease_of(state: VoteState) -> Lease:
    """Return the lease of the holder that recorded the job's outcome."""
    claim = state.claim
    assert claim is not None
    return Lease(claim.holder, claim.incarnation, claim.digest, claim.nonce)
