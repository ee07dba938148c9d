"""The jobs with tasks that wait for room, kept in order.

The dispatcher asks for them at every event, a few thousand times a second,
while few of them change their place between two events.
"""

import heapq
import math
from bisect import bisect_left, bisect_right, insort
from collections import defaultdict
from collections.abc import Sequence
from itertools import islice
from typing import NamedTuple

from cuminstack.pool._jobs import Job
from cuminstack.pool._orders import Order, Place, SortKey


class WaitingJob(NamedTuple):
    """A job in the queue.

    Args:
        key: Its sort key.
        number: Tells jobs of the same key apart, the first taken first.
        job: The job.
        service: Endpoints of this service run its tasks.
        work: Work of its tasks that wait.
        millicores: The least that one of its ready tasks takes; infinite if
            none is ready.
    """

    key: SortKey
    number: int
    job: Job
    service: str
    work: float
    millicores: float


class JobQueue:
    """Waiting jobs in order.

    Args:
        order: In which order waiting jobs get room.
    """

    def __init__(self, order: Order) -> None:
        self._order = order
        self._changed: dict[int, Job] = {}
        self._waiting: list[WaitingJob] = []
        self._places: dict[int, tuple[WaitingJob, float]] = {}
        # Work that runs, by number of the job.
        self._running: dict[int, float] = {}
        # What the jobs take at the least, sorted, by service.
        self._needs: defaultdict[str, list[float]] = defaultdict(list)
        # When keys stop to hold; numbers of jobs that have left may be in it.
        self._ends: list[tuple[float, int]] = []

    def note(self, job: Job) -> None:
        """Take that a job has come, changed or left."""
        self._changed[job.number] = job

    def waiting(self, *, now: float) -> Sequence[WaitingJob]:
        """List the waiting jobs in order.

        The list is changed by later calls, not by events between them.
        """
        for job in self._changed.values():
            self._put(job, now)
        self._changed.clear()
        while self._ends and self._ends[0][0] < now:
            end, number = heapq.heappop(self._ends)
            waiting, until = self._places.get(number, (None, end))
            if waiting is not None and until == end:
                self._put(waiting.job, now)
        return self._waiting

    def least_needs(self, *, now: float) -> dict[str, float]:
        """Give the least millicores that a ready task takes, by service."""
        self.waiting(now=now)
        return {name: needs[0] for name, needs in self._needs.items() if needs}

    def work_ahead(self, job: Job, *, now: float) -> float:
        """Sum up the waiting work that gets room no later than a job."""
        waiting = self.waiting(now=now)
        place = self._order(job, now)
        ahead = bisect_right(waiting, (place.key, math.inf))
        service = job.terms.service
        return sum(
            each.work
            for each in islice(waiting, ahead)
            if each.service == service
        )

    def running_work(self, *, now: float) -> float:
        """Sum up the work of all tasks that run."""
        self.waiting(now=now)
        return sum(self._running.values())

    def _put(self, job: Job, now: float) -> None:
        """Give a job its place."""
        known = self._places.pop(job.number, None)
        if known is not None:
            self._remove(known[0])
        self._running.pop(job.number, None)
        if not job.abandoned and job.running_work:
            self._running[job.number] = job.running_work
        if job.abandoned or not (job.ready_tasks or job.waiting_work):
            return
        place = self._order(job, now)
        waiting = _describe(job, place)
        insort(self._waiting, waiting)
        insort(self._needs[waiting.service], waiting.millicores)
        self._places[job.number] = (waiting, place.until)
        if place.until < math.inf:
            heapq.heappush(self._ends, (place.until, job.number))

    def _remove(self, waiting: WaitingJob) -> None:
        self._waiting.pop(bisect_left(self._waiting, waiting))
        needs = self._needs[waiting.service]
        needs.pop(bisect_left(needs, waiting.millicores))


def _describe(job: Job, place: Place) -> WaitingJob:
    return WaitingJob(
        key=place.key,
        number=job.number,
        job=job,
        service=job.terms.service,
        work=job.waiting_work,
        millicores=min(
            (needs.millicores for needs in job.ready_needs),
            default=math.inf,
        ),
    )
