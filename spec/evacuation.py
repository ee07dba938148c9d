"""Specification of evacuation orders beside other changes of one value.

Three replicas store a value that holds an evacuation of one zone, a version
and the replica set.  Each ballot makes one change: it starts or withdraws the
evacuation, writes a version, or changes the replica set.  Messages may be lost,
delayed and reordered; one disk may be lost, and another one takes its place.

Run `python -m spec.evacuation` to check the correct protocol and to print the
counterexamples of its broken variants.
"""

import enum
import itertools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, NamedTuple

import minicheck

#: Name of the safety invariant that is checked in each state.
PROPERTY = 'a value in force obeys the last acknowledged order before it'

_FIRST = (0, 1, 2)
_NEXT = (0, 1, 3)
#: The disk that may be lost, and which `_NEXT` replaces.
_LOST = 2


class Change(enum.Enum):
    """What a ballot changes."""

    start = 'start'
    finish = 'finish'
    version = 'version'
    join = 'join'


_ORDERS = frozenset((Change.start, Change.finish))


class Flaw(enum.Enum):
    """Defects of the broken variants, for which the check must fail.

    `none` selects the correct protocol.
    """

    none = 'none'
    stale = 'a version is written with the evacuations its proposer knew'
    unwritten = 'an order that changes nothing is not written'
    amnesiac = 'a replica that lost its disk votes at once'
    one_step = 'a new replica set decides on itself'


class Value(NamedTuple):
    """The replicated value.

    Args:
        evacuated: Whether the zone is evacuated.
        changes: Numbers of the ballots that led to the value.
        replicas: The replica set.
        incoming: The next replica set, which votes as well; empty for none.
    """

    evacuated: bool = False
    changes: tuple[int, ...] = ()
    replicas: tuple[int, ...] = _FIRST
    incoming: tuple[int, ...] = ()

    def is_quorum(self, agreeing: frozenset[int]) -> bool:
        """Return whether these replicas decide the next value."""
        sets = [self.replicas, self.incoming or self.replicas]
        return all(len(agreeing & set(each)) > 1 for each in sets)

    @property
    def voters(self) -> frozenset[int]:
        """All replicas that vote on the next value."""
        return frozenset((*self.replicas, *self.incoming))


class Disk(NamedTuple):
    """Highest promised and last accepted ballot of a replica; 0 for none."""

    promised: int = 0
    accepted: int = 0
    is_lost: bool = False


class Ballot(NamedTuple):
    """A ballot.

    Args:
        known: Ballot of the value that its proposer knew to be in force.
        promises: Each promising replica and the ballot that it accepted last.
        found: Ballot of the newest value that was found, once it proposes.
        value: The proposed value; None before.
        acks: Replicas that accepted the value, until it is decided.
        acknowledged: Whether the change was acknowledged.
    """

    known: int
    promises: frozenset[tuple[int, int]] = frozenset()
    found: int = 0
    value: Value | None = None
    acks: frozenset[int] = frozenset()
    acknowledged: bool = False


class State(NamedTuple):
    """State of the whole system."""

    disks: tuple[Disk, ...]
    ballots: tuple[Ballot | None, ...]


Step = tuple[str, State]


@dataclass(frozen=True)
class Bounds:
    """Bounds that make the state space finite.

    Args:
        changes: The change of each ballot, by its number.
        loses_disk: Whether a disk may be lost.
    """

    changes: tuple[Change, ...]
    loses_disk: bool = False


#: Bounds within which the correct protocol is checked.
SOUND_BOUNDS = (
    Bounds((Change.start, Change.version)),
    Bounds((Change.start, Change.finish, Change.version)),
    Bounds((Change.start, Change.version, Change.version), loses_disk=True),
    Bounds((Change.join, Change.start, Change.version)),
    Bounds((Change.start, Change.join, Change.version), loses_disk=True),
)

#: Bounds within which each flaw has a counterexample.
FLAW_BOUNDS: Mapping[Flaw, Bounds] = MappingProxyType(
    {
        Flaw.stale: SOUND_BOUNDS[0],
        Flaw.unwritten: SOUND_BOUNDS[1],
        Flaw.amnesiac: SOUND_BOUNDS[2],
        Flaw.one_step: SOUND_BOUNDS[3],
    }
)


class Evacuation:
    """Transition system of the value, with at most one flaw."""

    def __init__(self, bounds: Bounds, flaw: Flaw = Flaw.none) -> None:
        """Initialize the transition system."""
        self._bounds = bounds
        self._flaw = flaw

    def protocol(self) -> minicheck.Protocol:
        """Return the transition system in the form that minicheck takes."""
        return minicheck.Protocol(
            name=self._flaw.value,
            candidate=False,
            fields=State._fields,
            initial=State((Disk(),) * 4, (None,) * len(self._bounds.changes)),
            transitions=self.steps,
            invariants={PROPERTY: self.holds},
        )

    def holds(self, fields: dict[str, Any]) -> bool:
        """Return whether each value in force obeys the orders before it."""
        ballots: tuple[Ballot | None, ...] = fields['ballots']
        numbered = tuple(enumerate(ballots, start=1))
        return all(
            self._obeys(value.value, number, numbered)
            for number, value in numbered
            if value is not None
            and value.value is not None
            and value.acknowledged
        )

    def steps(self, state: State) -> list[Step]:
        """Return the label and successor state of each enabled transition."""
        return list(
            itertools.chain(
                self._begin(state),
                self._promise(state),
                self._accept(state),
                self._lose_disk(state),
            )
        )

    def _obeys(
        self,
        value: Value,
        number: int,
        numbered: tuple[tuple[int, Ballot | None], ...],
    ) -> bool:
        changes = self._bounds.changes
        orders = [
            each
            for each, ballot in numbered
            if changes[each - 1] in _ORDERS
            and each <= number
            and (each in value.changes or (ballot and ballot.acknowledged))
        ]
        if not orders:
            return not value.evacuated
        return value.evacuated == (changes[max(orders) - 1] is Change.start)

    def _begin(self, state: State) -> Iterator[Step]:
        in_force = [
            number
            for number, ballot in enumerate(state.ballots, start=1)
            if ballot and ballot.acknowledged and ballot.value
        ]
        newest = max(in_force, default=0)
        for index, ballot in enumerate(state.ballots):
            # Its proposer may know the newest value, or only the first one.
            for known in range(0, newest + 1, newest or 1):
                if ballot is None:
                    label = f'a ballot begins with {known} known'
                    yield label, _with_ballot(state, index, Ballot(known))

    def _promise(self, state: State) -> Iterator[Step]:
        for index, ballot in enumerate(state.ballots):
            if ballot and not (ballot.value or ballot.acknowledged):
                promised = {replica for replica, _ in ballot.promises}
                voters = _value_at(state, _found(ballot)).voters
                for replica in _able(state, index, voters - promised):
                    yield self._promise_at(state, index, ballot, replica)

    def _promise_at(
        self, state: State, index: int, ballot: Ballot, replica: int
    ) -> Step:
        number = index + 1
        disk = state.disks[replica]
        after = _with_disk(state, replica, disk._replace(promised=number))
        promises = ballot.promises | {(replica, disk.accepted)}
        ballot = ballot._replace(promises=promises)
        after = _with_ballot(after, index, self._propose(after, ballot, index))
        return f'replica {replica} promises {number}', after

    def _propose(self, state: State, ballot: Ballot, index: int) -> Ballot:
        found = _found(ballot)
        value = _value_at(state, found)
        if not value.is_quorum(frozenset(each for each, _ in ballot.promises)):
            return ballot
        change = self._bounds.changes[index]
        holders = frozenset(
            each for each, accepted in ballot.promises if accepted == found
        )
        is_in_force = found == ballot.known or value.is_quorum(holders)
        is_noop = value.evacuated == (change is Change.start)
        if self._flaw is Flaw.unwritten and change in _ORDERS and is_noop:
            if is_in_force:
                return ballot._replace(found=found, acknowledged=True)
        proposed = self._apply(state, ballot, value, change, is_in_force)
        proposed = proposed._replace(changes=(*value.changes, index + 1))
        # What only phase 1 needs is dropped, so that fewer states differ.
        return Ballot(known=0, found=found, value=proposed)

    def _apply(
        self,
        state: State,
        ballot: Ballot,
        value: Value,
        change: Change,
        is_in_force: bool,
    ) -> Value:
        if change in _ORDERS:
            value = value._replace(evacuated=change is Change.start)
        elif self._flaw is Flaw.stale:
            known = _value_at(state, ballot.known)
            value = value._replace(evacuated=known.evacuated)
        if value.incoming:
            if is_in_force:
                return value._replace(replicas=value.incoming, incoming=())
            return value
        if change is Change.join and self._flaw is Flaw.one_step:
            return value._replace(replicas=_NEXT)
        if change is Change.join:
            return value._replace(incoming=_NEXT)
        return value

    def _accept(self, state: State) -> Iterator[Step]:
        for index, ballot in enumerate(state.ballots):
            if ballot and ballot.value:
                found = _value_at(state, ballot.found)
                voters = found.voters | ballot.value.voters
                missing = frozenset(
                    replica
                    for replica in voters - ballot.acks
                    if state.disks[replica].accepted <= index
                )
                for replica in _able(state, index, missing):
                    yield self._accept_at(state, index, ballot, replica)

    def _accept_at(
        self, state: State, index: int, ballot: Ballot, replica: int
    ) -> Step:
        number = index + 1
        ballot = ballot._replace(acks=ballot.acks | {replica})
        if self._is_decided(state, ballot):
            ballot = ballot._replace(acknowledged=True, acks=frozenset())
        after = _with_disk(state, replica, Disk(number, number))
        after = _with_ballot(after, index, ballot)
        return f'replica {replica} accepts {number}', after

    def _is_decided(self, state: State, ballot: Ballot) -> bool:
        if self._flaw is Flaw.one_step and ballot.value is not None:
            return ballot.value.is_quorum(ballot.acks)
        return _is_decided(state.ballots, ballot)

    def _lose_disk(self, state: State) -> Iterator[Step]:
        disk = state.disks[_LOST]
        if self._bounds.loses_disk and not disk.is_lost and disk.promised:
            is_amnesiac = self._flaw is Flaw.amnesiac
            blank = Disk(is_lost=not is_amnesiac)
            yield 'a disk is lost', _with_disk(state, _LOST, blank)


def _able(state: State, index: int, replicas: frozenset[int]) -> Iterator[int]:
    """Yield the replicas that take part in a ballot."""
    for replica in replicas:
        disk = state.disks[replica]
        if not disk.is_lost and disk.promised <= index + 1:
            yield replica


def _found(ballot: Ballot) -> int:
    return max(ballot.known, *(each for _, each in ballot.promises), 0)


def _value_at(state: State, number: int) -> Value:
    ballot = state.ballots[number - 1] if number else None
    return Value() if ballot is None or not ballot.value else ballot.value


def _is_decided(ballots: tuple[Ballot | None, ...], ballot: Ballot) -> bool:
    if ballot.value is None:
        return False
    found = ballots[ballot.found - 1] if ballot.found else None
    before = Value() if found is None or not found.value else found.value
    return all(each.is_quorum(ballot.acks) for each in (before, ballot.value))


def _with_ballot(state: State, index: int, ballot: Ballot) -> State:
    ballots = list(state.ballots)
    ballots[index] = ballot
    return state._replace(ballots=tuple(ballots))


def _with_disk(state: State, replica: int, disk: Disk) -> State:
    disks = list(state.disks)
    disks[replica] = disk
    return state._replace(disks=tuple(disks))


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
    """Check one variant of the protocol exhaustively within its bounds."""
    protocol = Evacuation(bounds, flaw).protocol()
    found = minicheck.check_safety(protocol, max_states=max_states)
    verdict = found['properties'][PROPERTY]
    trace = verdict['counterexample'] or []
    return Verdict(
        holds=verdict['holds'],
        states=found['reachable_states'],
        trace=tuple(step['label'] or 'start' for step in trace),
    )


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
