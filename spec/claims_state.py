"""States, claimants and rules of the claim specification."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

#: The fast ballot, at which replicas vote without a prior promise.
FAST: Final = 0

#: Placeholders for the absence of a claim and of a ballot.
NO_CLAIM: Final = ''
NO_BALLOT: Final = -1

Group = tuple[int, ...]


class VoterState(NamedTuple):
    """The state of one replica about the job.

    Args:
        promised: Highest ballot that the replica has promised.
        ballot: Ballot at which it accepted a claim, or `NO_BALLOT`.
        claim: The accepted claim, or `NO_CLAIM`.
        ambiguous: Whether it lost its fast vote and can't determine which
            claim that vote was for.
    """

    promised: int = FAST
    ballot: int = NO_BALLOT
    claim: str = NO_CLAIM
    ambiguous: bool = False


class Handover(NamedTuple):
    """State that a replica transfers to a restarted one.

    Args:
        voter_state: State of the sender about the job.
        fences: Latest incarnation of each replica known to the sender.
    """

    voter_state: VoterState
    fences: tuple[int, ...]


class Replica(NamedTuple):
    """A replica, with its knowledge of the restarts of all replicas.

    Args:
        voter_state: Its state about the job.
        fences: Latest incarnation of each replica known to this one.
        ready: Whether it may vote and promise.
        handovers: The handover received from each replica since the restart,
            None where none arrived; empty once the replica is ready.
    """

    voter_state: VoterState
    fences: tuple[int, ...]
    ready: bool
    handovers: tuple[Handover | None, ...]


class Vote(NamedTuple):
    """A vote or a promise of a replica, as kept in the history.

    Args:
        ballot: Ballot of the vote or promise.
        replica: Index of the replica.
        fences: Incarnations known to the replica when it replied.
        voter_state: For a vote, the state after accepting; for a promise,
            the state before promising.
    """

    ballot: int
    replica: int
    fences: tuple[int, ...]
    voter_state: VoterState


class State(NamedTuple):
    """The replicas, the history, and the classic proposal per claimant."""

    replicas: tuple[Replica, ...]
    votes: frozenset[Vote] = frozenset()
    promises: frozenset[Vote] = frozenset()
    proposals: tuple[str, ...] = ()
    restarts: int = 0


@dataclass(frozen=True, slots=True)
class Claimant:
    """A claimant of the job.

    It asks for its own claim at the fast ballot and, if it has a classic
    ballot, may propose a safe claim there.

    Args:
        name: Its name, which is also its claim.
        groups: Groups of replicas; a majority of each makes a quorum.
        ballot: Its classic ballot, or `FAST` for none.
    """

    name: str
    groups: tuple[Group, ...]
    ballot: int = FAST


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; each broken variant disables one of them.

    Args:
        waits_to_vote: A restarted replica votes only after it has caught
            up.
        asks_all: It catches up from all its peers rather than from one.
        from_ready: Only replicas that may vote hand over their state.
        voids_votes: Votes are void if another vote of the set carries
            knowledge of a later restart of their replica.
        keeps_fences: A handover carries the incarnations known to the
            sender.
        admits_doubt: A lost vote that may have been for either of two claims
            is counted for neither.
        counts_unseen: A claimant takes into account the votes that it hasn't
            received.
    """

    waits_to_vote: bool = True
    asks_all: bool = True
    from_ready: bool = True
    voids_votes: bool = True
    keeps_fences: bool = True
    admits_doubt: bool = True
    counts_unseen: bool = True


def voters(claimant: Claimant) -> list[int]:
    """Return the sorted indices of the replicas that a claimant asks."""
    return sorted(
        {replica_id for group in claimant.groups for replica_id in group}
    )


def is_majority(replica_ids: set[int], group: Group) -> bool:
    """Return whether the replicas include a majority of the group."""
    return 2 * len(replica_ids.intersection(group)) > len(group)


def is_quorum(replica_ids: set[int], groups: Sequence[Group]) -> bool:
    """Return whether the replicas include a majority of each group."""
    return all(is_majority(replica_ids, group) for group in groups)


def may_be_final(replica_ids: set[int], groups: Sequence[Group]) -> bool:
    """Return whether the votes of these replicas may make a claim final.

    A majority of one group suffices, since another claimant may use only
    that group.
    """
    return any(is_majority(replica_ids, group) for group in groups)


def with_item(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    """Return a copy of the tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def with_replica(state: State, replica_id: int, replica: Replica) -> State:
    """Return a copy of the state with one replica replaced."""
    return state._replace(
        replicas=with_item(state.replicas, replica_id, replica)
    )


def with_vote(
    state: State, replica_id: int, voter_state: VoterState, ballot: int
) -> State:
    """Return the state after a replica accepts a claim and votes for it."""
    replica = state.replicas[replica_id]
    vote = Vote(ballot, replica_id, replica.fences, voter_state)
    return with_replica(
        state, replica_id, replica._replace(voter_state=voter_state)
    )._replace(
        votes=state.votes | {vote},
    )


def with_promise(state: State, replica_id: int, ballot: int) -> State:
    """Return the state after a replica promises a ballot."""
    replica = state.replicas[replica_id]
    promise = Vote(ballot, replica_id, replica.fences, replica.voter_state)
    voter_state = replica.voter_state._replace(promised=ballot)
    return with_replica(
        state, replica_id, replica._replace(voter_state=voter_state)
    )._replace(
        promises=state.promises | {promise},
    )
