"""Gives free room to the jobs that wait for it."""

from collections.abc import Iterator
from typing import Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._orders import Order
from cuminstack.pool._placement import find_endpoint
from cuminstack.pool._records import Effect, Effects, StartRun
from cuminstack.pool._watch import LEASE_SECONDS

#: Seconds of silence of an entry after which its jobs start nothing more.
#: Shorter than it takes another dispatcher to claim what runs.
_FRESH_SECONDS: Final = 0.25


class Assigner:
    """Starts tasks of waiting jobs where there is room.

    Args:
        endpoints: All known endpoints.
        jobs: All known jobs.
        order: In which order waiting jobs get room.
    """

    def __init__(
        self,
        endpoints: dict[EndpointId, Endpoint],
        jobs: JobTable,
        *,
        order: Order,
    ) -> None:
        self._endpoints = endpoints
        self._jobs = jobs
        self._order = order
        self._entries: dict[InstanceId, float] = {}

    def entry_heard(self, entry: InstanceId, stamp: float) -> None:
        """Take that an entry had heard of this dispatcher at a time."""
        self._entries[entry] = max(stamp, self._entries.get(entry, 0))

    def assign(self, *, now: float) -> Effects:
        """Give free room to the waiting jobs."""
        waiting = [job for job in self._jobs.live if self._may_run(job, now)]
        if not waiting:
            return ()
        waiting.sort(key=lambda job: self._order(job, now))
        starters: dict[str, list[Endpoint]] = {}
        effects: list[Effect] = []
        for job in waiting:
            service = job.terms.service
            if service not in starters:
                starters[service] = self._starters(service, now)
            effects.extend(self._place(job, starters[service], now))
        return tuple(effects)

    def pool_of(self, service: str) -> tuple[Endpoint, ...]:
        """List the endpoints of a service."""
        return tuple(
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.report.service == service
        )

    def _may_run(self, job: Job, now: float) -> bool:
        """Tell whether tasks of a job may be started.

        An entry that went silent may have gone to another dispatcher.
        """
        if next(job.ready_tasks(), None) is None:
            return False
        silence = now - self._entries.get(job.submission.entry, 0)
        if silence > _FRESH_SECONDS:
            return False
        if now >= job.submission.held_until:
            return True
        if job.submission.is_blind:
            return False
        return all(endpoint.has_joined for endpoint in self._endpoints.values())

    def _starters(self, service: str, now: float) -> list[Endpoint]:
        """List the endpoints that may get starts.

        Those put aside are among them only if no others are left.
        """
        takers = [each for each in self.pool_of(service) if each.takes_starts]
        sound = [each for each in takers if not each.health.is_aside(now=now)]
        return sound or takers

    def _place(
        self,
        job: Job,
        endpoints: list[Endpoint],
        now: float,
    ) -> Iterator[Effect]:
        for task in tuple(job.ready_tasks()):
            endpoint = find_endpoint(endpoints, job, task, now=now)
            if endpoint is None:
                return
            yield self._start(endpoint, job, task, now)

    def _start(
        self,
        endpoint: Endpoint,
        job: Job,
        task: Task,
        now: float,
    ) -> StartRun:
        run = self._jobs.next_run(task)
        task.endpoint = endpoint.report.endpoint
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
