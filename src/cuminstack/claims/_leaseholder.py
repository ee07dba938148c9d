"""Acquisition and renewal of leases on idempotent jobs."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from cuminstack.claims._lease_messages import (
    Lease,
    Leased,
    LeaseLost,
    LeaseRequest,
    LeaseVote,
)
from cuminstack.claims._messages import AlreadyClaimed, NoMajority, Settled
from cuminstack.claims._values import Claim
from cuminstack.claims._view import ClaimView, Group, is_quorum
from cuminstack.core import Instance, InstanceId, JobId, Send

Effect = Send | Leased | LeaseLost | AlreadyClaimed | NoMajority
Effects = tuple[Effect, ...]

#: Number of renewals within the duration of a lease.
_RENEWALS_PER_LEASE: Final = 3


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of leases and their requests, in seconds.

    Args:
        duration: Time after which a lease expires unless it is renewed.
        request_timeout: Time after which a request is given up.
    """

    duration: float = 10
    request_timeout: float = 0.5


@dataclass(slots=True)
class _Request:
    """Lease that is requested or held."""

    lease: Lease
    groups: tuple[Group, ...]
    voters: Group
    serial: int
    requested_at: float
    expires_at: float = float('-inf')
    is_held: bool = False
    votes: dict[InstanceId, LeaseVote] = field(default_factory=dict)

    @property
    def granted(self) -> frozenset[InstanceId]:
        """Replicas that granted the lease."""
        return self.replicas_granting(self.lease)

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum answered, for whichever holder."""
        return is_quorum(self.votes, self.groups)

    @property
    def has_all_votes(self) -> bool:
        """Whether every replica answered."""
        return self.votes.keys() >= set(self.voters)

    @property
    def preferred_vote(self) -> LeaseVote:
        """Vote to yield to: latest generation first, then most votes.

        Ties are broken by the holder's name, so that competing requesters that
        saw the same votes agree.
        """
        counts = Counter(vote.lease.holder for vote in self.votes.values())
        return max(
            self.votes.values(),
            key=lambda vote: (
                vote.lease.generation,
                counts[vote.lease.holder],
                vote.lease.holder,
            ),
        )

    def replicas_granting(self, lease: Lease) -> frozenset[InstanceId]:
        """Return the replicas whose vote names the same holder."""
        return frozenset(
            name
            for name, vote in self.votes.items()
            if vote.lease.has_same_holder(lease)
        )


class LeaseClient:
    """Leases of this instance on idempotent jobs.

    Args:
        own: This instance, with its current incarnation.
        view: The configured instances.
        timing: Durations of leases and their requests.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        timing: LeaseTiming | None = None,
    ) -> None:
        self._own = own
        self._view = view
        self._timing = LeaseTiming() if timing is None else timing
        self._requests: dict[JobId, _Request] = {}
        self._serial = 0

    def acquire(self, job: JobId, digest: bytes, *, now: float) -> Effects:
        """Request a lease; do nothing if it is already requested or held."""
        if job in self._requests:
            return ()
        request = _Request(
            lease=Lease(self._own.instance, self._own.incarnation, digest),
            groups=self._view.groups(job),
            voters=self._view.voters(job),
            serial=0,
            requested_at=now,
        )
        self._requests[job] = request
        return self._send(job, request, now)

    def holds(self, job: JobId, *, now: float) -> bool:
        """Return whether the lease is held at this time.

        When competing requests lose votes, two instances may hold it, which
        idempotent jobs allow.
        """
        request = self._requests.get(job)
        return (
            request is not None and request.is_held and now < request.expires_at
        )

    def release(self, job: JobId) -> None:
        """Stop requesting or renewing a lease."""
        self._requests.pop(job, None)

    def settle(self, job: JobId, outcome: bytes) -> Settled | None:
        """End a held lease and return the outcome to record, if it is held."""
        request = self._requests.pop(job, None)
        if request is None or not request.is_held:
            return None
        lease = request.lease
        claim = Claim(
            holder=lease.holder,
            incarnation=lease.incarnation,
            digest=lease.digest,
            nonce=lease.generation,
        )
        return Settled(job, claim, outcome, request.voters)

    def receive(
        self,
        sender: InstanceId,
        vote: LeaseVote,
        *,
        now: float,
    ) -> Effects:
        """Handle a vote of a replica."""
        request = self._requests.get(vote.job)
        if request is None or request.serial != vote.serial:
            return ()
        if sender not in request.voters:
            return ()
        request.votes[sender] = vote
        if vote.outcome is not None:
            return self._yield_to(vote)
        if is_quorum(request.granted, request.groups):
            return self._confirm(vote.job, request, now)
        if is_quorum(request.replicas_granting(vote.lease), request.groups):
            return self._yield_to(vote)
        if request.has_all_votes:
            return self._resolve(vote.job, request, now)
        return ()

    def tick(self, *, now: float) -> Effects:
        """Renew held leases and give up requests that have timed out."""
        effects: list[Effect] = []
        for job, request in tuple(self._requests.items()):
            effects.extend(self._tick_request(job, request, now))
        return tuple(effects)

    def _tick_request(
        self,
        job: JobId,
        request: _Request,
        now: float,
    ) -> Effects:
        waited = now - request.requested_at
        if request.is_held and now >= request.expires_at:
            self._requests.pop(job)
            return (LeaseLost(job),)
        if request.is_held:
            due = waited >= self._timing.duration / _RENEWALS_PER_LEASE
            return self._send(job, request, now) if due else ()
        if waited >= self._timing.request_timeout:
            return self._resolve(job, request, now)
        return ()

    def _resolve(self, job: JobId, request: _Request, now: float) -> Effects:
        """Resolve a split vote, or give up without a quorum of answers."""
        preferred_vote = request.preferred_vote if request.votes else None
        if preferred_vote and not preferred_vote.lease.has_same_holder(
            request.lease
        ):
            return self._yield_to(preferred_vote)
        if request.has_quorum:
            return self._confirm(job, request, now)
        self._requests.pop(job)
        return (NoMajority(job, ()),)

    def _send(self, job: JobId, request: _Request, now: float) -> Effects:
        self._serial += 1
        request.serial = self._serial
        request.requested_at = now
        request.votes.clear()
        message = LeaseRequest(
            job=job,
            serial=request.serial,
            lease=request.lease,
            seconds=self._timing.duration,
        )
        return tuple(Send(name, message) for name in request.voters)

    def _confirm(self, job: JobId, request: _Request, now: float) -> Effects:
        """Hold the lease, timed from its request.

        A replica counts from the arrival of the request, so it holds the lease
        for longer than its holder does.
        """
        generation = max(
            vote.lease.generation
            for vote in request.votes.values()
            if vote.lease.has_same_holder(request.lease)
        )
        held_before = request.is_held
        request.expires_at = request.requested_at + self._timing.duration
        request.is_held = True
        return () if held_before else (Leased(job, generation),)

    def _yield_to(self, vote: LeaseVote) -> Effects:
        request = self._requests.pop(vote.job)
        if request.is_held:
            return (LeaseLost(vote.job),)
        return (
            AlreadyClaimed(
                job=vote.job,
                holder=vote.lease.holder,
                incarnation=vote.lease.incarnation,
                body_digest=vote.lease.digest,
                outcome=vote.outcome,
            ),
        )
