"""Decides which task of which job starts on which endpoint, for one term."""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.pool._admission import refusal_of
from cuminstack.pool._endpoint import Endpoint, Phase, Run
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job, Submission, Task, TaskState
from cuminstack.pool._orders import Order
from cuminstack.pool._placement import find_endpoint
from cuminstack.pool._progress import Verdict, judge_run
from cuminstack.pool._records import (
    Effect,
    Effects,
    EndKind,
    EndpointReport,
    EndpointView,
    Fenced,
    Hold,
    JobEnded,
    JobRefused,
    JobState,
    Noted,
    Refusal,
    RunEnd,
    RunKey,
    StartRun,
    StopRun,
)
from cuminstack.pool._watch import LEASE_SECONDS, EndpointWatch

#: Seconds of silence after which an endpoint is forgotten.  It sends a
#: heartbeat each 1.5 s, but may be cut off for a while and run on orders of
#: another dispatcher.
_FORGET_SECONDS: Final = 20.0
#: Seconds of silence of an entry after which its jobs start nothing more.
#: Shorter than it takes another dispatcher to claim what runs.
_FRESH_SECONDS: Final = 0.25
#: Times that a task is moved; if it still seems slow then, it is.
_MOST_MOVES: Final = 3
#: Refusals after which an endpoint is asked what runs there.
_VOIDING_REFUSALS: Final = frozenset(
    (Refusal.fenced, Refusal.room, Refusal.unreachable, Refusal.late),
)


class Dispatcher:
    """Owns all endpoints of a connected set of instances for one term.

    Events come with the present time and give the orders that follow.

    Args:
        term: Number of the term; above that of all dispatchers before.
        instance: Number of this instance, unique in the deployment.
        order: In which order waiting jobs get room.
    """

    def __init__(
        self,
        *,
        term: int,
        instance: int,
        order: Order,
    ) -> None:
        self._order = order
        self._watch = EndpointWatch(term=term, instance=instance)
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._heard_at: dict[EndpointId, float] = {}
        self._jobs = JobTable(term=term)
        self._entries: dict[InstanceId, float] = {}

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All known endpoints."""
        return tuple(self._endpoints.values())

    @property
    def waiting(self) -> dict[str, int]:
        """Jobs of which nothing was started, by queue."""
        counts: defaultdict[str, int] = defaultdict(int)
        for job in self._jobs.live:
            counts[job.terms.name] += not job.is_started
        return counts

    def knows(self, key: JobKey) -> bool:
        """Tell whether a job is here and someone waits for it."""
        job = self._jobs.find(key)
        return job is not None and not job.abandoned

    def entry_of(self, key: JobKey) -> InstanceId | None:
        """Give the entry that handed a job over last."""
        job = self._jobs.find(key)
        return None if job is None else job.submission.entry

    def begin_term(self, term: int, *, now: float) -> Effects:
        """Go on in a later term, with tokens above those of a rival."""
        self._watch.begin_term(term)
        self._jobs.begin_term(term)
        effects: list[Effect] = []
        for endpoint in self._endpoints.values():
            endpoint.has_joined = False
            effects.extend(self._watch.void(endpoint, 'term', now=now))
        return tuple(effects)

    def answer_of(self, key: JobKey) -> JobState | None:
        """Give the answer of a job that ended a short while ago."""
        return self._jobs.answer_of(key)

    def entry_heard(self, entry: InstanceId, stamp: float) -> None:
        """Take that an entry had heard of this dispatcher at a time."""
        self._entries[entry] = max(stamp, self._entries.get(entry, 0))

    def observe(self, report: EndpointReport, *, now: float) -> Effects:
        """Take a heartbeat of an endpoint."""
        known = self._endpoints.get(report.endpoint)
        if known is None:
            token = self._watch.tokens.take()
            known = Endpoint(report, token=token, now=now)
            self._endpoints[report.endpoint] = known
        if not _is_newer(report, known.report):
            return ()
        self._heard_at[report.endpoint] = now
        known.report = report
        known.silences = 0
        if report.lifetime > known.lifetime:
            return tuple(self._restarted(known, report.lifetime, now))
        return tuple(self._watch.tend(known, now=now))

    def forget(self, endpoint: EndpointId, *, now: float) -> Effects:
        """Take that an endpoint has left or was replaced."""
        left = self._endpoints.pop(endpoint, None)
        self._heard_at.pop(endpoint, None)
        if left is None:
            return ()
        left.phase = Phase.gone
        return (*self._lose_runs(left, now), *self._assign(now))

    def submit(self, submission: Submission, *, now: float) -> Effects:
        """Take a job of an entry, or refuse it."""
        key = submission.request.key
        entry = submission.entry
        answer = self._jobs.answer_of(key)
        if answer is not None:
            return (JobEnded(key, entry, answer),)
        if not self.knows(key):
            refusal = refusal_of(
                submission,
                self._pool_of(submission.terms.service),
                self._jobs.live,
                now=now,
            )
            if refusal is not None:
                return (refusal, _note_refusal(refusal))
        job = self._jobs.add(submission)
        self._claim_strangers(job, now)
        return self._assign(now)

    def drop(self, key: JobKey, *, now: float) -> Effects:
        """Stop a job that nobody waits for any more."""
        job = self._jobs.find(key)
        if job is None or job.abandoned:
            return ()
        self._jobs.abandon(job, now=now)
        return (*self._stop_runs(job, now), *self._assign(now))

    def start_answered(
        self,
        order: StartRun,
        clock_ms: int,
        *,
        asked_at: float,
        now: float,
    ) -> Effects:
        """Take that a run has begun."""
        endpoint = self._endpoints.get(order.endpoint)
        run = None if endpoint is None else endpoint.runs.get(order.run)
        if endpoint is None or run is None:
            return ()
        endpoint.clock.read(clock_ms, asked_at=asked_at, now=now)
        if run.confirmed_at is None:
            run.confirmed_at = now
        return ()

    def start_refused(
        self,
        order: StartRun,
        refusal: Refusal,
        *,
        now: float,
    ) -> Effects:
        """Take that a run was refused, so that it has not begun."""
        endpoint = self._endpoints.get(order.endpoint)
        if endpoint is None:
            return ()
        if refusal is Refusal.other_lifetime:
            return self.forget(order.endpoint, now=now)
        is_current = order.token == endpoint.token
        if not is_current or endpoint.remove(order.run) is None:
            return ()
        self._requeue(order.run)
        effects: list[Effect] = [_note_start_refused(order, refusal)]
        if refusal is Refusal.unhealthy:
            endpoint.health.put_aside(now=now)
        elif refusal in _VOIDING_REFUSALS:
            cause = refusal.value
            effects.extend(self._watch.void(endpoint, cause, now=now))
        return (*effects, *self._assign(now))

    def unanswered(self, order: StartRun | Hold, *, now: float) -> Effects:
        """Take that an order may have been carried out, or may be later."""
        endpoint = self._endpoints.get(order.endpoint)
        if endpoint is None or order.token != endpoint.token:
            return ()
        if endpoint.phase is not Phase.ready:
            return ()
        return tuple(self._watch.void(endpoint, 'no_answer', now=now))

    def hold_refused(
        self,
        order: Hold,
        refusal: Refusal,
        *,
        now: float,
    ) -> Effects:
        """Take that a hold was refused."""
        endpoint = self._endpoints.get(order.endpoint)
        if endpoint is None:
            return ()
        if refusal is Refusal.other_lifetime:
            return self.forget(order.endpoint, now=now)
        if order.token != endpoint.token:
            return ()
        if refusal is Refusal.fenced:
            return (Fenced(order.endpoint),)
        if endpoint.phase is not Phase.ready:
            return ()
        return tuple(self._watch.void(endpoint, refusal.value, now=now))

    def hold_answered(
        self,
        order: Hold,
        view: EndpointView,
        *,
        asked_at: float,
        now: float,
    ) -> Effects:
        """Take what runs and what has ended at an endpoint."""
        endpoint = self._endpoints.get(order.endpoint)
        if endpoint is None or order.token != endpoint.token:
            return ()
        if view.lifetime != endpoint.lifetime and view.lifetime:
            if endpoint.lifetime and view.lifetime < endpoint.lifetime:
                return ()
            if endpoint.lifetime:
                return tuple(self._restarted(endpoint, view.lifetime, now))
            endpoint.lifetime = view.lifetime
        self._heard_at[order.endpoint] = now
        if endpoint.hold is not None and endpoint.hold.number == order.number:
            endpoint.hold = None
        endpoint.silences = 0
        endpoint.clock.read(view.clock_ms, asked_at=asked_at, now=now)
        endpoint.acknowledged_end = max(
            endpoint.acknowledged_end,
            order.last_end,
        )
        effects = list(self._take_view(endpoint, view, asked_at, now))
        if endpoint.phase is not Phase.ready:
            effects.append(_note_ready(endpoint, view))
            endpoint.phase = Phase.ready
            endpoint.has_joined = True
        effects.extend(self._assign(now))
        effects.extend(self._watch.tend(endpoint, now=now))
        return tuple(effects)

    def tick(self, *, now: float) -> Effects:
        """Do what is due; call many times a second."""
        effects: list[Effect] = []
        for endpoint in tuple(self._endpoints.values()):
            effects.extend(self._watch.tend(endpoint, now=now))
            effects.extend(self._write_off(endpoint, now))
        self._jobs.sweep(now=now)
        effects.extend(self._assign(now))
        return tuple(effects)

    def _write_off(self, endpoint: Endpoint, now: float) -> Iterator[Effect]:
        if endpoint.phase is Phase.voiding and now > endpoint.lapses_at:
            endpoint.phase = Phase.silent
            yield from self._lose_runs(endpoint, now)
        name = endpoint.report.endpoint
        silence = now - self._heard_at.get(name, now)
        if silence > _FORGET_SECONDS and not endpoint.runs:
            yield from self.forget(name, now=now)

    def _restarted(
        self,
        endpoint: Endpoint,
        lifetime: int,
        now: float,
    ) -> Iterator[Effect]:
        """Begin anew with an endpoint that has forgotten everything."""
        yield from self._lose_runs(endpoint, now)
        endpoint.begin_lifetime(lifetime)
        endpoint.fence(self._watch.tokens.take(), Phase.joining, now=now)
        yield from self._watch.tend(endpoint, now=now)

    def _lose_runs(self, endpoint: Endpoint, now: float) -> Iterator[Effect]:
        runs = endpoint.clear()
        for run in runs:
            self._requeue(run.key)
        if runs:
            yield Noted(
                'endpoint.runs_lost',
                (
                    ('endpoint', endpoint.report.endpoint),
                    ('phase', endpoint.phase),
                    ('runs', len(runs)),
                ),
            )

    def _take_view(
        self,
        endpoint: Endpoint,
        view: EndpointView,
        asked_at: float,
        now: float,
    ) -> Iterator[Effect]:
        for end in view.ends:
            if end.number > endpoint.last_end:
                endpoint.last_end = end.number
                yield from self._take_end(endpoint, end, now)
        listed = {progress.run for progress in view.running}
        for key in tuple(endpoint.strangers):
            if key not in listed:
                endpoint.strangers.discard(key)
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
                self._requeue(key)

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
        yield _note_verdict(endpoint, run, verdict)
        yield self._stop(endpoint, run, now)

    def _take_end(
        self,
        endpoint: Endpoint,
        end: RunEnd,
        now: float,
    ) -> Iterator[Effect]:
        endpoint.strangers.discard(end.run)
        run = endpoint.remove(end.run)
        job = self._jobs.find(end.run.task.job)
        task = self._jobs.find_task(end.run.task)
        if run is None or job is None or task is None:
            return
        task.state = TaskState.waiting
        if end.kind is EndKind.done:
            yield from self._task_done(endpoint, job, task, run, now)
        elif end.kind is EndKind.failed:
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
        if task.failures < job.terms.attempts or job.abandoned:
            return
        for name in task.failed_on:
            blamed = self._endpoints.get(name)
            if blamed is not None and task.failures > 1:
                blamed.health.absolve(key.job)
        yield self._jobs.end(job, JobState.failed, now=now)
        yield from self._stop_runs(job, now)

    def _stop_runs(self, job: Job, now: float) -> Iterator[Effect]:
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
        return StopRun(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            run=run.key,
            token=endpoint.token,
        )

    def _requeue(self, key: RunKey) -> None:
        """Take that a run has ended, or was never begun."""
        task = self._jobs.find_task(key.task)
        job = self._jobs.find(key.task.job)
        if task is None or job is None or task.number != key.number:
            return
        if task.state is TaskState.placed:
            task.state = TaskState.waiting
        self._jobs.settle(job)

    def _meet_stranger(
        self,
        endpoint: Endpoint,
        key: RunKey,
        now: float,
    ) -> None:
        endpoint.strangers.add(key)
        job = self._jobs.find(key.task.job)
        if job is not None:
            self._claim_strangers(job, now)

    def _claim_strangers(self, job: Job, now: float) -> None:
        """Take up runs of a job that another dispatcher started."""
        for endpoint in self._endpoints.values():
            for key in tuple(endpoint.strangers):
                task = job.tasks.get(key.task)
                if task is None or task.state is not TaskState.waiting:
                    continue
                endpoint.strangers.discard(key)
                needs = job.steps[task.key.step].needs
                run = Run(key, needs, sent_at=now, confirmed_at=now)
                endpoint.add(run)
                task.number = max(task.number, key.number)
                task.state = TaskState.placed
                task.endpoint = endpoint.report.endpoint

    def _pool_of(self, service: str) -> tuple[Endpoint, ...]:
        return tuple(
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.report.service == service
        )

    def _assign(self, now: float) -> Effects:
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
        takers = [each for each in self._pool_of(service) if each.takes_starts]
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
        expiry = endpoint.clock.expiry_after(LEASE_SECONDS, now=now)
        endpoint.longest_expiry = max(endpoint.longest_expiry, expiry)
        return StartRun(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            run=run,
            payload=job.submission.request.payload,
            token=endpoint.token,
            expires_ms=expiry,
        )


def _is_newer(report: EndpointReport, known: EndpointReport) -> bool:
    if report.lifetime != known.lifetime:
        return report.lifetime > known.lifetime
    return report.sequence >= known.sequence


def _note_refusal(refusal: JobRefused) -> Noted:
    return Noted(
        'job.refused',
        (('key', refusal.job), ('reason', refusal.reason)),
    )


def _note_start_refused(order: StartRun, refusal: Refusal) -> Noted:
    return Noted(
        'task.start_refused',
        (
            ('key', order.run.task.job),
            ('endpoint', order.endpoint),
            ('refusal', refusal),
        ),
    )


def _note_ready(endpoint: Endpoint, view: EndpointView) -> Noted:
    return Noted(
        'endpoint.ready',
        (
            ('endpoint', endpoint.report.endpoint),
            ('after', endpoint.phase),
            ('running', len(view.running)),
        ),
    )


def _note_verdict(endpoint: Endpoint, run: Run, verdict: Verdict) -> Noted:
    return Noted(
        'task.moved',
        (
            ('key', run.key.task.job),
            ('endpoint', endpoint.report.endpoint),
            ('verdict', verdict),
            ('percent', run.percent),
        ),
    )
