"""What is checked of claims: within which bounds, and with what verdict."""

from dataclasses import dataclass, fields, replace
from types import MappingProxyType
from typing import Final

from spec.claims import INVARIANT, Specification
from spec.claims_state import Claimant, Group, Rules, voters

_GROUP: Final[Group] = (0, 1, 2)
_LONE: Final[Group] = (0,)
_PAIR: Final[Group] = (0, 1)
_NEXT: Final[Group] = (2, 3, 4)
_OVERLAPPING: Final[Group] = (1, 2, 3)

#: States after which a search is given up.
_MAX_STATES: Final = 1_500_000


@dataclass(frozen=True, slots=True)
class Case:
    """A specification and whether its invariant must hold.

    Args:
        name: What it is about.
        specification: The protocol within bounds.
        holds: The verdict that is right.
        quick: Whether the unit tests check it, too.
    """

    name: str
    specification: Specification
    holds: bool = True
    quick: bool = True


def _first(name: str, *groups: Group) -> Claimant:
    return Claimant(name, groups or (_GROUP,))


def _later(name: str, ballot: int, *groups: Group) -> Claimant:
    return Claimant(name, groups or (_GROUP,), ballot)


def _spec(
    *claimants: Claimant,
    restarts: int = 0,
    rules: Rules | None = None,
) -> Specification:
    places = {place for one in claimants for place in voters(one)}
    return Specification(
        size=len(places),
        claimants=claimants,
        restarts=restarts,
        rules=Rules() if rules is None else rules,
    )


_RACE: Final = _spec(_first('A'), _first('B'), restarts=2)
_RACE_AND_RESTART: Final = _spec(_first('A'), _first('B'), restarts=1)
_LATE_RACE: Final = _spec(_first('A'), _later('B', 1))

_CORRECT: Final = (
    Case('two claimants, two restarts', _RACE),
    Case(
        'three claimants, one later ballot',
        _spec(_first('A'), _first('B'), _later('C', 1)),
    ),
    Case(
        'one later ballot, one restart',
        _spec(_first('A'), _later('B', 1), restarts=1),
    ),
    Case(
        'two later ballots',
        _spec(_later('A', 2), _later('B', 1)),
        quick=False,
    ),
    Case(
        'two later ballots, one restart',
        _spec(_later('A', 2), _later('B', 1), restarts=1),
        quick=False,
    ),
    Case(
        'three claimants, two restarts',
        _spec(_first('A'), _first('B'), _first('C'), restarts=2),
        quick=False,
    ),
    Case(
        'one later ballot, two restarts',
        _spec(_first('A'), _later('B', 1), restarts=2),
        quick=False,
    ),
    Case(
        'lone replica, two restarts',
        _spec(_first('A', _LONE), _first('B', _LONE), restarts=2),
    ),
    Case(
        'two replicas, two restarts',
        _spec(_first('A', _PAIR), _later('B', 1, _PAIR), restarts=2),
    ),
    Case(
        'former view, joint view',
        _spec(
            _first('A', _GROUP),
            _later('B', 1, _NEXT, _GROUP),
        ),
        quick=False,
    ),
    Case(
        'joint view, new view',
        _spec(
            _first('A', _OVERLAPPING, _GROUP),
            _later('B', 1, _OVERLAPPING),
        ),
    ),
    Case(
        'former view, joint view, one restart',
        _spec(
            _first('A', _GROUP),
            _first('B', _OVERLAPPING, _GROUP),
            restarts=1,
        ),
    ),
    Case(
        'joint view, new view, one restart',
        _spec(
            _first('A', _OVERLAPPING, _GROUP),
            _first('B', _OVERLAPPING),
            restarts=1,
        ),
    ),
)

#: Smallest bounds that show what a rule is for, where they aren't a race and
#: a restart.
_SMALLEST: Final = MappingProxyType(
    {
        'counts_unseen': _LATE_RACE,
        'from_ready': _RACE,
        'keeps_fences': _RACE,
    }
)

_DIRECT_CHANGE: Final = Case(
    'broken: former view, new view, no joint view',
    _spec(_first('A', _GROUP), _first('B', _NEXT)),
    holds=False,
)


def _without(rule: str) -> Case:
    """Give the case of a protocol that leaves out one of its rules."""
    return Case(
        f'broken: without {rule}',
        replace(
            _SMALLEST.get(rule, _RACE_AND_RESTART),
            rules=Rules(**{rule: False}),
        ),
        holds=False,
    )


CASES: Final = (
    *_CORRECT,
    _DIRECT_CHANGE,
    *(_without(field.name) for field in fields(Rules)),
)


def check(case: Case) -> tuple[bool, int]:
    """Give the verdict on a case, and the number of states behind it.

    Raises:
        RuntimeError: The search came to no verdict within its bound.
    """
    result = case.specification.check(_MAX_STATES)
    holds = result['properties'][INVARIANT]['holds']
    if holds is None:
        raise RuntimeError(case.name)
    return holds, result['reachable_states']
