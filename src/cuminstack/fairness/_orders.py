"""Scheduling orders of the jobs of one member.

An order maps a job to a score; the lowest score goes first.  Every order
implements ageing by adding the arrival time, so that scores need not be
recomputed as time passes and no job starves.
"""

from collections.abc import Callable
from typing import Any, Final, Protocol, TypeVar

from cuminstack.fairness._records import Demand

#: Slot-seconds of service that each second of waiting offsets in a score.
AGEING_RATE: Final = 50


class JobOrder(Protocol):
    """A function that scores a job."""

    def __call__(self, demand: Demand[Any], mean: float) -> float:
        """Return the score of a job; the lowest score goes first.

        Args:
            demand: The demand of the job.
            mean: The mean run time of its member's tasks, in seconds.

        Returns:
            The score.
        """


_Order = TypeVar('_Order', bound=JobOrder)
_orders: dict[str, JobOrder] = {}


def job_order(name: str) -> Callable[[_Order], _Order]:
    """Return a decorator that registers an order under a name."""

    def decorator(order: _Order) -> _Order:
        _orders[name] = order
        return order

    return decorator


def job_order_names() -> tuple[str, ...]:
    """Return the registered names, sorted."""
    return tuple(sorted(_orders))


def get_job_order(name: str) -> JobOrder:
    """Return the order that is registered under a name.

    Raises:
        KeyError: No order of this name is registered.
    """
    return _orders[name]


@job_order('first_come')
def first_come(demand: Demand[Any], mean: float) -> float:
    """Order jobs by arrival, the oldest first."""
    return demand.since


@job_order('least_attained')
def least_attained(demand: Demand[Any], mean: float) -> float:
    """Order jobs by attained service in slot-seconds, the least first."""
    return demand.attained + AGEING_RATE * demand.since


@job_order('least_expected')
def least_expected(demand: Demand[Any], mean: float) -> float:
    """Order jobs by attained plus expected slot-seconds, the least first.

    Equal jobs run in order of arrival; `least_attained` would have them share
    the slots and all finish late.
    """
    expected = demand.attained + demand.waiting * mean
    return expected + AGEING_RATE * demand.since
