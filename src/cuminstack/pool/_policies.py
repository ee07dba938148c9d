"""Scheduling policies, selected by name."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from cuminstack.pool._lookahead import MAX_RESERVATIONS
from cuminstack.pool._orders import QueueOrder, find_order


@dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """How waiting jobs are ordered, placed and refused.

    Args:
        order: Queue order of the waiting jobs.
        sheds_useless: Whether jobs are refused or ended once they can't be
            useful, instead of at their deadlines.
        max_reservations: Number of endpoints that may be reserved at a time
            for tasks that fit nowhere; 0 for none.
    """

    order: QueueOrder
    sheds_useless: bool = False
    max_reservations: int = 0


_POLICIES: Final = MappingProxyType(
    {
        'in-time-first': SchedulingPolicy(find_order('in-time-first')),
        'look-ahead': SchedulingPolicy(
            find_order('in-time-first'), max_reservations=MAX_RESERVATIONS
        ),
        'useful-first': SchedulingPolicy(
            find_order('useful-first'),
            sheds_useless=True,
            max_reservations=MAX_RESERVATIONS,
        ),
    },
)


def find_policy(name: str) -> SchedulingPolicy:
    """Return the scheduling policy with a name.

    Raises:
        KeyError: No policy has this name.
    """
    return _POLICIES[name]


def policy_names() -> tuple[str, ...]:
    """Return the names of the scheduling policies, sorted."""
    return tuple(sorted(_POLICIES))
