"""In which order waiting jobs get room; chosen by name."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from cuminstack.pool._jobs import Job

SortKey = tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Place:
    """Where a job stands in an order.

    Args:
        key: Its sort key.
        until: The key holds up to this time unless the job changes.
    """

    key: SortKey
    until: float = math.inf


Order = Callable[[Job, float], Place]

_orders: dict[str, Order] = {}

#: Times as much work that a job of a less urgent queue counts for, each
#: level: urgent jobs go first unless they are much larger.
_PRIORITY_FACTOR: Final = 3.0
#: Times that a job gets less urgent as it misses what is wanted of it.
_BANDS: Final = 2
#: Seconds before a job changes its band from which on that is worked out
#: each time, as sums of times are rounded.
_ROUNDING_SECONDS: Final = 0.001


def order(name: str) -> Callable[[Order], Order]:
    """Register a function that gives the place of a job at a time."""

    def decorator(function: Order) -> Order:
        _orders[name] = function
        return function

    return decorator


def find_order(name: str) -> Order:
    """Give the order of a name.

    Raises:
        KeyError: There is none.
    """
    return _orders[name]


def order_names() -> tuple[str, ...]:
    """List the registered orders."""
    return tuple(sorted(_orders))


@order('first-come')
def first_come(job: Job, now: float) -> Place:
    """Put the oldest job first."""
    return Place((job.submission.arrived_at,))


@order('priority')
def by_priority(job: Job, now: float) -> Place:
    """Put urgent queues first, and older jobs within a queue."""
    return Place((job.terms.priority, job.submission.arrived_at))


@order('least-work')
def least_work(job: Job, now: float) -> Place:
    """Put the job first that needs the least to be whole."""
    return Place((job.waiting_work, job.submission.arrived_at))


@order('useful-first')
def useful_first(job: Job, now: float) -> Place:
    """Put jobs first that can be in time, then urgent and small ones.

    A job that missed its objective waits behind those that can meet theirs,
    and one that is past all use behind both.
    """
    finish = job.finish_after(now)
    ahead = [end for end in (job.objective, job.useful_until) if finish <= end]
    weighted = job.waiting_work * _PRIORITY_FACTOR**job.terms.priority
    key = (_BANDS - len(ahead), weighted, job.submission.arrived_at)
    if not ahead:
        return Place(key)
    left = min(ahead) - finish
    return Place(key, until=now + max(0, left - _ROUNDING_SECONDS))
