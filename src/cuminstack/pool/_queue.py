"""Queue of jobs with tasks that wait for capacity, kept sorted.

The dispatcher reads the queue at every event, a few thousand times a second,
while few jobs change their rank between two events.
"""

import heapq
import math
from bisect import bisect_left, bisect_right, insort
from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from cuminstack.pool._jobs import Job
from cuminstack.pool._orders import QueueOrder, Rank, SortKey

#: Sort key and serial number of a job.
_Position = tuple[SortKey, int]


class WaitingJob(NamedTuple):
    """A job in the queue.

    Args:
        key: Sort key.
        number: Serial number of the job, which breaks ties: the first job
            taken comes first.
        job: The job.
        service: Service whose endpoints run its tasks.
        work: Work of its waiting tasks, in millicore-seconds.
        millicores: Lowest demand of its ready tasks; infinite if none is ready.
    """

    key: SortKey
    number: int
    job: Job
    service: str
    work: float
    millicores: float


class JobQueue:
    """Waiting jobs in scheduling order.

    Args:
        order: Function that ranks jobs.
    """

    def __init__(self, order: QueueOrder) -> None:
        self._order = order
        self._changed: dict[int, Job] = {}
        self._waiting: list[WaitingJob] = []
        self._ranks: dict[int, tuple[WaitingJob, float]] = {}
        # Positions of the waiting jobs of each service, in order, and the work
        # of their waiting tasks at the same indices.
        self._positions: defaultdict[str, list[_Position]] = defaultdict(list)
        self._works: defaultdict[str, list[float]] = defaultdict(list)
        # Work of running tasks, by job number, and their sum.
        self._running: dict[int, float] = {}
        self._running_total: float = 0
        # Lowest demand of each waiting job, sorted, by service.
        self._sorted_needs: defaultdict[str, list[float]] = defaultdict(list)
        # Heap of times at which ranks expire; it may contain numbers of jobs
        # that have left the queue.
        self._expiries: list[tuple[float, int]] = []

    def mark_changed(self, job: Job) -> None:
        """Mark a job that was added, changed or removed."""
        self._changed[job.number] = job

    def waiting(self, *, now: float) -> Sequence[WaitingJob]:
        """Return the waiting jobs in order.

        Later calls change the returned list; events between calls do not.
        """
        for job in self._changed.values():
            self._update(job, now)
        self._changed.clear()
        while self._expiries and self._expiries[0][0] < now:
            end, number = heapq.heappop(self._expiries)
            waiting, valid_until = self._ranks.get(number, (None, end))
            if waiting is not None and valid_until == end:
                self._update(waiting.job, now)
        return self._waiting

    def min_millicores(self, *, now: float) -> dict[str, float]:
        """Return the lowest demand of a ready task, by service."""
        self.waiting(now=now)
        return {
            name: needs[0]
            for name, needs in self._sorted_needs.items()
            if needs
        }

    def work_ahead(self, job: Job, *, now: float) -> float:
        """Return the waiting work that gets capacity no later than a job.

        Returns:
            The work of jobs of the same service, in millicore-seconds.
        """
        self.waiting(now=now)
        rank = self._order(job, now)
        service = job.terms.service
        ahead = bisect_right(self._positions[service], (rank.key, math.inf))
        return sum(self._works[service][:ahead])

    def has_others(self, job: Job, *, now: float) -> bool:
        """Return whether another job of the same service waits."""
        self.waiting(now=now)
        own = int(job.number in self._ranks)
        return len(self._positions[job.terms.service]) > own

    def running_work(self, *, now: float) -> float:
        """Return the work of all running tasks, in millicore-seconds."""
        self.waiting(now=now)
        return self._running_total

    def _update(self, job: Job, now: float) -> None:
        """Remove a job, and insert it again at its current rank if it waits."""
        known = self._ranks.pop(job.number, None)
        if known is not None:
            self._remove(known[0])
        self._update_running(job)
        if job.abandoned or not (job.ready_tasks or job.waiting_work):
            return
        rank = self._order(job, now)
        waiting = _describe(job, rank)
        insort(self._waiting, waiting)
        insort(self._sorted_needs[waiting.service], waiting.millicores)
        position = (waiting.key, waiting.number)
        index = bisect_left(self._positions[waiting.service], position)
        self._positions[waiting.service].insert(index, position)
        self._works[waiting.service].insert(index, waiting.work)
        self._ranks[job.number] = (waiting, rank.valid_until)
        if rank.valid_until < math.inf:
            heapq.heappush(self._expiries, (rank.valid_until, job.number))

    def _update_running(self, job: Job) -> None:
        self._running_total -= self._running.pop(job.number, 0)
        if not job.abandoned and job.running_work:
            self._running[job.number] = job.running_work
            self._running_total += job.running_work
        if not self._running:
            # Without the rounding errors of sums and differences.
            self._running_total = 0

    def _remove(self, waiting: WaitingJob) -> None:
        self._waiting.pop(bisect_left(self._waiting, waiting))
        positions = self._positions[waiting.service]
        index = bisect_left(positions, (waiting.key, waiting.number))
        positions.pop(index)
        self._works[waiting.service].pop(index)
        needs = self._sorted_needs[waiting.service]
        needs.pop(bisect_left(needs, waiting.millicores))


def _describe(job: Job, rank: Rank) -> WaitingJob:
    return WaitingJob(
        key=rank.key,
        number=job.number,
        job=job,
        service=job.terms.service,
        work=job.waiting_work,
        millicores=min(
            (needs.millicores for needs in job.ready_needs),
            default=math.inf,
        ),
    )
