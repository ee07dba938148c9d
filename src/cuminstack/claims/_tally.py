"""What the votes on one request amount to."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from cuminstack.claims._messages import Answer, Vote
from cuminstack.claims._values import FAST, Ballot, Claim, VoteState
from cuminstack.claims._view import Group, is_majority, is_quorum
from cuminstack.core import InstanceId


@dataclass(frozen=True, slots=True)
class Free:
    """No claim can have become final; the claimant may propose its own."""


@dataclass(frozen=True, slots=True)
class Unclear:
    """More votes are needed."""


class Tally:
    """The votes on one proposal or one promise.

    Args:
        voters: All replicas, in the order of the votes' vectors.
        groups: Those groups of them that each need a majority.
    """

    def __init__(self, voters: Group, groups: Sequence[Group]) -> None:
        self._voters = voters
        self._groups = groups
        self._votes: dict[InstanceId, Vote] = {}
        self._counting: dict[InstanceId, Vote] = {}

    @property
    def votes(self) -> Mapping[InstanceId, Vote]:
        """The last vote of each replica that counts."""
        return self._counting

    @property
    def answers(self) -> tuple[Answer, ...]:
        """The answers, by replica."""
        return tuple(self._votes[name].answer for name in sorted(self._votes))

    @property
    def granted(self) -> frozenset[InstanceId]:
        """The replicas that granted the request."""
        return self._having({Answer.granted})

    @property
    def refused(self) -> frozenset[InstanceId]:
        """The replicas that refused the request, and will."""
        return self._having({Answer.refused, Answer.stale_view})

    @property
    def silent(self) -> frozenset[InstanceId]:
        """The replicas whose answer is missing, or may yet change."""
        return frozenset(self._voters) - self.granted - self.refused

    @property
    def has_quorum(self) -> bool:
        """Whether the request was granted by a majority of each group."""
        return is_quorum(self.granted, self._groups)

    @property
    def is_hopeless(self) -> bool:
        """Whether it can no longer be granted by a majority of each."""
        hope = self.granted | self.silent
        return not is_quorum(hope, self._groups)

    @property
    def highest_promise(self) -> int:
        """The highest ballot number that any replica told of."""
        states = self._states().values()
        return max((state.promised.number for state in states), default=0)

    def add(self, sender: InstanceId, vote: Vote) -> bool:
        """Take a vote; tell whether it was one that can count."""
        if sender not in self._voters:
            return False
        if len(vote.vector) != len(self._voters):
            return False
        self._votes[sender] = vote
        self._counting = self._sift()
        return True

    def final_state(self, ballot: Ballot, claim: Claim) -> VoteState | None:
        """Give the state of a claim that is final, if one is seen to be.

        Args:
            ballot: Of the proposal that was granted.
            claim: The proposal.
        """
        proposal = VoteState(accepted=ballot, claim=claim, firm=True)
        seen = {
            **self._states(),
            **dict.fromkeys(self.granted, proposal),
        }
        for state in seen.values():
            if state.decided:
                return state
            if is_quorum(_supporters(seen, state), self._groups):
                return state
        return None

    def decided_state(self) -> VoteState | None:
        """Give a state that some replica knows to be final."""
        decided = (state for state in self._states().values() if state.decided)
        return next(decided, None)

    def safe_claim(self) -> Claim | Free | Unclear:
        """Choose what may be proposed after a majority of promises.

        At the first ballot a majority of votes makes a claim final, too, so
        a claim must be proposed again if the votes seen and those not seen
        could add up to one.
        """
        if not self.has_quorum:
            return Unclear()
        states = self._states()
        seen = [state for state in states.values() if state.accepted]
        top = max((state.accepted or FAST for state in seen), default=FAST)
        if top > FAST:
            return _claims_at(top, seen)[0]
        unseen = frozenset(
            name
            for name in self._voters
            if name not in self.granted or states[name].murky
        )
        if self._may_be_final(unseen):
            return Unclear()
        possible = [
            claim
            for claim in dict.fromkeys(_claims_at(FAST, seen))
            if self._may_be_final(unseen | _backers(states, claim))
        ]
        if len(possible) > 1:
            return Unclear()
        return possible[0] if possible else Free()

    def _sift(self) -> dict[InstanceId, Vote]:
        """Leave out the votes that are void.

        Once a replica is known to have restarted and to have asked another
        voter for its claims, the votes that it gave before don't count.
        """
        known = [
            max(
                (vote.vector[place] for vote in self._votes.values()), default=0
            )
            for place in range(len(self._voters))
        ]
        latest = dict(zip(self._voters, known, strict=True))
        return {
            name: vote
            for name, vote in self._votes.items()
            if vote.vector[self._voters.index(name)] >= latest[name]
        }

    def _having(self, answers: set[Answer]) -> frozenset[InstanceId]:
        return frozenset(
            name for name, vote in self.votes.items() if vote.answer in answers
        )

    def _states(self) -> dict[InstanceId, VoteState]:
        return {
            name: vote.state
            for name, vote in self.votes.items()
            if vote.state is not None
        }

    def _may_be_final(self, votes: frozenset[InstanceId]) -> bool:
        """Tell whether votes of these suffice in any view that may be used."""
        return any(is_majority(votes, group) for group in self._groups)


def _supporters(
    seen: Mapping[InstanceId, VoteState],
    state: VoteState,
) -> frozenset[InstanceId]:
    """Give the replicas that themselves accepted just this proposal."""
    if state.accepted is None or not state.firm:
        return frozenset()
    proposal = (state.accepted, state.claim)
    return frozenset(
        name
        for name, other in seen.items()
        if other.firm and (other.accepted, other.claim) == proposal
    )


def _backers(
    states: Mapping[InstanceId, VoteState],
    claim: Claim,
) -> frozenset[InstanceId]:
    return frozenset(
        name for name, state in states.items() if state.claim == claim
    )


def _claims_at(ballot: Ballot, states: Iterable[VoteState]) -> list[Claim]:
    return [
        state.claim
        for state in states
        if state.accepted == ballot and state.claim is not None
    ]
