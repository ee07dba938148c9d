"""Specification of claims: one job, few replicas, model-checked.

Requests are never consumed, so each may be delivered late, again or never;
votes and promises stay in a history of which a claimant may have seen any
part.  A claim is final as soon as the history holds a majority of votes that
count together.  The invariant is that no two claims are ever final.

A replica that restarts forgets everything.  It votes again once every other
replica of its groups has handed over what it holds.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from minicheck import Protocol, check_safety

from spec.claims_state import (
    FAST,
    NO_CLAIM,
    Claimant,
    Handover,
    Held,
    Replica,
    Rules,
    State,
    voters,
    with_item,
    with_promise,
    with_replica,
    with_vote,
)
from spec.claims_votes import final_claims, safe_claims

Step = tuple[str, State]

#: Name of the property that is checked.
INVARIANT: Final = 'one final claim'


@dataclass(frozen=True, slots=True)
class Specification:
    """The protocol within bounds.

    Args:
        size: Replicas of all groups.
        claimants: Who claims the job.
        restarts: Most restarts of replicas, of all together.
        rules: What the protocol does.
    """

    size: int
    claimants: tuple[Claimant, ...]
    restarts: int
    rules: Rules = Rules()

    def check(self, max_states: int) -> dict[str, Any]:
        """Search all states for two final claims."""
        result: dict[str, Any] = check_safety(
            self.protocol(),
            max_states=max_states,
        )
        return result

    def protocol(self) -> Protocol:
        """Give the state machine in the form that the checker takes."""
        return Protocol(
            name='claims',
            candidate=False,
            fields=State._fields,
            initial=self.initial(),
            transitions=lambda state: list(self.steps(State(*state))),
            invariants={INVARIANT: self.has_one_final_claim},
        )

    def initial(self) -> State:
        """Give the state before any claim: all replicas are fit to vote."""
        nothing = (0,) * self.size
        replica = Replica(Held(), nothing, ready=True, handed=())
        return State(
            replicas=(replica,) * self.size,
            proposals=(NO_CLAIM,) * len(self.claimants),
        )

    def has_one_final_claim(self, fields: dict[str, Any]) -> bool:
        """Tell whether at most one claim is final, for any claimant."""
        final = final_claims(fields['votes'], self.claimants, self.rules)
        return len(final) <= 1

    def steps(self, state: State) -> Iterator[Step]:
        """Give all that may happen next."""
        for index, claimant in enumerate(self.claimants):
            yield from self._propose_first(state, claimant)
            if claimant.ballot:
                yield from self._prepare(state, index)
                yield from self._choose(state, index)
                yield from self._propose_later(state, index)
        for place in range(self.size):
            yield from self._restart(state, place)
            yield from self._pull(state, place)

    def _propose_first(
        self,
        state: State,
        claimant: Claimant,
    ) -> Iterator[Step]:
        for place in voters(claimant):
            replica = state.replicas[place]
            held = replica.held
            open_to = not held.murky and held.claim in {NO_CLAIM, claimant.name}
            if replica.ready and held.promised == FAST and open_to:
                accepted = Held(FAST, FAST, claimant.name)
                label = f'{place} accepts {claimant.name}'
                yield label, with_vote(state, place, accepted, FAST)

    def _prepare(self, state: State, index: int) -> Iterator[Step]:
        claimant = self.claimants[index]
        for place in voters(claimant):
            replica = state.replicas[place]
            if replica.ready and replica.held.promised < claimant.ballot:
                after = with_promise(state, place, claimant.ballot)
                if state.proposals[index]:
                    after = after._replace(promises=state.promises)
                yield f'{place} promises {claimant.ballot}', after

    def _choose(self, state: State, index: int) -> Iterator[Step]:
        """Propose at a later ballot; its promises serve no more."""
        claimant = self.claimants[index]
        if state.proposals[index]:
            return
        rest = frozenset(
            one for one in state.promises if one.ballot != claimant.ballot
        )
        for claim in safe_claims(state.promises, claimant, self.rules):
            proposals = with_item(state.proposals, index, claim)
            yield (
                f'{claimant.name} proposes {claim}',
                state._replace(proposals=proposals, promises=rest),
            )

    def _propose_later(self, state: State, index: int) -> Iterator[Step]:
        claimant = self.claimants[index]
        claim = state.proposals[index]
        if not claim:
            return
        for place in voters(claimant):
            replica = state.replicas[place]
            if replica.ready and replica.held.promised <= claimant.ballot:
                accepted = Held(claimant.ballot, claimant.ballot, claim)
                label = f'{place} accepts {claim} at {claimant.ballot}'
                yield label, with_vote(state, place, accepted, claimant.ballot)

    def _restart(self, state: State, place: int) -> Iterator[Step]:
        if state.restarts < self.restarts and self._is_next(state, place):
            incarnation = state.replicas[place].fences[place] + 1
            fences = with_item((0,) * self.size, place, incarnation)
            replica = Replica(
                held=Held(),
                fences=fences,
                ready=not self.rules.waits_to_vote,
                handed=(None,) * self.size,
            )
            yield (
                f'{place} restarts',
                with_replica(state, place, replica)._replace(
                    restarts=state.restarts + 1,
                ),
            )

    def _is_next(self, state: State, place: int) -> bool:
        """Let replicas that are alike restart for the first time in order."""
        if len({claimant.groups for claimant in self.claimants}) > 1:
            return True
        before = state.replicas[:place]
        return all(
            replica.fences[index] for index, replica in enumerate(before)
        )

    def _pull(self, state: State, place: int) -> Iterator[Step]:
        replica = state.replicas[place]
        if replica.ready:
            return
        for other in self._peers(place):
            source = state.replicas[other]
            fit = source.ready or not self.rules.from_ready
            if fit and replica.handed[other] is None:
                fences = with_item(source.fences, place, replica.fences[place])
                handover = Handover(source.held, fences)
                handed = with_item(replica.handed, other, handover)
                after = with_replica(
                    state, other, source._replace(fences=fences)
                )
                caught_up = self._catch_up(place, replica, handed)
                yield (
                    f'{other} hands over to {place}',
                    with_replica(after, place, caught_up),
                )

    def _catch_up(
        self,
        place: int,
        replica: Replica,
        slots: tuple[Handover | None, ...],
    ) -> Replica:
        """Let a replica vote again as soon as it may.

        Until then it takes no step, so to be slow adds no behaviour.
        """
        handed = [one for one in slots if one is not None]
        enough = len(self._peers(place)) if self.rules.asks_all else 1
        if len(handed) < enough:
            return replica._replace(handed=slots)
        held = Held()
        fences = replica.fences
        for handover in handed:
            held = self._merge(held, handover.held)
            if self.rules.keeps_fences:
                fences = tuple(map(max, fences, handover.fences))
        return Replica(held, fences, ready=True, handed=())

    def _merge(self, mine: Held, other: Held) -> Held:
        higher = other if other.ballot > mine.ballot else mine
        murky = mine.murky or other.murky
        if mine.ballot == other.ballot == FAST and mine.claim != other.claim:
            murky = self.rules.admits_doubt
        murky = murky and higher.ballot <= FAST
        promised = max(mine.promised, other.promised)
        if murky:
            return Held(promised, murky=True)
        return Held(promised, higher.ballot, higher.claim)

    def _peers(self, place: int) -> list[int]:
        groups = {
            group
            for claimant in self.claimants
            for group in claimant.groups
            if place in group
        }
        peers = {other for group in groups for other in group}
        return sorted(peers - {place})
