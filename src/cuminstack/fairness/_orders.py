"""Orders between the jobs of one member.

An order maps a job to a score; the lowest goes first.  Every order ages by
adding the arrival time, so that scores needn't be computed anew as time
passes and no job waits for ever.
"""

from collections.abc import Callable
from typing import Any, Final, Protocol, TypeVar

from cuminstack.fairness._records import Demand

#: Slot-seconds by which one second of waiting moves a job ahead.
AGEING_RATE: Final = 50


class JobOrder(Protocol):
    """Scores a job by its demand and its member's mean run time, seconds."""

    def __call__(self, demand: Demand[Any], mean: float) -> float:
        """Give the score of a job."""


_Order = TypeVar('_Order', bound=JobOrder)
_orders: dict[str, JobOrder] = {}


def job_order(name: str) -> Callable[[_Order], _Order]:
    """Register an order under a name."""

    def decorator(order: _Order) -> _Order:
        _orders[name] = order
        return order

    return decorator


def job_order_names() -> tuple[str, ...]:
    """Give the registered names."""
    return tuple(sorted(_orders))


def make_job_order(name: str) -> JobOrder:
    """Give the order of a name.

    Raises:
        KeyError: No order of this name is registered.
    """
    return _orders[name]


@job_order('first_come')
def first_come(demand: Demand[Any], mean: float) -> float:
    """Older jobs first."""
    return demand.since


@job_order('least_attained')
def least_attained(demand: Demand[Any], mean: float) -> float:
    """Jobs that have had the fewest slot-seconds first."""
    return demand.attained + AGEING_RATE * demand.since


@job_order('least_expected')
def least_expected(demand: Demand[Any], mean: float) -> float:
    """Jobs of the fewest slot-seconds, had and still to come, first.

    Equal jobs go in order of arrival, where the least attained service would
    make them share the slots and end late together.
    """
    expected = demand.attained + demand.waiting * mean
    return expected + AGEING_RATE * demand.since
