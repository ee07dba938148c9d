"""Decides which task of which job starts on which endpoint, for one term."""

from collections.abc import Iterable, Iterator
from dataclasses import replace
from itertools import count
from typing import Final

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.pool._admission import Load
from cuminstack.pool._assignment import Assigner
from cuminstack.pool._effects import (
    Effect,
    Effects,
    Fenced,
    JobEnded,
    JobState,
)
from cuminstack.pool._endpoint import Endpoint, Phase
from cuminstack.pool._exchange import EndpointView, Hold, Refusal, StartRun
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Submission
from cuminstack.pool._notes import (
    note_dropped,
    note_pace,
    note_ready,
    note_start_refused,
)
from cuminstack.pool._orders import Order
from cuminstack.pool._pace import Pace
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._records import EndpointReport
from cuminstack.pool._refuser import Refuser
from cuminstack.pool._rooms import Rooms
from cuminstack.pool._runs import RunKeeper
from cuminstack.pool._watch import EndpointWatch

#: Seconds of silence after which an endpoint is forgotten.  It sends a
#: heartbeat each 1.5 s, but may be cut off for a while and run on orders of
#: another dispatcher.
_FORGET_SECONDS: Final = 20.0
#: Seconds between two looks at an endpoint where nothing happens.
_LOOK_SECONDS: Final = 1.0
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
        self._watch = EndpointWatch(term=term, instance=instance)
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._pace = Pace()
        self._numbers = count()
        self._rooms = Rooms()
        self._heard_at: dict[EndpointId, float] = {}
        queue = JobQueue(order)
        self._jobs = JobTable(queue, term=term)
        self._runs = RunKeeper(self._endpoints, self._jobs)
        self._assigner = Assigner(self._endpoints, self._rooms, queue)
        self._refuser = Refuser(self._jobs, Load(self._rooms, queue))

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All known endpoints."""
        return tuple(self._endpoints.values())

    @property
    def waiting(self) -> dict[str, int]:
        """Jobs of which nothing was started, by queue."""
        return self._jobs.waiting

    def knows(self, key: JobKey) -> bool:
        """Tell whether a job is here and someone waits for it."""
        job = self._jobs.find(key)
        return job is not None and not job.abandoned

    def entry_of(self, key: JobKey) -> InstanceId | None:
        """Give the entry that handed a job over last."""
        job = self._jobs.find(key)
        return None if job is None else job.submission.entry

    def entry_heard(self, entry: InstanceId, stamp: float) -> None:
        """Take that an entry had heard of this dispatcher at a time."""
        self._assigner.entry_heard(entry, stamp)

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

    def observe(self, report: EndpointReport, *, now: float) -> Effects:
        """Take a heartbeat of an endpoint."""
        known = self._endpoints.get(report.endpoint)
        if known is None:
            token = self._watch.tokens.take()
            known = Endpoint(
                report,
                token=token,
                number=next(self._numbers),
                changed=self._rooms.note,
            )
            self._endpoints[report.endpoint] = known
        if not report.is_as_new_as(known.report):
            return ()
        self._heard_at[report.endpoint] = now
        known.report = report
        known.silences = 0
        if report.lifetime > known.life.number:
            return tuple(self._restarted(known, report.lifetime, now))
        return tuple(self._watch.tend(known, now=now))

    def leave(self, endpoint: EndpointId, *, now: float) -> Effects:
        """Take that an endpoint has deregistered.

        What runs there may go on for a while, so it counts until the
        endpoint lists its end, or its lease has passed.
        """
        left = self._endpoints.get(endpoint)
        if left is None or not left.runs:
            return self.forget(endpoint, now=now)
        left.report = replace(left.report, draining=True)
        return tuple(self._watch.void(left, 'left', now=now))

    def forget(self, endpoint: EndpointId, *, now: float) -> Effects:
        """Take that nothing of a lifetime of an endpoint runs any more."""
        left = self._endpoints.pop(endpoint, None)
        self._heard_at.pop(endpoint, None)
        if left is None:
            return ()
        left.phase = Phase.gone
        return (*self._runs.lose(left), *self._assigner.assign(now=now))

    def submit(self, submission: Submission, *, now: float) -> Effects:
        """Take a job of an entry, or refuse it."""
        key = submission.request.key
        entry = submission.entry
        answer = self._jobs.answer_of(key)
        if answer is not None:
            return (JobEnded(key, entry, answer),)
        job = self._jobs.resume(submission)
        if job is None:
            job = self._jobs.make(submission)
            refused = self._refuser.judge(job, now=now)
            if refused:
                return refused
            self._jobs.add(job)
        self._runs.claim(job, now=now)
        return self._assigner.assign(now=now)

    def drop(self, key: JobKey, *, now: float) -> Effects:
        """Stop a job that nobody waits for any more."""
        job = self._jobs.find(key)
        if job is None or job.abandoned:
            return ()
        self._jobs.abandon(job, now=now)
        return (
            note_dropped(job, now=now),
            *self._runs.stop_all(job, now),
            *self._assigner.assign(now=now),
        )

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
        endpoint.life.clock.read(clock_ms, asked_at=asked_at, now=now)
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
        self._runs.requeue(order.run)
        effects: list[Effect] = [note_start_refused(order, refusal)]
        if refusal is Refusal.unhealthy:
            endpoint.health.put_aside(now=now)
        elif refusal in _VOIDING_REFUSALS:
            cause = refusal.value
            effects.extend(self._watch.void(endpoint, cause, now=now))
        return (*effects, *self._assigner.assign(now=now))

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
        return self.holds_answered(((order, view, asked_at),), now=now)

    def holds_answered(
        self,
        answers: Iterable[tuple[Hold, EndpointView, float]],
        *,
        now: float,
    ) -> Effects:
        """Take the answers to several holds, and assign once for all.

        Args:
            answers: Each hold, what was answered, and when it was asked.
            now: The present time.
        """
        effects: list[Effect] = []
        seen: list[Endpoint] = []
        for order, view, asked_at in answers:
            endpoint = self._endpoints.get(order.endpoint)
            if endpoint is None or order.token != endpoint.token:
                continue
            if self._is_same_life(endpoint, view):
                taken = self._take_view(endpoint, order, view, asked_at, now)
                effects.extend(taken)
                seen.append(endpoint)
            elif view.lifetime > endpoint.life.number:
                effects.extend(self._restarted(endpoint, view.lifetime, now))
        if seen:
            effects.extend(self._assigner.assign(now=now))
        for endpoint in seen:
            effects.extend(self._watch.tend(endpoint, now=now))
        return tuple(effects)

    def tick(self, *, now: float) -> Effects:
        """Do what is due; call many times a second."""
        effects: list[Effect] = []
        was_behind = self._pace.is_behind
        late = self._pace.tick(now=now)
        if self._pace.is_behind != was_behind:
            effects.append(note_pace(self._pace))
        for endpoint in tuple(self._endpoints.values()):
            if late:
                self._watch.excuse(endpoint, late, now=now)
            if now >= endpoint.due_at:
                effects.extend(self._look_at(endpoint, now))
        self._jobs.sweep(now=now)
        effects.extend(self._refuser.refuse_hopeless(now=now))
        effects.extend(self._assigner.assign(now=now))
        return tuple(effects)

    def _is_same_life(self, endpoint: Endpoint, view: EndpointView) -> bool:
        """Tell whether lists are of the lifetime that is known, or the first.

        An endpoint need not tell its lifetime.
        """
        if not endpoint.life.number:
            endpoint.life.number = view.lifetime
        return view.lifetime in {0, endpoint.life.number}

    def _take_view(
        self,
        endpoint: Endpoint,
        order: Hold,
        view: EndpointView,
        asked_at: float,
        now: float,
    ) -> Iterator[Effect]:
        life = endpoint.life
        self._heard_at[order.endpoint] = now
        if endpoint.hold is not None and endpoint.hold.number == order.number:
            endpoint.hold = None
        endpoint.silences = 0
        life.clock.read(view.clock_ms, asked_at=asked_at, now=now)
        life.acknowledged_end = max(life.acknowledged_end, order.last_end)
        yield from self._runs.take_view(endpoint, view, asked_at, now)
        if endpoint.phase is not Phase.ready:
            yield note_ready(endpoint, view)
            endpoint.phase = Phase.ready
            endpoint.has_joined = True

    def _look_at(self, endpoint: Endpoint, now: float) -> Iterator[Effect]:
        """Do what is due at an endpoint, and find out when more will be."""
        yield from self._watch.void_overdue(endpoint, now=now)
        yield from self._watch.tend(endpoint, now=now)
        yield from self._write_off(endpoint, now)
        due_at = self._watch.due_at(endpoint)
        endpoint.looked_at(due_at=min(due_at, now + _LOOK_SECONDS))

    def _write_off(self, endpoint: Endpoint, now: float) -> Iterator[Effect]:
        if endpoint.phase is Phase.voiding and now > endpoint.lapses_at:
            endpoint.phase = Phase.silent
            yield from self._runs.lose(endpoint)
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
        yield from self._runs.lose(endpoint)
        endpoint.begin_lifetime(lifetime)
        endpoint.fence(self._watch.tokens.take(), Phase.joining)
        yield from self._watch.tend(endpoint, now=now)
