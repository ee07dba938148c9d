"""Look-ahead: tasks that are passed over, reservations for them, and backfill.

The state is empty, and costs nothing, while no later task is started before one
that does not fit.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import asdict, dataclass
from typing import Final

from cuminstack.core import EndpointId
from cuminstack.pool._backfill import find_backfill, is_eligible
from cuminstack.pool._effects import LogEvent
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._placement import find_endpoint, may_host
from cuminstack.pool._queue import WaitingJob
from cuminstack.pool._reservations import (
    Placement,
    Reservation,
    Reservations,
    free_at,
)
from cuminstack.pool._rooms import StartCandidates

#: Reservations at a time at most.  All of them are checked at each event.
MAX_RESERVATIONS: Final = 16
#: Endpoints for one reservation at least, as reserved capacity is idle for part
#: of the time.
_ENDPOINTS_PER_RESERVATION: Final = 20
#: Seconds for which a job is passed over before an endpoint is reserved.  At
#: 5,000 starts a second, the next gap that fits a usual task opens sooner.
_MIN_PASSED_SECONDS: Final = 0.005
#: Seconds for which a job is passed over at most before an endpoint is reserved
#: even though it will be late: half of the objective of the long jobs of the
#: release plan, so that they are late but still useful.
_MAX_PASSED_SECONDS: Final = 0.5
#: Jobs that are watched at a time at most.
_MAX_WATCHED: Final = 32
#: Seconds until the next try if no endpoint could be reserved.  Only one job is
#: tried at each event.
_RETRY_SECONDS: Final = 0.02
#: Endpoints of each speed class that are compared for a reservation at most.
_MAX_COMPARED: Final = 16
#: Seconds between two log lines at least.
_LOG_INTERVAL_SECONDS: Final = 1.0
#: Decimal places of times in seconds.
_DIGITS: Final = 3


@dataclass(slots=True)
class LookAheadCounts:
    """Counts since the dispatcher began.

    Args:
        reservations: Reservations that were made.
        reserved_starts: Tasks started on the endpoint reserved for them.
        backfills: Tasks started on an endpoint reserved for another task.
        longest_passed: Longest time in seconds for which a job that was
            watched has been passed over.
    """

    reservations: int = 0
    reserved_starts: int = 0
    backfills: int = 0
    longest_passed: float = 0

    def as_dict(self) -> dict[str, float]:
        """Return the counts by name."""
        return asdict(self)


@dataclass(slots=True)
class _PassedJob:
    """A job that was passed over, since when, and the time of the next try."""

    job: Job
    since: float
    retry_at: float


class LookAhead:
    """Keeps endpoints free for jobs that are passed over.

    Args:
        slowness: Returns the factor on run times at an endpoint.
        max_reservations: Endpoints that are reserved at a time at most.
    """

    def __init__(
        self,
        slowness: Callable[[EndpointId], float],
        *,
        max_reservations: int = MAX_RESERVATIONS,
    ) -> None:
        self._slowness = slowness
        self._max_reservations = max_reservations
        self._passed: dict[int, _PassedJob] = {}
        self._logged_at = -math.inf
        self.counts = LookAheadCounts()
        self.reservations = Reservations()

    @property
    def is_active(self) -> bool:
        """Whether any job is watched or any endpoint is reserved."""
        return bool(self._passed or self.reservations)

    def pass_over(self, job: Job, *, now: float) -> None:
        """Record that a later task was started before those of a job."""
        is_new = job.number not in self._passed
        if is_new and len(self._passed) < _MAX_WATCHED:
            retry_at = now + _MIN_PASSED_SECONDS
            self._passed[job.number] = _PassedJob(job, now, retry_at)

    def due(self, *, now: float) -> Iterator[Placement]:
        """Yield the reserved placements whose capacity is free, once each."""
        self.reservations.prune(now=now)
        for reservation in self.reservations:
            endpoint, job, task = reservation.placement
            if not endpoint.free.can_fit(reservation.needs):
                continue
            self.reservations.remove(reservation)
            # Labels and the runs of the same step may have changed.
            if may_host(endpoint, task, job.steps[task.key.step]):
                self.counts.reserved_starts += 1
                yield reservation.placement

    def reserve(
        self,
        candidates_of: Mapping[str, StartCandidates],
        *,
        now: float,
    ) -> Iterator[LogEvent]:
        """Reserve an endpoint for the job that was passed over first.

        Yields:
            A log event, at most once a second.
        """
        for passed in self._watched(candidates_of, now):
            candidates = candidates_of[passed.job.terms.service]
            if self._is_full(candidates):
                return
            if now >= passed.retry_at:
                yield from self._try_to_reserve(passed, candidates, now)
                return

    def backfill(
        self,
        waiting_jobs: Iterable[WaitingJob],
        *,
        now: float,
    ) -> Iterator[Placement]:
        """Yield placements on reserved endpoints that delay no reservation.

        A task qualifies if it surely ends before the reservation begins, or if
        the capacity is enough for both.  Each placement has to be carried out
        before the next is requested.
        """
        reservations = tuple(self.reservations)
        most = max(
            each.placement.endpoint.free.millicores for each in reservations
        )
        for waiting in waiting_jobs:
            if waiting.millicores <= most:
                yield from self._backfill_job(waiting.job, reservations, now)

    def _watched(
        self, candidates_of: Mapping[str, StartCandidates], now: float
    ) -> Iterator[_PassedJob]:
        """Yield the jobs that still wait, and forget the others."""
        for number, passed in tuple(self._passed.items()):
            job = passed.job
            is_served = job.terms.service in candidates_of
            if job.abandoned or not (job.ready_tasks and is_served):
                self._passed.pop(number)
                continue
            self.counts.longest_passed = max(
                self.counts.longest_passed, now - passed.since
            )
            yield passed

    def _try_to_reserve(
        self, passed: _PassedJob, candidates: StartCandidates, now: float
    ) -> Iterator[LogEvent]:
        made = self._reserve_for(passed, candidates, now)
        if made is None:
            passed.retry_at = now + _RETRY_SECONDS
        else:
            candidates.refresh()
            yield from self._log(made, now - passed.since, now)

    def _backfill_job(
        self, job: Job, reservations: tuple[Reservation, ...], now: float
    ) -> Iterator[Placement]:
        for task in job.ready_tasks:
            endpoint = find_backfill(
                reservations, job, task, self._slowness, now=now
            )
            if endpoint is None or self.reservations.has(task.key):
                return
            self.counts.backfills += 1
            yield Placement(endpoint, job, task)

    def _is_full(self, candidates: StartCandidates) -> bool:
        allowed = max(1, candidates.size // _ENDPOINTS_PER_RESERVATION)
        return len(self.reservations) >= min(allowed, self._max_reservations)

    def _reserve_for(
        self,
        passed: _PassedJob,
        candidates: StartCandidates,
        now: float,
    ) -> Reservation | None:
        job = passed.job
        is_overdue = now - passed.since > _MAX_PASSED_SECONDS
        limit = math.inf if is_overdue else job.objective
        unreserved = (
            task
            for task in job.ready_tasks
            if not self.reservations.has(task.key)
        )
        task = next(unreserved, None)
        if task is None or find_endpoint(candidates, job, task) is not None:
            return None
        best = self._soonest(job, task, candidates, now)
        if best is None or best[0] > limit:
            return None
        _, begins_at, endpoint = best
        reservation = Reservation(
            placement=Placement(endpoint, job, task),
            needs=job.steps[task.key.step].needs,
            begins_at=begins_at,
            made_at=now,
        )
        self.reservations.add(reservation)
        self.counts.reservations += 1
        return reservation

    def _soonest(
        self,
        job: Job,
        task: Task,
        candidates: StartCandidates,
        now: float,
    ) -> tuple[float, float, Endpoint] | None:
        """Return the endpoint at which a task is expected to end soonest.

        Returns:
            Expected end, time at which the capacity is free, and endpoint.
        """
        step = job.steps[task.key.step]
        seconds = job.expected_seconds[task.key.step]
        best: tuple[float, float, Endpoint] | None = None
        for endpoint in candidates.most_free(_MAX_COMPARED):
            if not is_eligible(endpoint, task, step):
                continue
            begins_at = free_at(endpoint, step.needs, self._slowness, now=now)
            slowness = self._slowness(endpoint.report.endpoint)
            end = begins_at + seconds * slowness
            if end < math.inf and (best is None or end < best[0]):
                best = (end, begins_at, endpoint)
        return best

    def _log(
        self, made: Reservation, passed_seconds: float, now: float
    ) -> Iterator[LogEvent]:
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        counts = self.counts
        yield LogEvent(
            'endpoint.reserved',
            (
                ('endpoint', made.placement.endpoint.report.endpoint),
                ('key', made.placement.job.submission.request.key),
                ('millicores', made.needs.millicores),
                ('passed_for', round(passed_seconds, _DIGITS)),
                ('begins_in', round(made.begins_at - now, _DIGITS)),
                ('reservations', counts.reservations),
                ('backfills', counts.backfills),
                ('longest_passed', round(counts.longest_passed, _DIGITS)),
            ),
        )
