"""Backfill: tasks that use a reserved endpoint without delaying its task."""

from collections.abc import Callable, Iterable
from typing import Final

from cuminstack.core import EndpointId
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._placement import may_host
from cuminstack.pool._records import NO_RESOURCES, Resources, Step
from cuminstack.pool._reservations import Reservation, expected_ends

#: Margin on the expected run time of a backfilled task; tasks of a step differ
#: by 15%, so this covers two standard deviations.
_MARGIN: Final = 1.3

_Slowness = Callable[[EndpointId], float]


def is_eligible(endpoint: Endpoint, task: Task, step: Step) -> bool:
    """Return whether an endpoint may get a task, whatever is free."""
    is_avoided = endpoint.report.endpoint in task.failed_on
    is_probed = endpoint.health.is_on_probation
    return not (is_avoided or is_probed) and may_host(endpoint, task, step)


def find_backfill(
    reservations: Iterable[Reservation],
    job: Job,
    task: Task,
    slowness: _Slowness,
    *,
    now: float,
) -> Endpoint | None:
    """Return a reserved endpoint that a task may use, or None.

    A task qualifies if it surely ends before the reservation begins, or if the
    capacity is enough for both.

    Args:
        reservations: The reservations in force.
        job: Job of the task.
        task: A task for which nothing is reserved.
        slowness: Returns the factor on run times at an endpoint.
        now: Current time in seconds.
    """
    step = job.steps[task.key.step]
    seconds = job.expected_seconds[task.key.step] * _MARGIN
    for reservation in reservations:
        endpoint = reservation.placement.endpoint
        if not endpoint.free.can_fit(step.needs):
            continue
        if not is_eligible(endpoint, task, step):
            continue
        end = now + seconds * slowness(endpoint.report.endpoint)
        spare = _spare(reservation, slowness, now)
        if end <= reservation.begins_at or spare.can_fit(step.needs):
            return endpoint
    return None


def _spare(
    reservation: Reservation, slowness: _Slowness, now: float
) -> Resources:
    """Return what is free beside the reserved task when it begins."""
    endpoint = reservation.placement.endpoint
    held = NO_RESOURCES
    for end, needs in expected_ends(endpoint, slowness, now=now):
        if end > reservation.begins_at:
            held = held.plus(needs)
    return endpoint.report.room.minus(held).minus(reservation.needs)
