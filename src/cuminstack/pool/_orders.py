"""In which order waiting jobs get room; chosen by name."""

from collections.abc import Callable
from typing import Final

from cuminstack.pool._jobs import Job

SortKey = tuple[float, ...]
Order = Callable[[Job, float], SortKey]

_orders: dict[str, Order] = {}

#: Times as much work that a job of a less urgent queue counts for, each
#: level: urgent jobs go first unless they are much larger.
_PRIORITY_FACTOR: Final = 3.0


def order(name: str) -> Callable[[Order], Order]:
    """Register a function that gives the sort key of a job at a time."""

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
def first_come(job: Job, now: float) -> SortKey:
    """Put the oldest job first."""
    return (job.submission.arrived_at,)


@order('priority')
def by_priority(job: Job, now: float) -> SortKey:
    """Put urgent queues first, and older jobs within a queue."""
    return (job.terms.priority, job.submission.arrived_at)


@order('least-work')
def least_work(job: Job, now: float) -> SortKey:
    """Put the job first that needs the least to be whole."""
    return (job.waiting_work, job.submission.arrived_at)


@order('useful-first')
def useful_first(job: Job, now: float) -> SortKey:
    """Put jobs first that can be in time, then urgent and small ones.

    A job that missed its objective waits behind those that can meet theirs,
    and one that is past all use behind both.
    """
    finish = job.finish_after(now)
    band = int(finish > job.objective) + int(finish > job.useful_until)
    weighted = job.waiting_work * _PRIORITY_FACTOR**job.terms.priority
    return (band, weighted, job.submission.arrived_at)
