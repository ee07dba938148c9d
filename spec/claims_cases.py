"""Model-checking cases of claims, with bounds and expected verdicts."""

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

#: Number of states after which a search stops without a verdict.
_MAX_STATES: Final = 1_500_000


@dataclass(frozen=True, slots=True)
class Case:
    """A bounded specification and the expected verdict on its invariant.

    Args:
        name: Name in test identifiers and in the table of results.
        specification: The protocol and its bounds.
        holds: Whether the invariant is expected to hold.
        quick: Whether the case is fast enough for the unit tests.
    """

    name: str
    specification: Specification
    holds: bool = True
    quick: bool = True


def _fast_claimant(name: str, *groups: Group) -> Claimant:
    return Claimant(name, groups or (_GROUP,))


def _classic_claimant(name: str, ballot: int, *groups: Group) -> Claimant:
    return Claimant(name, groups or (_GROUP,), ballot)


def _spec(
    *claimants: Claimant,
    restarts: int = 0,
    rules: Rules | None = None,
) -> Specification:
    replica_ids = {
        replica_id for one in claimants for replica_id in voters(one)
    }
    return Specification(
        size=len(replica_ids),
        claimants=claimants,
        restarts=restarts,
        rules=Rules() if rules is None else rules,
    )


_RACE: Final = _spec(_fast_claimant('A'), _fast_claimant('B'), restarts=2)
_RACE_AND_RESTART: Final = _spec(
    _fast_claimant('A'), _fast_claimant('B'), restarts=1
)
_LATE_RACE: Final = _spec(_fast_claimant('A'), _classic_claimant('B', 1))

_CORRECT: Final = (
    Case('two claimants, two restarts', _RACE),
    Case(
        'three claimants, one later ballot',
        _spec(
            _fast_claimant('A'), _fast_claimant('B'), _classic_claimant('C', 1)
        ),
    ),
    Case(
        'one later ballot, one restart',
        _spec(_fast_claimant('A'), _classic_claimant('B', 1), restarts=1),
    ),
    Case(
        'two later ballots',
        _spec(_classic_claimant('A', 2), _classic_claimant('B', 1)),
        quick=False,
    ),
    Case(
        'two later ballots, one restart',
        _spec(_classic_claimant('A', 2), _classic_claimant('B', 1), restarts=1),
        quick=False,
    ),
    Case(
        'three claimants, two restarts',
        _spec(
            _fast_claimant('A'),
            _fast_claimant('B'),
            _fast_claimant('C'),
            restarts=2,
        ),
        quick=False,
    ),
    Case(
        'one later ballot, two restarts',
        _spec(_fast_claimant('A'), _classic_claimant('B', 1), restarts=2),
        quick=False,
    ),
    Case(
        'lone replica, two restarts',
        _spec(
            _fast_claimant('A', _LONE), _fast_claimant('B', _LONE), restarts=2
        ),
    ),
    Case(
        'two replicas, two restarts',
        _spec(
            _fast_claimant('A', _PAIR),
            _classic_claimant('B', 1, _PAIR),
            restarts=2,
        ),
    ),
    Case(
        'former view, joint view',
        _spec(
            _fast_claimant('A', _GROUP),
            _classic_claimant('B', 1, _NEXT, _GROUP),
        ),
        quick=False,
    ),
    Case(
        'joint view, new view',
        _spec(
            _fast_claimant('A', _OVERLAPPING, _GROUP),
            _classic_claimant('B', 1, _OVERLAPPING),
        ),
    ),
    Case(
        'former view, joint view, one restart',
        _spec(
            _fast_claimant('A', _GROUP),
            _fast_claimant('B', _OVERLAPPING, _GROUP),
            restarts=1,
        ),
    ),
    Case(
        'joint view, new view, one restart',
        _spec(
            _fast_claimant('A', _OVERLAPPING, _GROUP),
            _fast_claimant('B', _OVERLAPPING),
            restarts=1,
        ),
    ),
)

#: Smallest specifications in which the absence of a rule violates the
#: invariant; for other rules that is `_RACE_AND_RESTART`.
_MINIMAL_SPECIFICATIONS: Final = MappingProxyType(
    {
        'counts_unseen': _LATE_RACE,
        'from_ready': _RACE,
        'keeps_fences': _RACE,
    }
)

_DIRECT_CHANGE: Final = Case(
    'broken: former view, new view, no joint view',
    _spec(_fast_claimant('A', _GROUP), _fast_claimant('B', _NEXT)),
    holds=False,
)


def _without_rule(rule: str) -> Case:
    """Return the case of the protocol with one rule disabled."""
    return Case(
        f'broken: without {rule}',
        replace(
            _MINIMAL_SPECIFICATIONS.get(rule, _RACE_AND_RESTART),
            rules=Rules(**{rule: False}),
        ),
        holds=False,
    )


CASES: Final = (
    *_CORRECT,
    _DIRECT_CHANGE,
    *(_without_rule(field.name) for field in fields(Rules)),
)


def check(case: Case) -> tuple[bool, int]:
    """Check a case.

    Returns:
        Whether the invariant holds, and the number of reachable states.

    Raises:
        RuntimeError: The search reached `_MAX_STATES` without a verdict.
    """
    result = case.specification.check(_MAX_STATES)
    holds = result['properties'][INVARIANT]['holds']
    if holds is None:
        raise RuntimeError(case.name)
    return holds, result['reachable_states']
