"""Compatibility of votes, and the claims that are safe to propose."""

from collections.abc import Iterator, Sequence
from functools import lru_cache
from itertools import combinations

from spec.claims_state import (
    FAST,
    NO_CLAIM,
    Claimant,
    Group,
    Rules,
    Vote,
    is_quorum,
    may_be_final,
    voters,
)

#: Maximum number of cached results; many states share one history.
_CACHE_SIZE = 100_000


@lru_cache(_CACHE_SIZE)
def final_claims(
    votes: frozenset[Vote],
    claimants: tuple[Claimant, ...],
    rules: Rules,
) -> frozenset[str]:
    """Return the claims that are final to at least one claimant."""
    final = set()
    proposals = {(vote.ballot, vote.voter_state.claim) for vote in votes}
    for ballot, claim in proposals:
        matching = [
            vote
            for vote in votes
            if (vote.ballot, vote.voter_state.claim) == (ballot, claim)
        ]
        if any(_has_quorum(matching, one.groups, rules) for one in claimants):
            final.add(claim)
    return frozenset(final)


@lru_cache(_CACHE_SIZE)
def safe_claims(
    promises: frozenset[Vote],
    claimant: Claimant,
    rules: Rules,
) -> tuple[str, ...]:
    """Return the claims that a claimant may propose at its ballot.

    Any quorum of the promises may be the one that the claimant received, so
    the result covers each of them.
    """
    seen = [one for one in promises if one.ballot == claimant.ballot]
    safe = {
        _safe_claim(quorum, claimant, rules)
        for quorum in _quorums(seen, claimant.groups, rules)
    }
    return tuple(sorted(safe - {NO_CLAIM}))


def _quorums(
    votes: Sequence[Vote],
    groups: Sequence[Group],
    rules: Rules,
) -> Iterator[tuple[Vote, ...]]:
    """Yield the sets of compatible votes that form a quorum."""
    for count in range(1, _voter_count(groups) + 1):
        for chosen in combinations(votes, count):
            replica_ids = {vote.replica for vote in chosen}
            distinct = len(replica_ids) == count
            if distinct and is_quorum(replica_ids, groups):
                if _are_compatible(chosen, rules):
                    yield chosen


def _are_compatible(votes: Sequence[Vote], rules: Rules) -> bool:
    """Return whether no vote is fenced off by a later known restart."""
    return not rules.voids_votes or all(
        other.fences[vote.replica] <= vote.fences[vote.replica]
        for vote in votes
        for other in votes
    )


def _has_quorum(
    votes: Sequence[Vote],
    groups: Sequence[Group],
    rules: Rules,
) -> bool:
    """Return whether the votes contain a quorum of compatible votes."""
    return next(_quorums(votes, groups, rules), None) is not None


def _safe_claim(
    promises: Sequence[Vote],
    claimant: Claimant,
    rules: Rules,
) -> str:
    """Return the claim that is safe to propose after these promises.

    Returns:
        The claim, or `NO_CLAIM` while the votes that are not received leave
        open which claim may be final.
    """
    highest_ballot = max(promise.voter_state.ballot for promise in promises)
    accepted_by = {
        claim: {
            one.replica for one in promises if one.voter_state.claim == claim
        }
        for claim in sorted({one.voter_state.claim for one in promises})
        if claim
    }
    if highest_ballot > FAST:
        return next(
            one.voter_state.claim
            for one in promises
            if one.voter_state.ballot == highest_ballot
        )
    known = {one.replica for one in promises if not one.voter_state.ambiguous}
    unseen = set(voters(claimant)) - known
    if not rules.counts_unseen:
        unseen = set()
    if may_be_final(unseen, claimant.groups):
        return NO_CLAIM
    possible = [
        claim
        for claim, replica_ids in accepted_by.items()
        if may_be_final(unseen | replica_ids, claimant.groups)
    ]
    if len(possible) > 1:
        return NO_CLAIM
    return possible[0] if possible else claimant.name


def _voter_count(groups: Sequence[Group]) -> int:
    return len({replica_id for group in groups for replica_id in group})
