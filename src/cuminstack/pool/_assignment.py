"""Gives free room to the jobs that wait for it."""

from collections.abc import Iterator
from typing import Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.pool._effects import Effect, Effects
from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._exchange import StartRun
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._placement import find_endpoint
from cuminstack.pool._queue import JobQueue, WaitingJob
from cuminstack.pool._rooms import Rooms, Starters
from cuminstack.pool._watch import LEASE_SECONDS

#: Seconds of silence of an entry after which its jobs start nothing more.
#: Shorter than it takes another dispatcher to claim what runs.
_FRESH_SECONDS: Final = 0.25


class Assigner:
    """Starts tasks of waiting jobs where there is room.

    Args:
        endpoints: All known endpoints.
        rooms: Those of them that take starts.
        queue: The waiting jobs in order.
    """

    def __init__(
        self,
        endpoints: dict[EndpointId, Endpoint],
        rooms: Rooms,
        queue: JobQueue,
    ) -> None:
        self._endpoints = endpoints
        self._rooms = rooms
        self._queue = queue
        self._entries: dict[InstanceId, float] = {}

    def entry_heard(self, entry: InstanceId, stamp: float) -> None:
        """Take that an entry had heard of this dispatcher at a time."""
        self._entries[entry] = max(stamp, self._entries.get(entry, 0))

    def assign(self, *, now: float) -> Effects:
        """Give free room to the waiting jobs."""
        least = self._queue.least_needs(now=now)
        pools = {name: Starters(self._rooms, name, now=now) for name in least}
        full = {name for name in least if pools[name].millicores < least[name]}
        effects: list[Effect] = []
        for waiting in self._queue.waiting(now=now):
            if len(full) == len(pools):
                break
            starters = pools[waiting.service]
            if not self._may_run(waiting, starters, now):
                continue
            effects.extend(self._place(waiting.job, starters, now))
            if starters.millicores < least[waiting.service]:
                full.add(waiting.service)
        return tuple(effects)

    def _may_run(
        self,
        waiting: WaitingJob,
        starters: Starters,
        now: float,
    ) -> bool:
        """Tell whether tasks of a job may be started, and may find room.

        An entry that went silent may have gone to another dispatcher.
        """
        if waiting.millicores > starters.millicores:
            return False
        job = waiting.job
        silence = now - self._entries.get(job.submission.entry, 0)
        if silence > _FRESH_SECONDS:
            return False
        if now >= job.submission.held_until:
            return True
        if job.submission.is_blind:
            return False
        return all(endpoint.has_joined for endpoint in self._endpoints.values())

    def _place(
        self,
        job: Job,
        starters: Starters,
        now: float,
    ) -> Iterator[Effect]:
        if not starters.suits(job):
            return
        for task in job.ready_tasks:
            needs = job.steps[task.key.step].needs
            if needs.millicores > starters.millicores:
                return
            endpoint = find_endpoint(starters, job, task)
            if endpoint is None:
                starters.missed()
                return
            yield self._start(endpoint, job, task, now)
            starters.measure()

    def _start(
        self,
        endpoint: Endpoint,
        job: Job,
        task: Task,
        now: float,
    ) -> StartRun:
        run = job.begin(task, endpoint.report.endpoint)
        endpoint.add(Run(run, job.steps[task.key.step].needs, sent_at=now))
        expiry = endpoint.life.clock.expiry_after(LEASE_SECONDS, now=now)
        endpoint.life.longest_expiry = max(endpoint.life.longest_expiry, expiry)
        return StartRun(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            run=run,
            payload=job.submission.request.payload,
            token=endpoint.token,
            expires_ms=expiry,
        )
