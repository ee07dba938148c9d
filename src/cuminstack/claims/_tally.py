"""Evaluation of the votes on one request."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from cuminstack.claims._messages import Answer, Vote
from cuminstack.claims._values import FAST, Ballot, Claim, VoteState
from cuminstack.claims._view import Group, is_majority, is_quorum
from cuminstack.core import InstanceId


@dataclass(frozen=True, slots=True)
class Unconstrained:
    """No claim can have been decided; the claimant may propose its own."""


@dataclass(frozen=True, slots=True)
class Undetermined:
    """More votes are needed to choose a safe claim."""


class VoteTally:
    """Votes on one proposal or one ballot to promise.

    Args:
        voters: All replicas, in the order of the votes' vectors.
        groups: Groups of voters that each need a majority.
    """

    def __init__(self, voters: Group, groups: Sequence[Group]) -> None:
        self._voters = voters
        self._groups = groups
        self._votes: dict[InstanceId, Vote] = {}
        self._valid_votes: dict[InstanceId, Vote] = {}

    @property
    def votes(self) -> Mapping[InstanceId, Vote]:
        """Last vote of each replica, without votes that are void."""
        return self._valid_votes

    @property
    def answers(self) -> tuple[Answer, ...]:
        """Last answer of each replica that answered, sorted by replica."""
        return tuple(self._votes[name].answer for name in sorted(self._votes))

    @property
    def granted(self) -> frozenset[InstanceId]:
        """Replicas that granted the request."""
        return self._with_answers({Answer.granted})

    @property
    def refused(self) -> frozenset[InstanceId]:
        """Replicas that permanently refused the request."""
        return self._with_answers({Answer.refused, Answer.stale_view})

    @property
    def pending(self) -> frozenset[InstanceId]:
        """Replicas whose answer is missing or may still change."""
        return frozenset(self._voters) - self.granted - self.refused

    @property
    def has_quorum(self) -> bool:
        """Whether a majority of each group granted the request."""
        return is_quorum(self.granted, self._groups)

    @property
    def cannot_succeed(self) -> bool:
        """Whether a majority of each group can no longer grant the request."""
        reachable = self.granted | self.pending
        return not is_quorum(reachable, self._groups)

    @property
    def highest_promise(self) -> int:
        """Highest ballot number that any replica has promised."""
        states = self._states().values()
        return max((state.promised.number for state in states), default=0)

    def add(self, sender: InstanceId, vote: Vote) -> bool:
        """Record a vote.

        Args:
            sender: Replica that sent the vote.
            vote: The vote.

        Returns:
            Whether the vote is from a voter and has a vector of the right
            length.
        """
        if sender not in self._voters:
            return False
        if len(vote.vector) != len(self._voters):
            return False
        self._votes[sender] = vote
        self._valid_votes = self._filter_valid()
        return True

    def final_state(self, ballot: Ballot, claim: Claim) -> VoteState | None:
        """Return the state of a decided claim, or None if none is known.

        Args:
            ballot: Ballot of the proposal that was granted.
            claim: The proposal.

        Returns:
            A state that a replica reports as decided, or that a quorum
            accepted.
        """
        proposal = VoteState(accepted=ballot, claim=claim, firm=True)
        reported = {
            **self._states(),
            **dict.fromkeys(self.granted, proposal),
        }
        for state in reported.values():
            if state.decided:
                return state
            if is_quorum(_acceptors_of(reported, state), self._groups):
                return state
        return None

    def decided_state(self) -> VoteState | None:
        """Return a state that some replica knows to be decided, or None."""
        decided = (state for state in self._states().values() if state.decided)
        return next(decided, None)

    def safe_claim(self) -> Claim | Unconstrained | Undetermined:
        """Choose what may be proposed after a majority of promises.

        A majority of votes at the first ballot decides a claim, too.  So a
        claim must be proposed again if its known votes, together with the
        unknown votes, could form a majority.
        """
        if not self.has_quorum:
            return Undetermined()
        states = self._states()
        reported = [state for state in states.values() if state.accepted]
        highest_ballot = max(
            (state.accepted or FAST for state in reported),
            default=FAST,
        )
        if highest_ballot > FAST:
            return _claims_at(highest_ballot, reported)[0]
        unknown = frozenset(
            name
            for name in self._voters
            if name not in self.granted or states[name].murky
        )
        if self._may_be_final(unknown):
            return Undetermined()
        possible = [
            claim
            for claim in dict.fromkeys(_claims_at(FAST, reported))
            if self._may_be_final(unknown | _replicas_holding(states, claim))
        ]
        if len(possible) > 1:
            return Undetermined()
        return possible[0] if possible else Unconstrained()

    def _filter_valid(self) -> dict[InstanceId, Vote]:
        """Return the votes that are not void.

        Once a replica is known to have restarted and to have requested another
        voter's claims, its votes from before the restart are void.
        """
        known = [
            max(
                (vote.vector[index] for vote in self._votes.values()),
                default=0,
            )
            for index in range(len(self._voters))
        ]
        latest = dict(zip(self._voters, known, strict=True))
        return {
            name: vote
            for name, vote in self._votes.items()
            if vote.vector[self._voters.index(name)] >= latest[name]
        }

    def _with_answers(self, answers: set[Answer]) -> frozenset[InstanceId]:
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
        """Return whether these votes could decide in any view in use."""
        return any(is_majority(votes, group) for group in self._groups)


def _acceptors_of(
    reported: Mapping[InstanceId, VoteState],
    state: VoteState,
) -> frozenset[InstanceId]:
    """Return the replicas that themselves accepted the same proposal."""
    if state.accepted is None or not state.firm:
        return frozenset()
    proposal = (state.accepted, state.claim)
    return frozenset(
        name
        for name, other in reported.items()
        if other.firm and (other.accepted, other.claim) == proposal
    )


def _replicas_holding(
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
