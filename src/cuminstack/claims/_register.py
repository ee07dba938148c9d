"""What one replica holds on one job, and how votes change it."""

from collections.abc import Iterable
from dataclasses import replace

from cuminstack.claims._values import FAST, Ballot, Claim, VoteState
from cuminstack.core import InstanceId


class Register:
    """The write-once register of one job at one replica."""

    def __init__(self, *, expires_at: float) -> None:
        self.state = VoteState()
        self.voters: frozenset[InstanceId] = frozenset()
        self.expires_at = expires_at
        self._voted = False

    def involve(self, voters: Iterable[InstanceId]) -> None:
        """Remember the replicas of the job, of every view that asked."""
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
        """Record that a claim is final, and its outcome."""
        self.state = replace(
            self.state,
            claim=claim,
            murky=False,
            decided=True,
            outcome=outcome,
        )

    def adopt(self, other: VoteState) -> None:
        """Take over what another replica holds, after a restart."""
        mine = self.state
        if other.decided and other.claim is not None:
            self.settle(other.claim, other.outcome or mine.outcome)
        elif not self._voted and not mine.decided:
            self.state = _merge(mine, other)

    def _is_taken(self, claim: Claim) -> bool:
        held = self.state.claim
        return self.state.murky or (held is not None and held != claim)


def _merge(mine: VoteState, other: VoteState) -> VoteState:
    """Combine the states that two other replicas hold.

    Where both accepted at the first ballot, but not the same claim, the vote
    that was lost may have made either of them final.
    """
    murky = mine.murky or other.murky
    ours = _rank(mine)
    theirs = _rank(other)
    higher = other if theirs > ours else mine
    if ours == theirs == FAST and mine.claim != other.claim:
        murky = True
    if max(ours, theirs) > FAST:
        murky = False
    return VoteState(
        promised=max(mine.promised, other.promised),
        accepted=None if murky else higher.accepted,
        claim=None if murky else higher.claim,
        murky=murky,
    )


#: Ranks below every ballot.
_NOTHING = Ballot(-1)


def _rank(state: VoteState) -> Ballot:
    return _NOTHING if state.accepted is None else state.accepted
