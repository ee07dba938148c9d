"""Reservations of endpoints for tasks that fit into no current gap.

Small tasks leave gaps that large ones cannot use, and would fill each gap again
before it is large enough.  An endpoint is therefore reserved for a large task,
as in EASY backfilling (Lifka, "The ANL/IBM SP scheduling system", 1995): later
tasks may use a reserved endpoint only if they do not delay the reservation.
"""

import math
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Final, NamedTuple

from cuminstack.core import EndpointId
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._jobs import Job, Task, TaskState
from cuminstack.pool._records import Resources, TaskKey

#: Run time in seconds that is assumed for a run of another dispatcher.
_DEFAULT_SECONDS: Final = 0.2


class Placement(NamedTuple):
    """A task and the endpoint on which to start it."""

    endpoint: Endpoint
    job: Job
    task: Task


@dataclass(frozen=True, slots=True)
class Reservation:
    """An endpoint that is kept for a task.

    Args:
        placement: The task and the endpoint.
        needs: Resources that the task needs.
        begins_at: Expected time at which they are free.
        made_at: Time at which it was made.
    """

    placement: Placement
    needs: Resources
    begins_at: float
    made_at: float

    def is_valid(self, *, now: float) -> bool:
        """Return whether the task still waits for the endpoint.

        A reservation that is overdue by as long as it was expected to take was
        made on a wrong expectation.
        """
        seconds = self.begins_at - self.made_at
        is_overdue = now > self.begins_at + seconds
        endpoint, job, task = self.placement
        is_wanted = task.state is TaskState.waiting
        if is_overdue or job.abandoned or not is_wanted:
            return False
        health = endpoint.health
        is_healthy = not (
            health.is_on_probation or health.is_quarantined(now=now)
        )
        return is_healthy and endpoint.takes_starts


def expected_ends(
    endpoint: Endpoint,
    slowness: Callable[[EndpointId], float],
    *,
    now: float,
) -> list[tuple[float, Resources]]:
    """Return when the runs of an endpoint are expected to end.

    A run that is overdue is expected to take as long again as it is overdue,
    since what it lacks is unknown.

    Args:
        endpoint: The endpoint.
        slowness: Returns the factor on run times at an endpoint.
        now: Current time in seconds.

    Returns:
        Time in seconds and freed resources of each run, in order of time.
    """
    factor = slowness(endpoint.report.endpoint)
    ends: list[tuple[float, Resources]] = []
    for run in endpoint.runs.values():
        begun_at = run.confirmed_at or run.sent_at
        end = begun_at + (run.expected_seconds or _DEFAULT_SECONDS) * factor
        ends.append((max(end, now + now - end), run.needs))
    ends.sort(key=_time)
    return ends


def free_at(
    endpoint: Endpoint,
    needs: Resources,
    slowness: Callable[[EndpointId], float],
    *,
    now: float,
) -> float:
    """Return when resources are expected to be free at an endpoint.

    Returns:
        Time in seconds; infinite if the endpoint is too small.
    """
    if not endpoint.report.room.can_fit(needs):
        return math.inf
    free = endpoint.free
    if free.can_fit(needs):
        return now
    for end, freed in expected_ends(endpoint, slowness, now=now):
        free = free.plus(freed)
        if free.can_fit(needs):
            return end
    return math.inf


def _time(end: tuple[float, Resources]) -> float:
    return end[0]


class Reservations:
    """Reservations in force, at most one for an endpoint and for a task."""

    def __init__(self) -> None:
        self._by_endpoint: dict[int, Reservation] = {}
        self._tasks: set[TaskKey] = set()

    @property
    def endpoints(self) -> Collection[int]:
        """Serial numbers of the reserved endpoints."""
        return self._by_endpoint.keys()

    def __len__(self) -> int:
        return len(self._by_endpoint)

    def __iter__(self) -> Iterator[Reservation]:
        return iter(tuple(self._by_endpoint.values()))

    def has(self, task: TaskKey) -> bool:
        """Return whether an endpoint is reserved for a task."""
        return task in self._tasks

    def add(self, reservation: Reservation) -> None:
        """Add a reservation."""
        endpoint, _, task = reservation.placement
        self._by_endpoint[endpoint.number] = reservation
        self._tasks.add(task.key)

    def remove(self, reservation: Reservation) -> None:
        """Remove a reservation."""
        endpoint, _, task = reservation.placement
        self._by_endpoint.pop(endpoint.number)
        self._tasks.discard(task.key)

    def prune(self, *, now: float) -> None:
        """Remove the reservations that are no longer valid."""
        for reservation in self:
            if not reservation.is_valid(now=now):
                self.remove(reservation)
