"""State of one job at one replica, and its transitions."""

from collections.abc import Iterable
from dataclasses import replace

from cuminstack.claims._values import FAST, Ballot, Claim, VoteState
from cuminstack.core import InstanceId


class Register:
    """Write-once register of one job at one replica."""

    def __init__(self, *, expires_at: float) -> None:
        self.state = VoteState()
        self.voters: frozenset[InstanceId] = frozenset()
        self.expires_at = expires_at
        self._voted = False

    def add_voters(self, voters: Iterable[InstanceId]) -> None:
        """Add replicas of the job, from the view of a request."""
        if not self.voters.issuperset(voters):
            self.voters = self.voters.union(voters)

    def propose(self, ballot: Ballot, claim: Claim) -> bool:
        """Accept a claim, unless a promise or an earlier vote forbids it."""
        if ballot < self.state.promised or self.state.decided:
            return False
        if ballot == FAST and self._is_taken(claim):
            return False
        self._voted = True
        self.state = VoteState(
            promised=ballot,
            accepted=ballot,
            claim=claim,
            firm=True,
        )
        return True

    def prepare(self, ballot: Ballot) -> bool:
        """Promise to accept nothing below a ballot."""
        if ballot <= self.state.promised or self.state.decided:
            return False
        self._voted = True
        self.state = replace(self.state, promised=ballot)
        return True

    def settle(self, claim: Claim, outcome: bytes | None) -> None:
        """Record that a claim is decided, and its outcome."""
        self.state = replace(
            self.state,
            claim=claim,
            murky=False,
            decided=True,
            outcome=outcome,
        )

    def adopt(self, other: VoteState) -> None:
        """Merge the state of another replica, after a restart."""
        own = self.state
        if other.decided and other.claim is not None:
            self.settle(other.claim, other.outcome or own.outcome)
        elif not self._voted and not own.decided:
            self.state = _merge(own, other)

    def _is_taken(self, claim: Claim) -> bool:
        held = self.state.claim
        return self.state.murky or (held is not None and held != claim)


def _merge(own: VoteState, other: VoteState) -> VoteState:
    """Merge the state adopted so far with that of another replica.

    If both accepted different claims at the first ballot, the vote that this
    replica lost may have decided either of them.
    """
    murky = own.murky or other.murky
    own_rank = _rank(own)
    other_rank = _rank(other)
    higher = other if other_rank > own_rank else own
    if own_rank == other_rank == FAST and own.claim != other.claim:
        murky = True
    if max(own_rank, other_rank) > FAST:
        murky = False
    return VoteState(
        promised=max(own.promised, other.promised),
        accepted=None if murky else higher.accepted,
        claim=None if murky else higher.claim,
        murky=murky,
    )


#: Sorts below every ballot.
_NO_BALLOT = Ballot(-1)


def _rank(state: VoteState) -> Ballot:
    return _NO_BALLOT if state.accepted is None else state.accepted
