"""Assignment of free capacity to waiting jobs."""

import math
from collections.abc import Callable, Iterator, Mapping
from itertools import islice
from typing import Final

from cuminstack.core import EndpointId, InstanceId
from cuminstack.pool._effects import Effect, Effects
from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._exchange import StartRun
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._lookahead import (
    MAX_RESERVATIONS,
    LookAhead,
    LookAheadCounts,
)
from cuminstack.pool._placement import find_endpoint
from cuminstack.pool._queue import JobQueue, WaitingJob
from cuminstack.pool._rooms import CapacityIndex, StartCandidates
from cuminstack.pool._speed_classes import unit_slowness
from cuminstack.pool._watch import LEASE_SECONDS

#: Seconds of silence of an entry instance after which none of its jobs are
#: started.  Shorter than it takes another dispatcher to claim running tasks.
_MAX_ENTRY_SILENCE_SECONDS: Final = 0.25
#: Waiting jobs that are tried for backfill at each event at most.
_MAX_BACKFILLED: Final = 8


class Assigner:
    """Starts tasks of waiting jobs on endpoints with free capacity.

    Args:
        endpoints: All known endpoints, by id.
        capacity_index: Index of the endpoints that accept starts.
        queue: Waiting jobs in scheduling order.
        slowness: Returns the factor on run times at an endpoint, compared
            with the mean of its service.
        max_reservations: Endpoints that are reserved at a time at most, for
            tasks that fit into no gap.
    """

    def __init__(
        self,
        endpoints: dict[EndpointId, Endpoint],
        capacity_index: CapacityIndex,
        queue: JobQueue,
        *,
        slowness: Callable[[EndpointId], float] = unit_slowness,
        max_reservations: int = MAX_RESERVATIONS,
    ) -> None:
        self._look_ahead = LookAhead(
            slowness, max_reservations=max_reservations
        )
        self._endpoints = endpoints
        self._capacity_index = capacity_index
        self._queue = queue
        self._entry_contacts: dict[InstanceId, float] = {}
        self._last_contact: float = 0
        # The first job of each service that the present assignment skipped.
        self._skipped: dict[str, Job] = {}
        # Computed at most once for all jobs that wait; None until it is needed.
        self._has_joined_all: bool | None = None

    @property
    def look_ahead_counts(self) -> LookAheadCounts:
        """Counts of reservations and backfills."""
        return self._look_ahead.counts

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
        self._has_joined_all = None
        is_active = self._look_ahead.is_active
        reserved_starts = tuple(self._start_reserved(now)) if is_active else ()
        min_millicores = self._queue.min_millicores(now=now)
        candidates_of = {
            name: StartCandidates(
                self._capacity_index,
                name,
                now=now,
                reserved=self._look_ahead.reservations.endpoints,
            )
            for name in min_millicores
        }
        self._skipped.clear()
        if not is_active:
            return tuple(
                self._start_in_order(candidates_of, min_millicores, now)
            )
        return (
            *reserved_starts,
            *self._look_ahead.reserve(candidates_of, now=now),
            *self._start_in_order(candidates_of, min_millicores, now),
            *self._backfill(now),
        )

    def _start_in_order(
        self,
        candidates_of: Mapping[str, StartCandidates],
        min_millicores: Mapping[str, float],
        now: float,
    ) -> Iterator[Effect]:
        exhausted = {
            name
            for name in min_millicores
            if candidates_of[name].max_millicores < min_millicores[name]
        }
        for waiting in self._queue.waiting(now=now):
            if len(exhausted) == len(candidates_of):
                break
            candidates = candidates_of[waiting.service]
            if self._may_start(waiting, candidates, now):
                yield from self._start_job(waiting, candidates, now)
                if candidates.max_millicores < min_millicores[waiting.service]:
                    exhausted.add(waiting.service)
            elif waiting.service not in self._skipped:
                self._skip_if_blocked(waiting, candidates, now)

    def _start_job(
        self,
        waiting: WaitingJob,
        candidates: StartCandidates,
        now: float,
    ) -> Iterator[Effect]:
        """Start what fits of a job, which may be passing over another one."""
        has_started = False
        for start in self._place(waiting.job, candidates, now):
            has_started = True
            yield start
        if not has_started:
            self._skipped.setdefault(waiting.service, waiting.job)
        elif waiting.service in self._skipped:
            skipped = self._skipped.pop(waiting.service)
            self._look_ahead.pass_over(skipped, now=now)

    def _start_reserved(self, now: float) -> Iterator[Effect]:
        for endpoint, job, task in self._look_ahead.due(now=now):
            if self._may_run(job, now):
                yield self._start(endpoint, job, task, now)

    def _backfill(self, now: float) -> Iterator[Effect]:
        if not self._look_ahead.reservations:
            return
        waiting_jobs = tuple(
            waiting
            for waiting in islice(self._queue.waiting(now=now), _MAX_BACKFILLED)
            if self._may_run(waiting.job, now)
        )
        for endpoint, job, task in self._look_ahead.backfill(
            waiting_jobs, now=now
        ):
            yield self._start(endpoint, job, task, now)

    def _may_start(
        self,
        waiting: WaitingJob,
        candidates: StartCandidates,
        now: float,
    ) -> bool:
        """Return whether tasks of a job may be started and may fit."""
        if waiting.millicores > candidates.max_millicores:
            return False
        return self._may_run(waiting.job, now)

    def _skip_if_blocked(
        self,
        waiting: WaitingJob,
        candidates: StartCandidates,
        now: float,
    ) -> None:
        """Record a job that waits only for a larger gap."""
        is_larger = candidates.max_millicores < waiting.millicores < math.inf
        if is_larger and self._may_run(waiting.job, now):
            self._skipped[waiting.service] = waiting.job

    def _may_run(self, job: Job, now: float) -> bool:
        """Return whether tasks of a job may be started.

        A silent entry instance may have handed the job to another dispatcher,
        so its jobs start nothing.  A job that may still run elsewhere waits
        until its `held_until` has passed or all known endpoints have joined;
        if it may run on unknown endpoints, only the time counts.
        """
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
        number = task.key.step
        endpoint.add(
            Run(
                run,
                job.steps[number].needs,
                sent_at=now,
                expected_seconds=job.expected_seconds[number],
            )
        )
        return StartRun(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            run=run,
            payload=job.submission.request.payload,
            token=endpoint.token,
            expires_ms=endpoint.lifetime.renew_lease(LEASE_SECONDS, now=now),
        )
