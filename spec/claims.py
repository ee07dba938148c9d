"""Model-checked specification of the claim protocol for one job.

Requests are never consumed, so each may be delayed, duplicated or lost.
Votes and promises are kept in a history, of which a claimant may have
received any subset.  A claim is final as soon as the history contains a
quorum of compatible votes for it.  The safety invariant is that at most one
claim ever becomes final.

A restarted replica has lost its whole state.  It votes again once every
other replica of its groups has transferred its state to it.
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
    Replica,
    Rules,
    State,
    VoterState,
    voters,
    with_item,
    with_promise,
    with_replica,
    with_vote,
)
from spec.claims_votes import final_claims, safe_claims

Step = tuple[str, State]

#: Name of the safety invariant in the result of the model checker.
INVARIANT: Final = 'one final claim'


@dataclass(frozen=True, slots=True)
class Specification:
    """The claim protocol with bounds that make its state space finite.

    Args:
        size: Number of replicas in all groups together.
        claimants: The claimants that compete for the job.
        restarts: Maximum number of restarts, summed over all replicas.
        rules: The rules of the protocol that are in force.
    """

    size: int
    claimants: tuple[Claimant, ...]
    restarts: int
    rules: Rules = Rules()

    def check(self, max_states: int) -> dict[str, Any]:
        """Search the reachable states for one with two final claims.

        Args:
            max_states: Number of states after which the search stops.

        Returns:
            The result of the model checker.
        """
        result: dict[str, Any] = check_safety(
            self.protocol(),
            max_states=max_states,
        )
        return result

    def protocol(self) -> Protocol:
        """Return the transition system in the form that minicheck takes."""
        return Protocol(
            name='claims',
            candidate=False,
            fields=State._fields,
            initial=self.initial(),
            transitions=lambda state: list(self.steps(State(*state))),
            invariants={INVARIANT: self.has_one_final_claim},
        )

    def initial(self) -> State:
        """Return the initial state: no claims, and all replicas may vote."""
        no_restarts = (0,) * self.size
        replica = Replica(VoterState(), no_restarts, ready=True, handovers=())
        return State(
            replicas=(replica,) * self.size,
            proposals=(NO_CLAIM,) * len(self.claimants),
        )

    def has_one_final_claim(self, fields: dict[str, Any]) -> bool:
        """Return whether at most one claim is final to any claimant."""
        final = final_claims(fields['votes'], self.claimants, self.rules)
        return len(final) <= 1

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the label and successor state of each enabled transition."""
        for index, claimant in enumerate(self.claimants):
            yield from self._accept_fast(state, claimant)
            if claimant.ballot:
                yield from self._prepare(state, index)
                yield from self._propose(state, index)
                yield from self._accept_classic(state, index)
        for replica_id in range(self.size):
            yield from self._restart(state, replica_id)
            yield from self._transfer_state(state, replica_id)

    def _accept_fast(
        self,
        state: State,
        claimant: Claimant,
    ) -> Iterator[Step]:
        for replica_id in voters(claimant):
            replica = state.replicas[replica_id]
            voter_state = replica.voter_state
            can_accept = not voter_state.ambiguous and voter_state.claim in {
                NO_CLAIM,
                claimant.name,
            }
            if replica.ready and voter_state.promised == FAST and can_accept:
                accepted = VoterState(FAST, FAST, claimant.name)
                label = f'{replica_id} accepts {claimant.name}'
                yield label, with_vote(state, replica_id, accepted, FAST)

    def _prepare(self, state: State, index: int) -> Iterator[Step]:
        claimant = self.claimants[index]
        for replica_id in voters(claimant):
            replica = state.replicas[replica_id]
            if replica.ready and replica.voter_state.promised < claimant.ballot:
                after = with_promise(state, replica_id, claimant.ballot)
                if state.proposals[index]:
                    after = after._replace(promises=state.promises)
                yield f'{replica_id} promises {claimant.ballot}', after

    def _propose(self, state: State, index: int) -> Iterator[Step]:
        """Propose a claim at a classic ballot.

        The promises of the ballot are removed from the history, as they
        aren't read after the proposal.
        """
        claimant = self.claimants[index]
        if state.proposals[index]:
            return
        remaining = frozenset(
            one for one in state.promises if one.ballot != claimant.ballot
        )
        for claim in safe_claims(state.promises, claimant, self.rules):
            proposals = with_item(state.proposals, index, claim)
            yield (
                f'{claimant.name} proposes {claim}',
                state._replace(proposals=proposals, promises=remaining),
            )

    def _accept_classic(self, state: State, index: int) -> Iterator[Step]:
        claimant = self.claimants[index]
        claim = state.proposals[index]
        if not claim:
            return
        for replica_id in voters(claimant):
            replica = state.replicas[replica_id]
            if (
                replica.ready
                and replica.voter_state.promised <= claimant.ballot
            ):
                accepted = VoterState(claimant.ballot, claimant.ballot, claim)
                label = f'{replica_id} accepts {claim} at {claimant.ballot}'
                yield (
                    label,
                    with_vote(state, replica_id, accepted, claimant.ballot),
                )

    def _restart(self, state: State, replica_id: int) -> Iterator[Step]:
        if state.restarts < self.restarts and self._may_restart(
            state, replica_id
        ):
            incarnation = state.replicas[replica_id].fences[replica_id] + 1
            fences = with_item((0,) * self.size, replica_id, incarnation)
            replica = Replica(
                voter_state=VoterState(),
                fences=fences,
                ready=not self.rules.waits_to_vote,
                handovers=(None,) * self.size,
            )
            yield (
                f'{replica_id} restarts',
                with_replica(state, replica_id, replica)._replace(
                    restarts=state.restarts + 1,
                ),
            )

    def _may_restart(self, state: State, replica_id: int) -> bool:
        """Return whether a replica may restart under symmetry reduction.

        If all claimants have the same groups, the replicas are
        interchangeable, so only runs are explored in which their first
        restarts occur in index order.
        """
        if len({claimant.groups for claimant in self.claimants}) > 1:
            return True
        before = state.replicas[:replica_id]
        return all(
            replica.fences[index] for index, replica in enumerate(before)
        )

    def _transfer_state(self, state: State, replica_id: int) -> Iterator[Step]:
        replica = state.replicas[replica_id]
        if replica.ready:
            return
        for other in self._peers(replica_id):
            source = state.replicas[other]
            can_hand_over = source.ready or not self.rules.from_ready
            if can_hand_over and replica.handovers[other] is None:
                fences = with_item(
                    source.fences, replica_id, replica.fences[replica_id]
                )
                handover = Handover(source.voter_state, fences)
                handovers = with_item(replica.handovers, other, handover)
                after = with_replica(
                    state, other, source._replace(fences=fences)
                )
                caught_up = self._catch_up(replica_id, replica, handovers)
                yield (
                    f'{other} hands over to {replica_id}',
                    with_replica(after, replica_id, caught_up),
                )

    def _catch_up(
        self,
        replica_id: int,
        replica: Replica,
        slots: tuple[Handover | None, ...],
    ) -> Replica:
        """Make a restarted replica ready once it has enough handovers.

        The replica takes no other step before it is ready, so a delay
        between the last handover and its readiness would add no behaviour.
        """
        received = [one for one in slots if one is not None]
        required = len(self._peers(replica_id)) if self.rules.asks_all else 1
        if len(received) < required:
            return replica._replace(handovers=slots)
        voter_state = VoterState()
        fences = replica.fences
        for handover in received:
            voter_state = self._merge(voter_state, handover.voter_state)
            if self.rules.keeps_fences:
                fences = tuple(map(max, fences, handover.fences))
        return Replica(voter_state, fences, ready=True, handovers=())

    def _merge(self, mine: VoterState, other: VoterState) -> VoterState:
        higher = other if other.ballot > mine.ballot else mine
        ambiguous = mine.ambiguous or other.ambiguous
        if mine.ballot == other.ballot == FAST and mine.claim != other.claim:
            ambiguous = self.rules.admits_doubt
        ambiguous = ambiguous and higher.ballot <= FAST
        promised = max(mine.promised, other.promised)
        if ambiguous:
            return VoterState(promised, ambiguous=True)
        return VoterState(promised, higher.ballot, higher.claim)

    def _peers(self, replica_id: int) -> list[int]:
        groups = {
            group
            for claimant in self.claimants
            for group in claimant.groups
            if replica_id in group
        }
        peers = {other for group in groups for other in group}
        return sorted(peers - {replica_id})
