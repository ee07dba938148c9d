"""Asks for leases on idempotent jobs, and renews them."""

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

#: Renewals that fit in one lease.
_RENEWALS: Final = 3


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Times of leases, in seconds.

    Args:
        length: After which a lease that isn't renewed runs out.
        patience: After which a request is given up.
    """

    length: float = 10
    patience: float = 0.5


@dataclass(slots=True)
class _Request:
    """A lease that is asked for, or held."""

    lease: Lease
    groups: tuple[Group, ...]
    voters: Group
    serial: int
    asked_at: float
    until: float = float('-inf')
    is_held: bool = False
    votes: dict[InstanceId, LeaseVote] = field(default_factory=dict)

    @property
    def granted(self) -> frozenset[InstanceId]:
        """Replicas that granted it."""
        return self.supporters(self.lease)

    @property
    def has_quorum(self) -> bool:
        """Whether enough replicas answered, for whomever."""
        return is_quorum(self.votes, self.groups)

    @property
    def is_answered(self) -> bool:
        """Whether every replica answered."""
        return self.votes.keys() >= set(self.voters)

    @property
    def strongest(self) -> LeaseVote:
        """The vote to yield to: the latest generation, then the most votes.

        Names break ties, so that racing askers who saw the same votes agree.
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

    def supporters(self, lease: Lease) -> frozenset[InstanceId]:
        """Give the replicas that say it is held by a lease's holder."""
        return frozenset(
            name for name, vote in self.votes.items() if vote.lease.is_of(lease)
        )


class LeaseClient:
    """Leases of this instance on idempotent jobs.

    Args:
        own: This instance, with its live incarnation.
        view: The configured instances.
        terms: Times.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        terms: LeaseTerms | None = None,
    ) -> None:
        self._own = own
        self._view = view
        self._terms = LeaseTerms() if terms is None else terms
        self._requests: dict[JobId, _Request] = {}
        self._serial = 0

    def ask(self, job: JobId, digest: bytes, *, now: float) -> Effects:
        """Ask for a lease; nothing happens if it is asked for or held."""
        if job in self._requests:
            return ()
        request = _Request(
            lease=Lease(self._own.instance, self._own.incarnation, digest),
            groups=self._view.groups(job),
            voters=self._view.voters(job),
            serial=0,
            asked_at=now,
        )
        self._requests[job] = request
        return self._send(job, request, now)

    def holds(self, job: JobId, *, now: float) -> bool:
        """Tell whether the lease is held at this moment.

        In a race whose votes got lost two instances may hold it, which
        idempotent jobs allow.
        """
        request = self._requests.get(job)
        return request is not None and request.is_held and now < request.until

    def release(self, job: JobId) -> None:
        """Stop asking for a lease, or renewing it."""
        self._requests.pop(job, None)

    def settle(self, job: JobId, outcome: bytes) -> Settled | None:
        """End a lease that is held with the outcome of its job."""
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
        """Take a vote of a replica."""
        request = self._requests.get(vote.job)
        if request is None or request.serial != vote.serial:
            return ()
        if sender not in request.voters:
            return ()
        request.votes[sender] = vote
        if vote.outcome is not None:
            return self._yield_to(vote)
        if is_quorum(request.granted, request.groups):
            return self._hold(vote.job, request, now)
        if is_quorum(request.supporters(vote.lease), request.groups):
            return self._yield_to(vote)
        if request.is_answered:
            return self._resolve(vote.job, request, now)
        return ()

    def tick(self, *, now: float) -> Effects:
        """Renew what is held and give up what isn't answered."""
        effects: list[Effect] = []
        for job, request in tuple(self._requests.items()):
            effects.extend(self._hurry(job, request, now))
        return tuple(effects)

    def _hurry(self, job: JobId, request: _Request, now: float) -> Effects:
        waited = now - request.asked_at
        if request.is_held and now >= request.until:
            self._requests.pop(job)
            return (LeaseLost(job),)
        if request.is_held:
            due = waited >= self._terms.length / _RENEWALS
            return self._send(job, request, now) if due else ()
        if waited >= self._terms.patience:
            return self._resolve(job, request, now)
        return ()

    def _resolve(self, job: JobId, request: _Request, now: float) -> Effects:
        """Settle a split vote, or give up where too few answered."""
        strongest = request.strongest if request.votes else None
        if strongest and not strongest.lease.is_of(request.lease):
            return self._yield_to(strongest)
        if request.has_quorum:
            return self._hold(job, request, now)
        self._requests.pop(job)
        return (NoMajority(job, ()),)

    def _send(self, job: JobId, request: _Request, now: float) -> Effects:
        self._serial += 1
        request.serial = self._serial
        request.asked_at = now
        request.votes.clear()
        message = LeaseRequest(
            job=job,
            serial=request.serial,
            lease=request.lease,
            seconds=self._terms.length,
        )
        return tuple(Send(name, message) for name in request.voters)

    def _hold(self, job: JobId, request: _Request, now: float) -> Effects:
        """Hold it from the time of asking, so that replicas hold it longer."""
        generation = max(
            vote.lease.generation
            for vote in request.votes.values()
            if vote.lease.is_of(request.lease)
        )
        held_before = request.is_held
        request.until = request.asked_at + self._terms.length
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
