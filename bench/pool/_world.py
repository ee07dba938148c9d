"""Workers, time and faults around a real dispatcher, without a network."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from bench.pool._worker import (
    SERVICE,
    FakeWorker,
    Span,
    check_once_at_a_time,
)
from cuminstack.core import InstanceId, JobKey
from cuminstack.pool import (
    Dispatcher,
    EndpointView,
    Hold,
    JobEnded,
    JobRefused,
    JobRequest,
    JobState,
    OrderRefused,
    QueueTerms,
    Resources,
    Started,
    StartRun,
    Step,
    StopRun,
    Submission,
    find_order,
)

ENTRY = InstanceId('entry')
#: One way between a dispatcher and a worker, in seconds.
HOP = 0.0005
_TICK = 0.02
_BEAT = 0.1


@dataclass(order=True)
class _Event:
    at: float
    number: int
    action: Callable[[], None] = field(compare=False)


@dataclass
class JobPlan:
    """A job of a caller."""

    key: str
    width: int
    seconds: float
    millicores: int = 6800
    declared: float = 0
    patience: float = 5
    poison: bool = False
    attempts: int = 2
    slack: float = 0.06
    priority: int = 0
    queue: str = 'queue'


@dataclass
class Result:
    """What became of a job."""

    at: float
    state: JobState | None


class PoolWorld:
    """Workers around one dispatcher or several, on simulated time."""

    def __init__(
        self,
        *,
        workers: int = 3,
        millicores: int = 16000,
        seed: int = 1,
        order: str = 'useful-first',
        make: Callable[..., Dispatcher] = Dispatcher,
    ) -> None:
        self._make = make
        self.chance = random.Random(seed)
        self.now = 1000.0
        self.order = order
        names = tuple(f'w{number}' for number in range(workers))
        self.workers = {
            name: FakeWorker(
                name,
                millicores,
                rate=self.chance.choice((0.98, 1.0)),
            )
            for name in names
        }
        self.plans: dict[JobKey, JobPlan] = {}
        self.results: dict[str, Result] = {}
        self.submitted: dict[str, float] = {}
        self.orders = 0
        self._events: list[_Event] = []
        self._numbers = count()
        self.dispatcher = self.lead(term=1)
        self.every(_TICK, self._tick)
        self.every(1.5, self._report)
        self.run_for(0.1)

    def lead(self, *, term: int) -> Dispatcher:
        """Have a new dispatcher take over."""
        self.dispatcher = self._make(
            term=term,
            instance=term,
            order=find_order(self.order),
        )
        self.dispatcher.record_entry_contact(ENTRY, self.now)
        self._report()
        return self.dispatcher

    def at(self, moment: float, action: Callable[[], None]) -> None:
        event = _Event(moment, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        self.at(self.now + seconds, action)

    def every(self, seconds: float, action: Callable[[], None]) -> None:
        self.after(0, partial(self._repeat, seconds, action))

    def _repeat(self, seconds: float, action: Callable[[], None]) -> None:
        action()
        self.after(seconds, partial(self._repeat, seconds, action))

    def run_for(self, seconds: float) -> None:
        until = self.now + seconds
        while self._events and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            self.now = max(self.now, event.at)
            event.action()
        self.now = until

    def submit(self, plan: JobPlan, *, held: float = 0) -> None:
        key = JobKey(plan.key)
        self.plans[key] = plan
        begun = self.submitted.setdefault(plan.key, self.now)
        step = Step(
            count=plan.width,
            needs=Resources(plan.millicores, 64),
            estimate=plan.declared or plan.seconds,
        )
        submission = Submission(
            request=JobRequest(key, plan.queue, 'payload', (step,)),
            terms=QueueTerms(
                plan.queue,
                SERVICE,
                priority=plan.priority,
                attempts=plan.attempts,
                stretch=1.6,
                slack=plan.slack,
            ),
            entry=ENTRY,
            arrived_at=begun,
            deadline=begun + plan.patience,
            held_until=self.now + held if held else 0,
            is_resumed=held > 0,
        )
        self.dispatcher.record_entry_contact(ENTRY, self.now)
        self.perform(self.dispatcher.submit(submission, now=self.now))

    def took_ms(self, key: str) -> int:
        """Give how long a job took."""
        return round((self.results[key].at - self.submitted[key]) * 1000)

    @property
    def spans(self) -> list[Span]:
        return [
            span for worker in self.workers.values() for span in worker.spans
        ]

    def check(self) -> None:
        """Check what must always hold."""
        for worker in self.workers.values():
            assert not worker.overfull, worker.name
        check_once_at_a_time(self.spans)

    def perform(self, effects: tuple[object, ...]) -> None:
        for effect in effects:
            match effect:
                case StartRun() | StopRun() | Hold():
                    self.orders += 1
                    self._send(effect, self.dispatcher)
                case JobEnded():
                    ended = Result(self.now, effect.state)
                    self.results.setdefault(effect.job, ended)
                case JobRefused():
                    refused = Result(self.now, None)
                    self.results.setdefault(effect.job, refused)

    def _tick(self) -> None:
        self.dispatcher.record_entry_contact(ENTRY, self.now)
        for worker in self.workers.values():
            worker.advance(self.now)
        self.perform(self.dispatcher.tick(now=self.now))

    def _report(self) -> None:
        for worker in self.workers.values():
            if not worker.faults.dark:
                effects = self.dispatcher.observe(worker.report(), now=self.now)
                self.perform(effects)

    def _send(
        self,
        order: StartRun | StopRun | Hold,
        sender: Dispatcher,
    ) -> None:
        worker = self.workers[order.endpoint]
        faults = worker.faults
        if faults.dark:
            return
        asked_at = self.now
        if self.chance.random() < faults.late_orders:
            delay = self.chance.uniform(2, 4)
            self.after(delay, lambda: self._carry_out_late(worker, order))
            return
        loses = self.chance.random() < faults.lose_answers
        receiver = None if loses else sender
        self.after(
            HOP, partial(self._arrive, worker, order, receiver, asked_at)
        )

    def _arrive(
        self,
        worker: FakeWorker,
        order: StartRun | StopRun | Hold,
        receiver: Dispatcher | None,
        asked_at: float,
    ) -> None:
        """Carry out an order, and answer unless the answer gets lost."""
        if worker.faults.dark:
            return
        answer = self._carry_out(worker, order)
        if receiver is not None and answer is not None:
            self._answer(worker, order, answer, asked_at, receiver)

    def _carry_out_late(
        self,
        worker: FakeWorker,
        order: StartRun | StopRun | Hold,
    ) -> None:
        if not worker.faults.dark:
            self._carry_out(worker, order)

    def _carry_out(
        self,
        worker: FakeWorker,
        order: StartRun | StopRun | Hold,
    ) -> Started | OrderRefused | Hold | None:
        match order:
            case StartRun():
                plan = self.plans[order.run.task.job]
                return worker.start(
                    order,
                    plan.seconds,
                    plan.millicores,
                    poison=plan.poison,
                    now=self.now,
                )
            case StopRun():
                worker.stop(order, self.now)
                return None
            case Hold():
                return worker.take_hold(order, self.now) or order

    def _answer(
        self,
        worker: FakeWorker,
        order: StartRun | StopRun | Hold,
        answer: Started | OrderRefused | Hold,
        asked_at: float,
        sender: Dispatcher,
    ) -> None:
        if isinstance(answer, Hold):
            until = self.now + answer.wait_ms / 1000
            self._wait_for_end(worker, answer, asked_at, until, sender)
            return
        self.after(
            HOP,
            lambda: self._hear(order, answer, asked_at, sender),
        )

    def _wait_for_end(
        self,
        worker: FakeWorker,
        order: Hold,
        asked_at: float,
        until: float,
        sender: Dispatcher,
    ) -> None:
        worker.advance(self.now)
        if worker.faults.dark:
            return
        if worker.ends or self.now >= until:
            view = worker.view(self.now)
            self.after(
                HOP,
                lambda: self._hear(order, view, asked_at, sender),
            )
            return
        self.after(
            0.002,
            lambda: self._wait_for_end(worker, order, asked_at, until, sender),
        )

    def _hear(
        self,
        order: StartRun | StopRun | Hold,
        answer: object,
        asked_at: float,
        sender: Dispatcher,
    ) -> None:
        if (
            sender is not self.dispatcher
            or self.workers[order.endpoint].faults.dark
        ):
            return
        now = self.now
        if isinstance(order, StartRun):
            if isinstance(answer, Started):
                clock = answer.clock_ms
                effects = sender.start_answered(
                    order, clock, asked_at=asked_at, now=now
                )
            else:
                assert isinstance(answer, OrderRefused)
                effects = sender.start_refused(order, answer.refusal, now=now)
            self.perform(effects)
        if isinstance(order, Hold):
            if isinstance(answer, EndpointView):
                effects = sender.hold_answered(
                    order, answer, asked_at=asked_at, now=now
                )
            else:
                assert isinstance(answer, OrderRefused)
                effects = sender.hold_refused(order, answer.refusal, now=now)
            self.perform(effects)
