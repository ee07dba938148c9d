"""Orders of the job queue, selected by name."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from cuminstack.pool._jobs import Job

SortKey = tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Rank:
    """Position of a job in the queue.

    Args:
        key: Sort key; lower keys come first.
        valid_until: Time until which the key is valid, unless the job changes.
    """

    key: SortKey
    valid_until: float = math.inf


QueueOrder = Callable[[Job, float], Rank]

_orders: dict[str, QueueOrder] = {}

#: Factor on the work of a job for each level of lower priority: urgent jobs go
#: first unless they are much larger.
_PRIORITY_FACTOR: Final = 3.0
#: Priority from which on lower priorities make no difference; the factor of
#: an unlimited one would overflow.
_MAX_PRIORITY: Final = 100
#: Number of time limits of a job (objective, end of usefulness); each one it
#: misses moves it down a band.
_BANDS: Final = 2
#: Share of the work of a started job below which it keeps its rank when it is
#: late.  At one half, late jobs delayed too many that could be in time.
_SMALL_REMAINDER: Final = 0.34
#: Seconds before a change of band from which the rank is recomputed each time,
#: as sums of times are subject to rounding errors.
_ROUNDING_SECONDS: Final = 0.001


def register_order(name: str) -> Callable[[QueueOrder], QueueOrder]:
    """Register a function that computes the rank of a job at a time."""

    def decorator(function: QueueOrder) -> QueueOrder:
        _orders[name] = function
        return function

    return decorator


def find_order(name: str) -> QueueOrder:
    """Return the queue order with a name.

    Raises:
        KeyError: No order has this name.
    """
    return _orders[name]


def order_names() -> tuple[str, ...]:
    """Return the names of the registered orders, sorted."""
    return tuple(sorted(_orders))


@register_order('first-come')
def first_come(job: Job, now: float) -> Rank:
    """Rank jobs by arrival time."""
    return Rank((job.submission.arrived_at,))


@register_order('priority')
def by_priority(job: Job, now: float) -> Rank:
    """Rank jobs by priority of their queue, then by arrival time."""
    return Rank((job.terms.priority, job.submission.arrived_at))


@register_order('least-work')
def least_work(job: Job, now: float) -> Rank:
    """Rank jobs by their waiting work, the least first."""
    return Rank((job.waiting_work, job.submission.arrived_at))


@register_order('in-time-first')
def in_time_first(job: Job, now: float) -> Rank:
    """Rank jobs that can be in time first, by priority and waiting work.

    A job that misses its objective waits behind those that can meet theirs,
    and a job that can no longer be useful waits behind both.
    """
    finish = job.finish_time(now)
    ahead = [end for end in (job.objective, job.useful_until) if finish <= end]
    priority = min(job.terms.priority, _MAX_PRIORITY)
    weighted = job.waiting_work * _PRIORITY_FACTOR**priority
    key = (_BANDS - len(ahead), weighted, job.submission.arrived_at)
    if not ahead:
        return Rank(key)
    remaining = min(ahead) - finish
    return Rank(key, valid_until=now + max(0, remaining - _ROUNDING_SECONDS))


@register_order('useful-first')
def useful_first(job: Job, now: float) -> Rank:
    """Rank jobs that can be in time first, by priority and waiting work.

    Started jobs come before others, as the work that was done for them is
    lost if they aren't completed.  A job that misses its objective waits
    behind those that can meet theirs, unless it was started and little of it
    still waits.  A job that can no longer be useful waits behind all.
    """
    finish = now + job.remaining_path
    ahead = [end for end in (job.objective, job.useful_until) if finish <= end]
    priority = min(job.terms.priority, _MAX_PRIORITY)
    weighted = job.waiting_work * _PRIORITY_FACTOR**priority
    band = _BANDS - len(ahead)
    if ahead and job.is_started and job.waiting_share < _SMALL_REMAINDER:
        band = 0
    is_new = float(not job.is_started)
    key = (band, is_new, weighted, job.submission.arrived_at)
    if not ahead:
        return Rank(key)
    remaining = min(ahead) - finish
    return Rank(key, valid_until=now + max(0, remaining - _ROUNDING_SECONDS))
