"""Which votes count together, and what they allow to propose."""

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

#: Histories whose verdict is remembered; many states share one.
_REMEMBERED = 100_000


@lru_cache(_REMEMBERED)
def final_claims(
    votes: frozenset[Vote],
    claimants: tuple[Claimant, ...],
    rules: Rules,
) -> frozenset[str]:
    """Give the claims that are final to any of the claimants."""
    final = set()
    proposals = {(vote.ballot, vote.held.claim) for vote in votes}
    for ballot, claim in proposals:
        same = [
            vote
            for vote in votes
            if (vote.ballot, vote.held.claim) == (ballot, claim)
        ]
        if any(_has_quorum(same, one.groups, rules) for one in claimants):
            final.add(claim)
    return frozenset(final)


@lru_cache(_REMEMBERED)
def safe_claims(
    promises: frozenset[Vote],
    claimant: Claimant,
    rules: Rules,
) -> tuple[str, ...]:
    """Give what a claimant may propose, whichever promises arrived."""
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
    """Give the sets of votes that make a majority and count together."""
    for count in range(1, _most(groups) + 1):
        for chosen in combinations(votes, count):
            places = {vote.replica for vote in chosen}
            distinct = len(places) == count
            if distinct and is_quorum(places, groups):
                if _count_together(chosen, rules):
                    yield chosen


def _count_together(votes: Sequence[Vote], rules: Rules) -> bool:
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
    """Tell whether there is such a set."""
    return next(_quorums(votes, groups, rules), None) is not None


def _safe_claim(
    promises: Sequence[Vote],
    claimant: Claimant,
    rules: Rules,
) -> str:
    """Give what may be proposed, or nothing if that isn't clear yet."""
    top = max(promise.held.ballot for promise in promises)
    backers = {
        claim: {one.replica for one in promises if one.held.claim == claim}
        for claim in sorted({one.held.claim for one in promises})
        if claim
    }
    if top > FAST:
        return next(
            one.held.claim for one in promises if one.held.ballot == top
        )
    known = {one.replica for one in promises if not one.held.murky}
    unseen = set(voters(claimant)) - known
    if not rules.counts_unseen:
        unseen = set()
    if may_be_final(unseen, claimant.groups):
        return NO_CLAIM
    possible = [
        claim
        for claim, places in backers.items()
        if may_be_final(unseen | places, claimant.groups)
    ]
    if len(possible) > 1:
        return NO_CLAIM
    return possible[0] if possible else claimant.name


def _most(groups: Sequence[Group]) -> int:
    return len({place for group in groups for place in group})
