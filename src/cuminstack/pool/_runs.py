"""What becomes of runs: they end, fail, get stuck, get lost or are claimed."""

from collections.abc import Iterator
from typing import Final

from cuminstack.core import EndpointId
from cuminstack.pool._effects import Effect, JobState, Noted
from cuminstack.pool._endpoint import Endpoint, Phase, Run
from cuminstack.pool._exchange import EndKind, EndpointView, RunEnd, StopRun
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job, Task, TaskState
from cuminstack.pool._notes import list_jobs, note_verdict
from cuminstack.pool._progress import Verdict, judge_run
from cuminstack.pool._records import RunKey

#: Times that a task is moved; if it still seems slow then, it is.
_MOST_MOVES: Final = 3


class RunKeeper:
    """Keeps the runs at endpoints and the tasks of jobs in step.

    Args:
        endpoints: All known endpoints.
        jobs: All known jobs.
    """

    def __init__(
        self,
        endpoints: dict[EndpointId, Endpoint],
        jobs: JobTable,
    ) -> None:
        self._endpoints = endpoints
        self._jobs = jobs
        # Endpoints that list unclaimed runs, or did.
        self._hosts: dict[int, Endpoint] = {}

    def lose(self, endpoint: Endpoint) -> Iterator[Effect]:
        """Take that nothing that was ordered runs at an endpoint."""
        runs = endpoint.clear()
        lost = [run.key for run in runs]
        for key in lost:
            self.requeue(key)
        if lost:
            yield Noted(
                'endpoint.runs_lost',
                (
                    ('endpoint', endpoint.report.endpoint),
                    ('phase', endpoint.phase),
                    ('runs', len(lost)),
                    ('jobs', list_jobs(lost)),
                ),
            )

    def take_view(
        self,
        endpoint: Endpoint,
        view: EndpointView,
        asked_at: float,
        now: float,
    ) -> Iterator[Effect]:
        """Take what runs and what has ended at an endpoint.

        Args:
            endpoint: The endpoint.
            view: What it lists.
            asked_at: When it was asked.
            now: The present time.
        """
        endpoint.expect_look()
        for end in view.ends:
            if end.number > endpoint.life.last_end:
                endpoint.life.last_end = end.number
                yield from self._take_end(endpoint, end, now)
        listed = {progress.run for progress in view.running}
        for key in tuple(endpoint.strangers):
            if key not in listed:
                endpoint.part(key)
        for progress in view.running:
            run = endpoint.runs.get(progress.run)
            if run is None:
                self._meet_stranger(endpoint, progress.run, now)
            else:
                yield from self._take_progress(
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
        """Free what is neither running nor listed as ended.

        While orders are being voided that goes for all of them; else an
        order that was under way with the hold may still be carried out.
        """
        voids = endpoint.phase is not Phase.ready
        for key, run in tuple(endpoint.runs.items()):
            began = run.confirmed_at
            is_settled = began is not None and began < asked_at
            if key not in listed and (voids or is_settled):
                endpoint.remove(key)
                self.requeue(key)

    def _take_progress(
        self,
        endpoint: Endpoint,
        run: Run,
        percent: float,
        now: float,
    ) -> Iterator[Effect]:
        if run.confirmed_at is None:
            run.confirmed_at = now
        job = self._jobs.find(run.key.task.job)
        if job is None or run.stopping_at is not None:
            return
        verdict = judge_run(endpoint, job, run, percent=percent, now=now)
        task = job.tasks[run.key.task]
        if verdict is Verdict.leave or task.moves >= _MOST_MOVES:
            return
        task.moves += 1
        task.failed_on = (*task.failed_on, endpoint.report.endpoint)
        endpoint.health.put_aside(now=now)
        yield note_verdict(endpoint, run, verdict)
        yield self._stop(endpoint, run, now)

    def _take_end(
        self,
        endpoint: Endpoint,
        end: RunEnd,
        now: float,
    ) -> Iterator[Effect]:
        endpoint.part(end.run)
        run = endpoint.remove(end.run)
        job = self._jobs.find(end.run.task.job)
        task = self._jobs.find_task(end.run.task)
        if run is None or job is None or task is None:
            return
        job.requeue(task)
        if end.kind is EndKind.done:
            yield from self._task_done(endpoint, job, task, run, now)
        elif end.kind is EndKind.failed and not job.abandoned:
            yield from self._task_failed(endpoint, job, task, now)
        self._jobs.settle(job)

    def _task_done(
        self,
        endpoint: Endpoint,
        job: Job,
        task: Task,
        run: Run,
        now: float,
    ) -> Iterator[Effect]:
        seconds = now - (run.confirmed_at or run.sent_at)
        expected = job.seconds[task.key.step]
        place = endpoint.report.endpoint
        ratio = seconds / expected
        elsewhere = job.sibling_ratio(task.key, place)
        job.ratios[task.key] = (place, ratio)
        endpoint.health.succeeded(ratio / (elsewhere or ratio))
        self._jobs.learn(job, task, seconds)
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
        if endpoint.health.failed(key.job, now=now):
            yield Noted(
                'endpoint.put_aside',
                (('endpoint', endpoint.report.endpoint), ('cause', 'failures')),
            )
        task.failures += 1
        task.failed_on = (*task.failed_on, endpoint.report.endpoint)
        if task.failures < job.terms.attempts:
            return
        if len(set(task.failed_on)) > 1:
            self._absolve(job)
        yield self._jobs.end(job, JobState.failed, now=now)
        yield from self.stop_all(job, now)

    def _absolve(self, job: Job) -> None:
        """Take that a job fails wherever it runs."""
        for task in job.tasks.values():
            for name in task.failed_on:
                blamed = self._endpoints.get(name)
                if blamed is not None:
                    blamed.health.absolve(task.key.job)

    def stop_all(self, job: Job, now: float) -> Iterator[Effect]:
        """Stop what runs of a job."""
        for task in job.tasks.values():
            if task.state is not TaskState.placed or task.endpoint is None:
                continue
            endpoint = self._endpoints.get(task.endpoint)
            key = RunKey(task.key, task.number)
            run = None if endpoint is None else endpoint.runs.get(key)
            if endpoint is not None and run is not None:
                yield self._stop(endpoint, run, now)
        self._jobs.settle(job)

    def _stop(self, endpoint: Endpoint, run: Run, now: float) -> StopRun:
        run.stopping_at = now
        endpoint.expect_look()
        return StopRun(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            run=run.key,
            token=endpoint.token,
        )

    def requeue(self, key: RunKey) -> None:
        """Take that a run has ended, or was never begun."""
        task = self._jobs.find_task(key.task)
        job = self._jobs.find(key.task.job)
        if task is None or job is None or task.number != key.number:
            return
        if task.state is TaskState.placed:
            job.requeue(task)
        self._jobs.settle(job)

    def _meet_stranger(
        self,
        endpoint: Endpoint,
        key: RunKey,
        now: float,
    ) -> None:
        endpoint.meet(key)
        self._hosts[endpoint.number] = endpoint
        job = self._jobs.find(key.task.job)
        if job is not None:
            self.claim(job, now=now)

    def claim(self, job: Job, *, now: float) -> None:
        """Take up runs of a job that another dispatcher started."""
        # The endpoint that was known first has the run, if two list it.
        for number in sorted(self._hosts):
            endpoint = self._hosts[number]
            if not endpoint.strangers:
                self._hosts.pop(number)
            for key in tuple(endpoint.strangers):
                task = job.tasks.get(key.task)
                if task is None or task.state is not TaskState.waiting:
                    continue
                endpoint.part(key)
                needs = job.steps[task.key.step].needs
                run = Run(key, needs, sent_at=now, confirmed_at=now)
                endpoint.add(run)
                job.claim(task, key, endpoint.report.endpoint)
