"""Tracking of runs: ends, failures, stalls, losses and takeovers."""

from collections.abc import Iterator
from itertools import islice
from typing import Final

from cuminstack.core import EndpointId
from cuminstack.pool._effects import Effect, JobState, LogEvent
from cuminstack.pool._endpoint import Endpoint, Phase, Run
from cuminstack.pool._exchange import EndKind, EndpointView, RunEnd, StopRun
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job, Task, TaskState
from cuminstack.pool._notes import list_jobs, moved_event
from cuminstack.pool._progress import RunAssessor, Verdict
from cuminstack.pool._records import RunKey, TaskKey

#: Times that a task is moved at most; if it still seems slow after that, the
#: task itself is slow.
_MAX_MOVES: Final = 3
#: Seconds for which the end of a foreign run is kept.  Its job is handed over
#: soon after a dispatcher leads, or not at all.
_FOREIGN_END_SECONDS: Final = 5.0


class RunTracker:
    """Keeps the states of tasks consistent with the runs at endpoints.

    Args:
        endpoints: All known endpoints, by id.
        jobs: All known jobs.
        assessor: Assesses runs by their progress and run times.
    """

    def __init__(
        self,
        endpoints: dict[EndpointId, Endpoint],
        jobs: JobTable,
        assessor: RunAssessor,
    ) -> None:
        self._endpoints = endpoints
        self._jobs = jobs
        self._assessor = assessor
        # Endpoints that list foreign runs, or did.
        self._foreign_run_hosts: dict[int, Endpoint] = {}
        # Tasks whose runs of another dispatcher are done, and since when, the
        # oldest first.
        self._foreign_ends: dict[TaskKey, float] = {}

    def requeue_lost_runs(self, endpoint: Endpoint) -> Iterator[Effect]:
        """Requeue the tasks of all runs of an endpoint, as none can be running.

        Yields:
            A log event, if there were any runs.
        """
        runs = endpoint.clear()
        lost = [run.key for run in runs]
        for key in lost:
            self.requeue(key)
        if lost:
            yield LogEvent(
                'endpoint.runs_lost',
                (
                    ('endpoint', endpoint.report.endpoint),
                    ('phase', endpoint.phase),
                    ('runs', len(lost)),
                    ('jobs', list_jobs(lost)),
                ),
            )

    def apply_view(
        self,
        endpoint: Endpoint,
        view: EndpointView,
        asked_at: float,
        now: float,
    ) -> Iterator[Effect]:
        """Apply the lists of running and ended runs of an endpoint.

        Args:
            endpoint: The endpoint.
            view: Its answer to a hold.
            asked_at: Time at which the hold was sent.
            now: Current time in seconds.

        Yields:
            Ends of jobs, stops of runs, and log events.
        """
        endpoint.request_check()
        for end in view.ends:
            if end.number > endpoint.lifetime.last_end:
                endpoint.lifetime.last_end = end.number
                yield from self._apply_end(endpoint, end, now)
        listed = {progress.run for progress in view.running}
        for key in tuple(endpoint.foreign_runs):
            if key not in listed:
                endpoint.remove_foreign_run(key)
        for progress in view.running:
            run = endpoint.runs.get(progress.run)
            if run is None:
                self._record_foreign_run(endpoint, progress.run, now)
            else:
                yield from self._update_progress(
                    endpoint,
                    run,
                    progress.percent,
                    now,
                )
        self._drop_unlisted(endpoint, listed, asked_at)

    def _drop_unlisted(
        self,
        endpoint: Endpoint,
        listed: set[RunKey],
        asked_at: float,
    ) -> None:
        """Free the resources of runs listed neither as running nor as ended.

        While orders are being voided, this applies to all such runs.  Otherwise
        it applies only to runs confirmed before the hold was sent, as a start
        that was under way with the hold may still be carried out.
        """
        is_voiding = endpoint.phase is not Phase.ready
        for key, run in tuple(endpoint.runs.items()):
            confirmed_at = run.confirmed_at
            was_confirmed = confirmed_at is not None and confirmed_at < asked_at
            if key not in listed and (is_voiding or was_confirmed):
                endpoint.remove(key)
                self.requeue(key)

    def _update_progress(
        self,
        endpoint: Endpoint,
        run: Run,
        percent: float,
        now: float,
    ) -> Iterator[Effect]:
        if run.confirmed_at is None:
            run.confirmed_at = now
        job = self._jobs.find(run.key.task.job)
        if job is None or run.stop_sent_at is not None:
            return
        verdict = self._assessor.check_progress(
            endpoint, job, run, percent=percent, now=now
        )
        task = job.tasks[run.key.task]
        if verdict is Verdict.leave or task.moves >= _MAX_MOVES:
            return
        task.moves += 1
        task.failed_on = (*task.failed_on, endpoint.report.endpoint)
        endpoint.health.quarantine(now=now)
        yield moved_event(endpoint, run, verdict, self._assessor.speeds)
        yield self._stop(endpoint, run, now)

    def _apply_end(
        self,
        endpoint: Endpoint,
        end: RunEnd,
        now: float,
    ) -> Iterator[Effect]:
        endpoint.remove_foreign_run(end.run)
        run = endpoint.remove(end.run)
        job = self._jobs.find(end.run.task.job)
        task = self._jobs.find_task(end.run.task)
        if run is None and end.kind is EndKind.done:
            self._record_foreign_end(end.run.task, now)
            if job is not None:
                yield from self.apply_foreign_ends(job, now=now)
        if run is None or job is None or task is None:
            return
        job.requeue(task)
        if end.kind is EndKind.done:
            yield from self._task_done(endpoint, job, task, run, now)
        elif end.kind is EndKind.failed and not job.abandoned:
            yield from self._task_failed(endpoint, job, task, now)
        self._jobs.discard_if_done(job)

    def _task_done(
        self,
        endpoint: Endpoint,
        job: Job,
        task: Task,
        run: Run,
        now: float,
    ) -> Iterator[Effect]:
        self._assessor.record_done(endpoint, job, task, run, now=now)
        job.finish(task)
        if job.is_done and not job.abandoned:
            yield self._jobs.end(job, JobState.completed, now=now)

    def _task_failed(
        self,
        endpoint: Endpoint,
        job: Job,
        task: Task,
        now: float,
    ) -> Iterator[Effect]:
        key = task.key
        if endpoint.health.record_failure(key.job, now=now):
            yield LogEvent(
                'endpoint.put_aside',
                (('endpoint', endpoint.report.endpoint), ('cause', 'failures')),
            )
        task.failures += 1
        task.failed_on = (*task.failed_on, endpoint.report.endpoint)
        if task.failures < job.terms.attempts:
            return
        if len(set(task.failed_on)) > 1:
            self._discard_failures(job)
        yield self._jobs.end(job, JobState.failed, now=now)
        yield from self.stop_all(job, now)

    def _discard_failures(self, job: Job) -> None:
        """Clear endpoints of the failures of a job that fails on several."""
        for task in job.tasks.values():
            for name in task.failed_on:
                endpoint = self._endpoints.get(name)
                if endpoint is not None:
                    endpoint.health.discard_failure(task.key.job)

    def stop_all(self, job: Job, now: float) -> Iterator[Effect]:
        """Stop all runs of a job."""
        for task in job.tasks.values():
            if task.state is not TaskState.placed or task.endpoint is None:
                continue
            endpoint = self._endpoints.get(task.endpoint)
            key = RunKey(task.key, task.number)
            run = None if endpoint is None else endpoint.runs.get(key)
            if endpoint is not None and run is not None:
                yield self._stop(endpoint, run, now)
        self._jobs.discard_if_done(job)

    def _stop(self, endpoint: Endpoint, run: Run, now: float) -> StopRun:
        run.stop_sent_at = now
        endpoint.request_check()
        return StopRun(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            run=run.key,
            token=endpoint.token,
        )

    def requeue(self, key: RunKey) -> None:
        """Requeue the task of a run that has ended or never begun."""
        task = self._jobs.find_task(key.task)
        job = self._jobs.find(key.task.job)
        if task is None or job is None or task.number != key.number:
            return
        if task.state is TaskState.placed:
            job.requeue(task)
        self._jobs.discard_if_done(job)

    def _record_foreign_run(
        self,
        endpoint: Endpoint,
        key: RunKey,
        now: float,
    ) -> None:
        endpoint.add_foreign_run(key)
        self._foreign_run_hosts[endpoint.number] = endpoint
        job = self._jobs.find(key.task.job)
        if job is not None:
            self.claim(job, now=now)

    def _record_foreign_end(self, task: TaskKey, now: float) -> None:
        self._foreign_ends.pop(task, None)
        self._foreign_ends[task] = now
        for oldest, since in tuple(islice(self._foreign_ends.items(), 2)):
            if now - since > _FOREIGN_END_SECONDS:
                self._foreign_ends.pop(oldest)

    def apply_foreign_ends(self, job: Job, *, now: float) -> Iterator[Effect]:
        """Finish waiting tasks that another dispatcher's runs have done.

        Yields:
            The end of the job, if all its tasks are done.
        """
        if job.abandoned:
            return
        for key, task in job.tasks.items():
            is_done = key in self._foreign_ends
            if is_done and task.state is TaskState.waiting:
                job.finish(task)
        if job.is_done:
            yield self._jobs.end(job, JobState.completed, now=now)
            self._jobs.discard_if_done(job)

    def claim(self, job: Job, *, now: float) -> None:
        """Take over the runs of a job that another dispatcher started."""
        # If two endpoints list a run, the one that was known first has it.
        for number in sorted(self._foreign_run_hosts):
            endpoint = self._foreign_run_hosts[number]
            if not endpoint.foreign_runs:
                self._foreign_run_hosts.pop(number)
            for key in tuple(endpoint.foreign_runs):
                task = job.tasks.get(key.task)
                if task is None or task.state is not TaskState.waiting:
                    continue
                endpoint.remove_foreign_run(key)
                needs = job.steps[task.key.step].needs
                run = Run(
                    key,
                    needs,
                    sent_at=now,
                    confirmed_at=now,
                    is_claimed=True,
                    expected_seconds=job.expected_seconds[task.key.step],
                )
                endpoint.add(run)
                job.claim(task, key, endpoint.report.endpoint)
