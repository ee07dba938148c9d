"""What an order of waiting jobs is worth under a load with a fault."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from bench.pool._mix import TASKS_OF_ENDPOINT, Arrival, arrivals
from bench.pool._world import PoolWorld
from cuminstack.pool import JobState

ENDPOINTS: Final = 12
_CORES_OF_ENDPOINT: Final = 64_000
#: Seconds in which jobs come, and until the last have ended.
SECONDS: Final = 6.0
_AFTER: Final = 3.0
#: When a fault begins, and what it does.
_FAULT_AT: Final = 2.0
_LATE_SHARE: Final = 0.05
_SLOWNESS: Final = 7.0
_LOST_SHARE: Final = 3
_SLOW_SHARE: Final = 5
#: What a late answer is worth, up to so many times the objective.
_LATE_VALUE: Final = 0.2
_LATE_SPAN: Final = 3.0

Fault = Callable[[PoolWorld], None]
_faults: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register what goes wrong in a run."""

    def decorator(function: Fault) -> Fault:
        _faults[name] = function
        return function

    return decorator


def fault_names() -> tuple[str, ...]:
    """List the registered faults."""
    return tuple(_faults)


@fault('none')
def _none(world: PoolWorld) -> None:
    """Leave all as it is."""


@fault('late orders')
def _late_orders(world: PoolWorld) -> None:
    for worker in world.workers.values():
        worker.faults.late_orders = _LATE_SHARE


@fault('a third lost')
def _third_lost(world: PoolWorld) -> None:
    for worker in tuple(world.workers.values())[::_LOST_SHARE]:
        worker.faults.dark = True


@fault('a fifth slow')
def _fifth_slow(world: PoolWorld) -> None:
    for worker in tuple(world.workers.values())[::_SLOW_SHARE]:
        worker.faults.slow = _SLOWNESS


@dataclass(frozen=True, slots=True)
class Case:
    """A run.

    Args:
        order: Registered name of the order.
        fault: Registered name of the fault.
        load: Work against what the endpoints can do.
        seed: Of the draws.
    """

    order: str
    fault: str
    load: float
    seed: int


@dataclass(frozen=True, slots=True)
class Worth:
    """What came of a run.

    Args:
        earned: Value of the answers against that of all jobs.
        bound: The same for who knows all in advance and loses no room,
            without the fault.
    """

    earned: float
    bound: float


def measure(case: Case) -> Worth:
    """Play a run."""
    jobs = tuple(
        arrivals(
            load=case.load,
            endpoints=ENDPOINTS,
            seconds=SECONDS,
            seed=case.seed,
        ),
    )
    world = PoolWorld(
        workers=ENDPOINTS,
        millicores=_CORES_OF_ENDPOINT,
        seed=case.seed,
        order=case.order,
    )
    for arrival in jobs:
        world.after(arrival.at, partial(world.submit, arrival.plan))
    world.after(_FAULT_AT, partial(_faults[case.fault], world))
    world.run_for(SECONDS + _AFTER)
    world.check()
    owed = sum(job.value for job in jobs)
    earned = sum(_value(world, job) for job in jobs)
    return Worth(earned / owed, _most(jobs) / owed)


def _value(world: PoolWorld, job: Arrival) -> float:
    result = world.results.get(job.plan.key)
    if result is None or result.state is not JobState.completed:
        return 0
    took = result.at - world.submitted[job.plan.key]
    if took <= job.objective:
        return job.value
    return job.value * _LATE_VALUE if took <= job.objective * _LATE_SPAN else 0


def _most(jobs: Sequence[Arrival]) -> float:
    """Fill the room of the whole run with what is worth the most for it."""
    left = ENDPOINTS * TASKS_OF_ENDPOINT * (SECONDS + _AFTER)
    total: float = 0
    for job in sorted(jobs, key=_work_for_value):
        share = min(1, left / job.work)
        total += job.value * share
        left -= job.work * share
    return total


def _work_for_value(job: Arrival) -> float:
    return job.work / job.value
