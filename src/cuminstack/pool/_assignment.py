"""Assignment of free capacity to waiting jobs."""

from collections.abc import Callable, Iterator
from typing import Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.pool._effects import Effect, Effects
from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._exchange import StartRun
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._placement import find_endpoint
from cuminstack.pool._queue import JobQueue, WaitingJob
from cuminstack.pool._rooms import (
    CapacityIndex,
    StartCandidates,
    unit_slowness,
)
from cuminstack.pool._watch import LEASE_SECONDS

#: Seconds of silence of an entry instance after which none of its jobs are
#: started.  Shorter than it takes another dispatcher to claim running tasks.
_MAX_ENTRY_SILENCE_SECONDS: Final = 0.25


class Assigner:
    """Starts tasks of waiting jobs on endpoints with free capacity.

    Args:
        endpoints: All known endpoints, by id.
        capacity_index: Index of the endpoints that accept starts.
        queue: Waiting jobs in scheduling order.
        slowness: Returns the factor on run times at an endpoint, compared
            with the mean of its service.
    """

    def __init__(
        self,
        endpoints: dict[EndpointId, Endpoint],
        capacity_index: CapacityIndex,
        queue: JobQueue,
        *,
        slowness: Callable[[EndpointId], float] = unit_slowness,
    ) -> None:
        self._slowness = slowness
        self._endpoints = endpoints
        self._capacity_index = capacity_index
        self._queue = queue
        self._entry_contacts: dict[InstanceId, float] = {}
        self._last_contact: float = 0
        # Computed at most once for all jobs that wait; None until it is needed.
        self._has_joined_all: bool | None = None

    def record_entry_contact(self, entry: InstanceId, stamp: float) -> None:
        """Record that an entry instance has been in contact.

        Args:
            entry: The entry instance.
            stamp: Time of the newest message of this dispatcher that the entry
                instance had received, on this dispatcher's clock.
        """
        self._last_contact = max(stamp, self._last_contact)
        self._entry_contacts[entry] = max(
            stamp, self._entry_contacts.get(entry, 0)
        )

    def assign(self, *, now: float) -> Effects:
        """Start as many waiting tasks as fit, in scheduling order."""
        if now - self._last_contact > _MAX_ENTRY_SILENCE_SECONDS:
            # If this process is late, all entries are silent.  Looking through
            # all waiting jobs at each event would keep it late.
            return ()
        min_millicores = self._queue.min_millicores(now=now)
        candidates_of = {
            name: StartCandidates(self._capacity_index, name, now=now)
            for name in min_millicores
        }
        self._has_joined_all = None
        exhausted = {
            name
            for name in min_millicores
            if candidates_of[name].max_millicores < min_millicores[name]
        }
        effects: list[Effect] = []
        for waiting in self._queue.waiting(now=now):
            if len(exhausted) == len(candidates_of):
                break
            candidates = candidates_of[waiting.service]
            if not self._may_start(waiting, candidates, now):
                continue
            effects.extend(self._place(waiting.job, candidates, now))
            if candidates.max_millicores < min_millicores[waiting.service]:
                exhausted.add(waiting.service)
        return tuple(effects)

    def _may_start(
        self,
        waiting: WaitingJob,
        candidates: StartCandidates,
        now: float,
    ) -> bool:
        """Return whether tasks of a job may be started and may fit.

        A silent entry instance may have handed the job to another dispatcher,
        so its jobs start nothing.  A job that may still run elsewhere waits
        until its `held_until` has passed or all known endpoints have joined;
        if it may run on unknown endpoints, only the time counts.
        """
        if waiting.millicores > candidates.max_millicores:
            return False
        job = waiting.job
        silence = now - self._entry_contacts.get(job.submission.entry, 0)
        if silence > _MAX_ENTRY_SILENCE_SECONDS:
            return False
        if now >= job.submission.held_until:
            return True
        if job.submission.may_run_elsewhere:
            return False
        if self._has_joined_all is None:
            self._has_joined_all = all(
                endpoint.has_joined for endpoint in self._endpoints.values()
            )
        return self._has_joined_all

    def _place(
        self,
        job: Job,
        candidates: StartCandidates,
        now: float,
    ) -> Iterator[Effect]:
        if not candidates.may_fit(job):
            return
        for task in job.ready_tasks:
            needs = job.steps[task.key.step].needs
            if needs.millicores > candidates.max_millicores:
                return
            endpoint = find_endpoint(candidates, job, task)
            if endpoint is None:
                candidates.record_miss()
                return
            yield self._start(endpoint, job, task, now)
            candidates.refresh()

    def _start(
        self,
        endpoint: Endpoint,
        job: Job,
        task: Task,
        now: float,
    ) -> StartRun:
        run = job.begin(task, endpoint.report.endpoint)
        endpoint.add(Run(run, job.steps[task.key.step].needs, sent_at=now))
        return StartRun(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            run=run,
            payload=job.submission.request.payload,
            token=endpoint.token,
            expires_ms=endpoint.lifetime.renew_lease(LEASE_SECONDS, now=now),
        )
