"""The states of the specification of claims, and its bounds."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

#: The ballot that needs no promises.
FAST: Final = 0

#: Stands for no claim and for no ballot.
NO_CLAIM: Final = ''
NO_BALLOT: Final = -1

Group = tuple[int, ...]


class Held(NamedTuple):
    """What a replica holds on the job."""

    promised: int = FAST
    ballot: int = NO_BALLOT
    claim: str = NO_CLAIM
    murky: bool = False


class Handover(NamedTuple):
    """What a replica handed over, and the incarnations that it knew."""

    held: Held
    fences: tuple[int, ...]


class Replica(NamedTuple):
    """A replica; `fences` holds the incarnations that it knows of all."""

    held: Held
    fences: tuple[int, ...]
    ready: bool
    handed: tuple[Handover | None, ...]


class Vote(NamedTuple):
    """A vote or, with what was held before it, a promise."""

    ballot: int
    replica: int
    fences: tuple[int, ...]
    held: Held


class State(NamedTuple):
    """The replicas, the history, and what was proposed at each ballot."""

    replicas: tuple[Replica, ...]
    votes: frozenset[Vote] = frozenset()
    promises: frozenset[Vote] = frozenset()
    proposals: tuple[str, ...] = ()
    restarts: int = 0


@dataclass(frozen=True, slots=True)
class Claimant:
    """A claimant: its name, its groups, and its later ballot or `FAST`."""

    name: str
    groups: tuple[Group, ...]
    ballot: int = FAST


@dataclass(frozen=True, slots=True)
class Rules:
    """What the protocol does; a broken variant leaves one of them out.

    Args:
        waits_to_vote: A restarted replica votes only after catching up.
        asks_all: It catches up with all others, not just with one.
        from_ready: Only replicas fit to vote hand over.
        voids_votes: Votes from before a known restart don't count.
        keeps_fences: A handover names the restarts that the sender knows.
        admits_doubt: A vote that may have been for either of two claims is
            taken for neither.
        counts_unseen: A claimant reckons with the votes that it hasn't seen.
    """

    waits_to_vote: bool = True
    asks_all: bool = True
    from_ready: bool = True
    voids_votes: bool = True
    keeps_fences: bool = True
    admits_doubt: bool = True
    counts_unseen: bool = True


def voters(claimant: Claimant) -> list[int]:
    """Give all replicas that a claimant asks."""
    return sorted({place for group in claimant.groups for place in group})


def is_majority(places: set[int], group: Group) -> bool:
    """Tell whether more than half of a group is among these."""
    return 2 * len(places.intersection(group)) > len(group)


def is_quorum(places: set[int], groups: Sequence[Group]) -> bool:
    """Tell whether a majority of each group is among these."""
    return all(is_majority(places, group) for group in groups)


def may_be_final(places: set[int], groups: Sequence[Group]) -> bool:
    """Tell whether these suffice for a claimant of any of the groups."""
    return any(is_majority(places, group) for group in groups)


def with_item(items: tuple[Any, ...], place: int, item: Any) -> tuple[Any, ...]:
    """Replace one item."""
    return (*items[:place], item, *items[place + 1 :])


def with_replica(state: State, place: int, replica: Replica) -> State:
    """Replace one replica."""
    return state._replace(replicas=with_item(state.replicas, place, replica))


def with_vote(state: State, place: int, held: Held, ballot: int) -> State:
    """Let a replica accept a claim and add its vote to the history."""
    replica = state.replicas[place]
    vote = Vote(ballot, place, replica.fences, held)
    return with_replica(state, place, replica._replace(held=held))._replace(
        votes=state.votes | {vote},
    )


def with_promise(state: State, place: int, ballot: int) -> State:
    """Let a replica promise a ballot and add that to the history."""
    replica = state.replicas[place]
    promise = Vote(ballot, place, replica.fences, replica.held)
    held = replica.held._replace(promised=ballot)
    return with_replica(state, place, replica._replace(held=held))._replace(
        promises=state.promises | {promise},
    )
