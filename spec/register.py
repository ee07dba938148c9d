"""Specification of the quorum register, for an explicit-state checker.

Three replicas hold a value that grows: each ballot that proposes reads the
newest value of a majority and appends its own number.  So a value lists the
changes that led to it, and of two chosen values one must begin with the
other.  Messages may be lost, delayed, reordered and duplicated; replicas
crash, and lose their disks.

Run `python -m spec.register` to check the sound protocol and to see the
counterexamples of the broken ones.
"""

import enum
import itertools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, NamedTuple

import minicheck

_REPLICAS = (0, 1, 2)
_MAJORITY = 2
#: How many others a replica hears before it votes again.
_RECOVERY_QUORUM = 2

#: What is checked of each state.
PROPERTY = 'of two chosen values one begins with the other'

Value = tuple[int, ...]


class Flaw(enum.Enum):
    """What is left out of the protocol to see that the check can fail."""

    none = 'none'
    unsynced = 'replies go out before the state is synced'
    amnesiac = 'a replica that lost its disk votes at once'
    one_source = 'a replica recovers from one other'
    no_barrier = 'a replica recovers by reading, without a ballot'
    no_fences = 'promises count though their replica lost its disk'


class Replica(NamedTuple):
    """What a replica holds; ballots are numbers, 0 is below all."""

    promised: int = 0
    accepted: int = 0
    value: Value = ()
    life: int = 0
    voting: bool = True
    fences: tuple[int, ...] = (0, 0, 0)


class Promise(NamedTuple):
    """What a proposer got from a replica."""

    accepted: int
    value: Value
    life: int
    fences: tuple[int, ...]


class Ballot(NamedTuple):
    """One attempt: a proposal, or the recovery of a replica.

    Until the decision `promises` holds what was delivered; a promise that
    is lost, or comes when it no longer counts, only changes its replica.
    """

    promises: tuple[Promise | None, ...] = (None, None, None)
    recovering: int | None = None
    recovered: bool = False
    value: Value = ()
    acks: tuple[int, ...] = ()


class State(NamedTuple):
    """All of it."""

    replicas: tuple[Replica, ...]
    disks: tuple[Replica, ...]
    ballots: tuple[Ballot | None, ...]
    losses: int
    crashes: int


Step = tuple[str, State]


@dataclass(frozen=True)
class Bounds:
    """How far the check goes.

    Args:
        ballots: Ballots, proposals and recoveries together.
        losses: How often a disk is lost; the first time it is replica 0's,
            as the replicas are alike.
        crashes: How often a replica restarts from its disk.
        recoveries: The ballots that may recover a replica and not propose;
            None for all, each of which may do either.
    """

    ballots: int
    losses: int
    crashes: int = 0
    recoveries: tuple[int, ...] | None = None


#: What is checked of the sound protocol.
SOUND_BOUNDS = (
    Bounds(ballots=2, losses=2, crashes=1),
    Bounds(ballots=3, losses=1),
    Bounds(ballots=3, losses=2),
    Bounds(ballots=4, losses=1),
)

#: Within what each flaw shows.
FLAW_BOUNDS: Mapping[Flaw, Bounds] = MappingProxyType(
    {
        Flaw.unsynced: Bounds(ballots=2, losses=0, crashes=1),
        Flaw.amnesiac: Bounds(ballots=2, losses=1),
        Flaw.one_source: Bounds(ballots=3, losses=1, recoveries=(2,)),
        Flaw.no_barrier: Bounds(ballots=3, losses=1, recoveries=(2,)),
        Flaw.no_fences: Bounds(ballots=3, losses=1, recoveries=(1,)),
    }
)


class Register:
    """The transitions of the register."""

    def __init__(self, bounds: Bounds, flaw: Flaw = Flaw.none) -> None:
        """Take the bounds, and what is left out."""
        self._flaw = flaw
        self._bounds = bounds
        self._is_refuted = False

    def protocol(self) -> minicheck.Protocol:
        """Give it in the form that the checker takes."""
        start = (Replica(),) * len(_REPLICAS)
        unused = (None,) * self._bounds.ballots
        initial = State(start, start, unused, 0, 0)
        return minicheck.Protocol(
            name=self._flaw.value,
            candidate=False,
            fields=State._fields,
            initial=initial,
            transitions=self.steps,
            invariants={PROPERTY: self.holds},
        )

    def holds(self, fields: dict[str, Any]) -> bool:
        """Tell whether a state is sound; the search ends where not."""
        self._is_refuted = self._is_refuted or not one_history(fields)
        return not self._is_refuted

    def steps(self, state: State) -> list[Step]:
        """Give all that may happen next."""
        if self._is_refuted:
            return []
        return list(
            itertools.chain(
                self._prepare(state),
                self._accept(state),
                self._lose(state),
                self._sync_and_crash(state),
            )
        )

    def _prepare(self, state: State) -> Iterator[Step]:
        lost = [
            replica
            for replica in _REPLICAS
            if not state.replicas[replica].voting
        ]
        for index, ballot in enumerate(state.ballots):
            # An unused ballot may become a proposal or a recovery.
            choices = [ballot] if ballot else self._fresh(index + 1, lost)
            for choice, replica in itertools.product(choices, _REPLICAS):
                if not choice.value and not choice.recovered:
                    yield from self._prepare_at(state, index, choice, replica)

    def _fresh(self, number: int, lost: list[int]) -> list[Ballot]:
        recoveries = [Ballot(recovering=replica) for replica in lost]
        allowed = self._bounds.recoveries
        if allowed is None:
            return [Ballot(), *recoveries]
        return recoveries if number in allowed else [Ballot()]

    def _prepare_at(
        self,
        state: State,
        index: int,
        ballot: Ballot,
        replica: int,
    ) -> Iterator[Step]:
        number = index + 1
        held = state.replicas[replica]
        delivered = ballot.promises[replica] is not None
        if delivered or not held.voting or number < held.promised:
            return
        promised = self._promise(held, number, ballot)
        after = self._with_replica(state, replica, promised)
        promise = Promise(held.accepted, held.value, held.life, promised.fences)
        after = self._deliver(after, index, ballot, replica, promise)
        yield f'replica {replica} promises {number}', after

    def _promise(self, held: Replica, number: int, ballot: Ballot) -> Replica:
        if ballot.recovering is None:
            return held._replace(promised=number)
        if self._flaw is Flaw.no_barrier:
            return held
        fences = list(held.fences)
        fences[ballot.recovering] = number
        return held._replace(promised=number, fences=tuple(fences))

    def _deliver(
        self,
        state: State,
        index: int,
        ballot: Ballot,
        replica: int,
        promise: Promise,
    ) -> State:
        promises = list(ballot.promises)
        promises[replica] = promise
        if self._flaw is not Flaw.no_fences:
            promises = _unfenced(promises)
        ballot = ballot._replace(promises=tuple(promises))
        there = [each for each in promises if each is not None]
        if ballot.recovering is not None:
            return self._recover(state, index, ballot, there)
        if len(there) >= _MAJORITY:
            ballot = Ballot(value=(*max(there).value, index + 1))
        return _with_ballot(state, index, ballot)

    def _recover(
        self,
        state: State,
        index: int,
        ballot: Ballot,
        there: list[Promise],
    ) -> State:
        replica = ballot.recovering
        needed = 1 if self._flaw is Flaw.one_source else _RECOVERY_QUORUM
        if len(there) < needed or replica is None:
            return _with_ballot(state, index, ballot)
        fences = zip(*(each.fences for each in there), strict=True)
        recovered = Replica(
            promised=index + 1,
            accepted=max(there).accepted,
            value=max(there).value,
            life=index + 1,
            fences=tuple(map(max, fences)),
        )
        after = _with_ballot(state, index, ballot)
        after = _with(after, replica, recovered, recovered)
        ended = _without_recovery(after.ballots, replica)
        return after._replace(ballots=ended)

    def _accept(self, state: State) -> Iterator[Step]:
        for index, ballot in enumerate(state.ballots):
            if ballot is None or not ballot.value:
                continue
            for replica in _REPLICAS:
                yield from self._accept_at(state, index, ballot, replica)

    def _accept_at(
        self,
        state: State,
        index: int,
        ballot: Ballot,
        replica: int,
    ) -> Iterator[Step]:
        """Accept; one that hasn't promised yet does so just before."""
        number = index + 1
        held = state.replicas[replica]
        if not held.voting or number < held.promised:
            return
        accepted = held._replace(
            promised=number,
            accepted=number,
            value=ballot.value,
        )
        after = self._with_replica(state, replica, accepted)
        acks = tuple(sorted({*ballot.acks, replica}))
        after = _with_ballot(after, index, ballot._replace(acks=acks))
        if after != state:
            yield f'replica {replica} accepts {number}', after

    def _lose(self, state: State) -> Iterator[Step]:
        if state.losses >= self._bounds.losses:
            return
        candidates = _REPLICAS if state.losses else _REPLICAS[:1]
        for replica in candidates:
            if not state.replicas[replica].voting:
                continue
            blank = Replica(voting=self._flaw is Flaw.amnesiac)
            after = _with(state, replica, blank, blank)
            after = after._replace(
                losses=state.losses + 1,
                ballots=_without_recovery(state.ballots, replica),
            )
            yield f'replica {replica} loses its disk', after

    def _sync_and_crash(self, state: State) -> Iterator[Step]:
        for replica in _REPLICAS:
            held, disk = state.replicas[replica], state.disks[replica]
            if held == disk:
                # A restart changes nothing, as replies wait for the sync.
                continue
            yield f'replica {replica} syncs', _with(state, replica, held, held)
            if state.crashes < self._bounds.crashes:
                after = _with(state, replica, disk, disk)
                after = after._replace(crashes=state.crashes + 1)
                yield f'replica {replica} restarts', after

    def _with_replica(
        self, state: State, index: int, replica: Replica
    ) -> State:
        """Change a replica; it replies only then, so the sync comes first."""
        disk = replica
        if self._flaw is Flaw.unsynced:
            disk = state.disks[index]
        return _with(state, index, replica, disk)


def one_history(fields: dict[str, Any]) -> bool:
    """Tell whether of any two chosen values one begins with the other."""
    chosen = [
        ballot.value
        for ballot in fields['ballots']
        if ballot is not None and len(ballot.acks) >= _MAJORITY
    ]
    return all(
        one[: len(other)] == other or other[: len(one)] == one
        for one, other in itertools.combinations(chosen, 2)
    )


@dataclass(frozen=True)
class Verdict:
    """What a check found.

    Args:
        holds: Whether the property holds; None if not all was searched.
        states: How many states were searched.
        trace: The shortest way to a state in which it doesn't hold.
    """

    holds: bool | None
    states: int
    trace: tuple[str, ...]


def check(
    bounds: Bounds,
    flaw: Flaw = Flaw.none,
    *,
    max_states: int = 1_000_000,
) -> Verdict:
    """Check one variant, exhaustively within the bounds."""
    protocol = Register(bounds, flaw).protocol()
    found = minicheck.check_safety(protocol, max_states=max_states)
    verdict = found['properties'][PROPERTY]
    trace = verdict['counterexample'] or []
    return Verdict(
        holds=verdict['holds'],
        states=found['reachable_states'],
        trace=tuple(step['label'] or 'start' for step in trace),
    )


def _with(state: State, index: int, replica: Replica, disk: Replica) -> State:
    replicas = list(state.replicas)
    disks = list(state.disks)
    replicas[index] = replica
    disks[index] = disk
    return state._replace(replicas=tuple(replicas), disks=tuple(disks))


def _with_ballot(state: State, index: int, ballot: Ballot) -> State:
    ballots = list(state.ballots)
    ballots[index] = ballot
    return state._replace(ballots=tuple(ballots))


def _without_recovery(
    ballots: tuple[Ballot | None, ...],
    replica: int,
) -> tuple[Ballot | None, ...]:
    """End the recoveries of a replica that stopped; it takes new ballots."""
    ended = Ballot(recovering=replica, recovered=True)
    return tuple(
        ended if ballot and ballot.recovering == replica else ballot
        for ballot in ballots
    )


def _unfenced(promises: list[Promise | None]) -> list[Promise | None]:
    """Drop promises of a life that has ended, as another one tells."""
    there = [each for each in promises if each is not None]
    return [
        promise
        if promise is not None
        and all(each.fences[replica] <= promise.life for each in there)
        else None
        for replica, promise in enumerate(promises)
    ]


def main() -> None:
    """Check the sound protocol, and print how the broken ones fail."""
    for bounds in SOUND_BOUNDS:
        verdict = check(bounds)
        print(bounds, verdict.holds, verdict.states)
    for flaw, bounds in FLAW_BOUNDS.items():
        verdict = check(bounds, flaw)
        print(flaw.value, verdict.holds, verdict.states)
        print(' ', '; '.join(verdict.trace))


if __name__ == '__main__':
    main()
