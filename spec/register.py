"""Specification of the quorum register for an explicit-state model checker.

Three replicas store an append-only value: each proposing ballot reads the
newest value of a majority and appends its own number.  A value thus lists
the changes that led to it, and of any two chosen values one must be a prefix
of the other.  Messages may be lost, delayed, reordered and duplicated;
replicas may crash and may lose their disks.

Run `python -m spec.register` to check the correct protocol and to print the
counterexamples of its broken variants.
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
#: Number of other replicas whose promises a replica that lost its disk needs
#: before it votes again.
_RECOVERY_QUORUM = 2

#: Name of the safety invariant that is checked in each state.
PROPERTY = 'of two chosen values one begins with the other'

Value = tuple[int, ...]


class Flaw(enum.Enum):
    """Defects of the broken variants, for which the check must fail.

    `none` selects the correct protocol.
    """

    none = 'none'
    unsynced = 'replies go out before the state is synced'
    amnesiac = 'a replica that lost its disk votes at once'
    one_source = 'a replica recovers from one other'
    no_barrier = 'a replica recovers by reading, without a ballot'
    no_fences = 'promises count though their replica lost its disk'


class Replica(NamedTuple):
    """State of a replica.

    Args:
        promised: Highest promised ballot number; 0 is below all ballots.
        accepted: Ballot at which `value` was accepted, 0 for none.
        value: The accepted value.
        incarnation: Ballot of its last recovery, 0 before the first one.
        voting: Whether it may promise and accept; False from the loss of its
            disk until its recovery.
        fences: Lowest incarnation of each replica whose promises count, as
            known to this replica.
    """

    promised: int = 0
    accepted: int = 0
    value: Value = ()
    incarnation: int = 0
    voting: bool = True
    fences: tuple[int, ...] = (0, 0, 0)


class Promise(NamedTuple):
    """Reply of a replica to the prepare request of a ballot."""

    accepted: int
    value: Value
    incarnation: int
    fences: tuple[int, ...]


class Ballot(NamedTuple):
    """A ballot, which either proposes a value or recovers a replica.

    A promise that is lost, or arrives too late to count, changes only the
    state of its replica.

    Args:
        promises: The promise delivered from each replica, until the ballot
            has enough of them.
        recovering: Index of the replica to recover; None for a proposal.
        recovered: Whether the recovery has ended.
        value: The proposed value; empty before the proposal.
        acks: Sorted indices of the replicas that accepted the value.
    """

    promises: tuple[Promise | None, ...] = (None, None, None)
    recovering: int | None = None
    recovered: bool = False
    value: Value = ()
    acks: tuple[int, ...] = ()


class State(NamedTuple):
    """State of the whole system.

    Args:
        replicas: State in memory of each replica.
        disks: State of each replica as synced to its disk.
        ballots: Ballots in order of their numbers; None where unused.
        losses: Number of disks lost so far.
        crashes: Number of crashes so far.
    """

    replicas: tuple[Replica, ...]
    disks: tuple[Replica, ...]
    ballots: tuple[Ballot | None, ...]
    losses: int
    crashes: int


Step = tuple[str, State]


@dataclass(frozen=True)
class Bounds:
    """Bounds that make the state space finite.

    Args:
        ballots: Number of ballots, proposals and recoveries together.
        losses: Maximum number of disk losses; the first one is that of
            replica 0, since the replicas are interchangeable.
        crashes: Maximum number of restarts from disk that lose unsynced
            state.
        recoveries: Numbers of the ballots that recover a replica, while all
            others propose; None lets each ballot do either.
    """

    ballots: int
    losses: int
    crashes: int = 0
    recoveries: tuple[int, ...] | None = None


#: Bounds within which the correct protocol is checked.
SOUND_BOUNDS = (
    Bounds(ballots=2, losses=2, crashes=1),
    Bounds(ballots=3, losses=1),
    Bounds(ballots=3, losses=2),
    Bounds(ballots=4, losses=1),
)

#: Bounds within which each flaw has a counterexample.
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
    """Transition system of the register, with at most one flaw."""

    def __init__(self, bounds: Bounds, flaw: Flaw = Flaw.none) -> None:
        """Initialize the transition system.

        Args:
            bounds: Bounds of the state space.
            flaw: The defect to put into the protocol.
        """
        self._flaw = flaw
        self._bounds = bounds
        self._is_refuted = False

    def protocol(self) -> minicheck.Protocol:
        """Return the transition system in the form that minicheck takes."""
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
        """Return whether the invariant holds in this and all earlier states.

        After the first violation no further states are explored.
        """
        self._is_refuted = self._is_refuted or not has_one_history(fields)
        return not self._is_refuted

    def steps(self, state: State) -> list[Step]:
        """Return the label and successor state of each enabled transition."""
        if self._is_refuted:
            return []
        return list(
            itertools.chain(
                self._prepare(state),
                self._accept(state),
                self._lose_disk(state),
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
            choices = [ballot] if ballot else self._new_ballots(index + 1, lost)
            for choice, replica in itertools.product(choices, _REPLICAS):
                if not choice.value and not choice.recovered:
                    yield from self._prepare_at(state, index, choice, replica)

    def _new_ballots(self, number: int, lost: list[int]) -> list[Ballot]:
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
        after = self._update_replica(state, replica, promised)
        promise = Promise(
            held.accepted, held.value, held.incarnation, promised.fences
        )
        after = self._deliver_promise(after, index, ballot, replica, promise)
        yield f'replica {replica} promises {number}', after

    def _promise(self, held: Replica, number: int, ballot: Ballot) -> Replica:
        if ballot.recovering is None:
            return held._replace(promised=number)
        if self._flaw is Flaw.no_barrier:
            return held
        fences = list(held.fences)
        fences[ballot.recovering] = number
        return held._replace(promised=number, fences=tuple(fences))

    def _deliver_promise(
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
            promises = _drop_fenced(promises)
        ballot = ballot._replace(promises=tuple(promises))
        received = [each for each in promises if each is not None]
        if ballot.recovering is not None:
            return self._recover(state, index, ballot, received)
        if len(received) >= _MAJORITY:
            ballot = Ballot(value=(*max(received).value, index + 1))
        return _with_ballot(state, index, ballot)

    def _recover(
        self,
        state: State,
        index: int,
        ballot: Ballot,
        received: list[Promise],
    ) -> State:
        replica = ballot.recovering
        needed = 1 if self._flaw is Flaw.one_source else _RECOVERY_QUORUM
        if len(received) < needed or replica is None:
            return _with_ballot(state, index, ballot)
        fences = zip(*(each.fences for each in received), strict=True)
        recovered = Replica(
            promised=index + 1,
            accepted=max(received).accepted,
            value=max(received).value,
            incarnation=index + 1,
            fences=tuple(map(max, fences)),
        )
        after = _with_ballot(state, index, ballot)
        after = _with_replica_and_disk(after, replica, recovered, recovered)
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
        """Accept the value of a ballot.

        A replica that hasn't promised the ballot does so in the same step.
        """
        number = index + 1
        held = state.replicas[replica]
        if not held.voting or number < held.promised:
            return
        accepted = held._replace(
            promised=number,
            accepted=number,
            value=ballot.value,
        )
        after = self._update_replica(state, replica, accepted)
        acks = tuple(sorted({*ballot.acks, replica}))
        after = _with_ballot(after, index, ballot._replace(acks=acks))
        if after != state:
            yield f'replica {replica} accepts {number}', after

    def _lose_disk(self, state: State) -> Iterator[Step]:
        if state.losses >= self._bounds.losses:
            return
        candidates = _REPLICAS if state.losses else _REPLICAS[:1]
        for replica in candidates:
            if not state.replicas[replica].voting:
                continue
            blank = Replica(voting=self._flaw is Flaw.amnesiac)
            after = _with_replica_and_disk(state, replica, blank, blank)
            after = after._replace(
                losses=state.losses + 1,
                ballots=_without_recovery(state.ballots, replica),
            )
            yield f'replica {replica} loses its disk', after

    def _sync_and_crash(self, state: State) -> Iterator[Step]:
        for replica in _REPLICAS:
            held, disk = state.replicas[replica], state.disks[replica]
            if held == disk:
                # Replies wait for the sync, so a restart from an equal disk
                # changes nothing.
                continue
            yield (
                f'replica {replica} syncs',
                _with_replica_and_disk(state, replica, held, held),
            )
            if state.crashes < self._bounds.crashes:
                after = _with_replica_and_disk(state, replica, disk, disk)
                after = after._replace(crashes=state.crashes + 1)
                yield f'replica {replica} restarts', after

    def _update_replica(
        self, state: State, index: int, replica: Replica
    ) -> State:
        """Return the state after a replica changes, synced before it replies.

        With `Flaw.unsynced` the disk keeps its former state.
        """
        disk = replica
        if self._flaw is Flaw.unsynced:
            disk = state.disks[index]
        return _with_replica_and_disk(state, index, replica, disk)


def has_one_history(fields: dict[str, Any]) -> bool:
    """Return whether of any two chosen values one is a prefix of the other."""
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
    """Result of a check.

    Args:
        holds: Whether the invariant holds; None if the search was incomplete.
        states: Number of reachable states that were searched.
        trace: Labels of the shortest counterexample; empty if there is none.
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
    """Check one variant of the protocol exhaustively within its bounds.

    Args:
        bounds: Bounds of the state space.
        flaw: The defect to put into the protocol.
        max_states: Number of states after which the search stops.

    Returns:
        The verdict on the invariant.
    """
    protocol = Register(bounds, flaw).protocol()
    found = minicheck.check_safety(protocol, max_states=max_states)
    verdict = found['properties'][PROPERTY]
    trace = verdict['counterexample'] or []
    return Verdict(
        holds=verdict['holds'],
        states=found['reachable_states'],
        trace=tuple(step['label'] or 'start' for step in trace),
    )


def _with_replica_and_disk(
    state: State, index: int, replica: Replica, disk: Replica
) -> State:
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
    """Return the ballots with all recoveries of a replica ended.

    A replica that loses its disk again recovers with a new ballot.
    """
    ended = Ballot(recovering=replica, recovered=True)
    return tuple(
        ended if ballot and ballot.recovering == replica else ballot
        for ballot in ballots
    )


def _drop_fenced(promises: list[Promise | None]) -> list[Promise | None]:
    """Replace fenced promises by None.

    A promise is fenced if another promise carries knowledge of a later
    incarnation of its replica.
    """
    received = [each for each in promises if each is not None]
    return [
        promise
        if promise is not None
        and all(
            each.fences[replica] <= promise.incarnation for each in received
        )
        else None
        for replica, promise in enumerate(promises)
    ]


def main() -> None:
    """Check the correct protocol and print counterexamples for each flaw."""
    for bounds in SOUND_BOUNDS:
        verdict = check(bounds)
        print(bounds, verdict.holds, verdict.states)
    for flaw, bounds in FLAW_BOUNDS.items():
        verdict = check(bounds, flaw)
        print(flaw.value, verdict.holds, verdict.states)
        print(' ', '; '.join(verdict.trace))


if __name__ == '__main__':
    main()
