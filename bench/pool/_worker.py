"""A worker as its contract describes it, on simulated time."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count, pairwise

from cuminstack.core import EndpointId, ZoneName
from cuminstack.pool import (
    EndKind,
    EndpointReport,
    EndpointView,
    Hold,
    OrderRefused,
    Refusal,
    Resources,
    RunEnd,
    RunKey,
    RunProgress,
    Started,
    StartRun,
    StopRun,
    TaskKey,
)

SERVICE = 'desk'
_STOP_SECONDS = 0.02


@dataclass
class Span:
    """A run as a worker saw it."""

    worker: str
    run: RunKey
    begun: float
    ended: float | None = None
    kind: EndKind | None = None


def check_once_at_a_time(spans: Iterable[Span]) -> None:
    """Check that no task ran twice at a time."""
    by_task: dict[TaskKey, list[Span]] = {}
    for each in spans:
        by_task.setdefault(each.run.task, []).append(each)
    for runs in by_task.values():
        runs.sort(key=lambda run: run.begun)
        for earlier, later in pairwise(runs):
            ended = earlier.ended
            assert ended is not None, (earlier, later)
            assert ended <= later.begun, (earlier, later)


@dataclass
class _Running:
    span: Span
    seconds: float
    needs: int
    fails: bool
    stops_at: float | None = None


@dataclass
class Faults:
    """What goes wrong at a worker."""

    dark: bool = False
    hangs: bool = False
    fails: bool = False
    slow: float = 1
    lose_answers: float = 0
    late_orders: float = 0


class FakeWorker:
    """A worker as the contract describes it, on simulated time."""

    zone = 'zone'
    cold_seconds: float = 0

    def __init__(self, name: str, millicores: int, *, rate: float) -> None:
        self.name = name
        self.millicores = millicores
        self.faults = Faults()
        self.rate = rate
        self.slowness: float = 1
        self.born = 1
        self.token = 0
        self.running: dict[RunKey, _Running] = {}
        self.ends: list[RunEnd] = []
        self.numbers: dict[TaskKey, int] = {}
        self.spans: list[Span] = []
        self.overfull: list[float] = []
        self.lease = 0
        self.sequence = 0
        self._clock_zero: float = 0
        self._ends = count(1)

    def clock(self, now: float) -> int:
        return int((now - self._clock_zero) * 1000 * self.rate)

    def report(self) -> EndpointReport:
        self.sequence += 1
        return EndpointReport(
            endpoint=EndpointId(self.name),
            lifetime=self.born,
            sequence=self.sequence,
            address=self.name,
            zone=ZoneName(self.zone),
            service=SERVICE,
            room=Resources(self.millicores, 32768),
            cold_seconds=self.cold_seconds,
        )

    def crash(self, now: float) -> None:
        for running in tuple(self.running.values()):
            self._end(running, EndKind.lapsed, now, listed=False)
        self.born += 1
        self.token = 0
        self.ends.clear()
        self.numbers.clear()
        self.sequence = 0
        self.lease = 0
        self._clock_zero = now
        self._ends = count(1)

    def advance(self, now: float) -> None:
        """End what is due."""
        has_lapsed = self.clock(now) > self.lease
        for running in tuple(self.running.values()):
            kind = EndKind.lapsed if has_lapsed else self._due(running, now)
            if kind is not None:
                self._end(running, kind, now)

    def _due(self, running: _Running, now: float) -> EndKind | None:
        stop = running.stops_at
        if stop is not None and now >= stop:
            return EndKind.stopped
        is_over = now - running.span.begun >= running.seconds
        if self.faults.hangs or not is_over:
            return None
        return EndKind.failed if running.fails else EndKind.done

    def start(
        self,
        order: StartRun,
        seconds: float,
        needs: int,
        *,
        poison: bool,
        now: float,
    ) -> Started | OrderRefused:
        self.advance(now)
        refusal = self._refusal(order, now)
        if refusal is not None:
            return OrderRefused(refusal)
        self.token = order.token
        self._extend(order.expires_ms, now)
        if order.run in self.running:
            return Started(self.clock(now))
        span = Span(self.name, order.run, now)
        self.spans.append(span)
        self.running[order.run] = _Running(
            span,
            seconds * self.slowness * self.faults.slow,
            needs,
            fails=self.faults.fails or poison,
        )
        if sum(each.needs for each in self.running.values()) > self.millicores:
            self.overfull.append(now)
        return Started(self.clock(now))

    def _refusal(self, order: StartRun, now: float) -> Refusal | None:
        if order.token < self.token:
            return Refusal.fenced
        is_old = order.run.number <= self.numbers.get(order.run.task, 0)
        if is_old and order.run not in self.running:
            return Refusal.outdated
        return Refusal.late if order.expires_ms < self.clock(now) else None

    def stop(self, order: StopRun, now: float) -> None:
        self.advance(now)
        if order.token < self.token:
            return
        self.token = order.token
        number = self.numbers.get(order.run.task, 0)
        self.numbers[order.run.task] = max(number, order.run.number)
        running = self.running.get(order.run)
        if running is not None and running.stops_at is None:
            running.stops_at = now + _STOP_SECONDS

    def take_hold(self, order: Hold, now: float) -> OrderRefused | None:
        self.advance(now)
        if order.token < self.token:
            return OrderRefused(Refusal.fenced)
        self.token = order.token
        if order.expires_ms is not None:
            self._extend(order.expires_ms, now)
        self.ends = [end for end in self.ends if end.number > order.last_end]
        return None

    def view(self, now: float) -> EndpointView:
        return EndpointView(
            lifetime=self.born,
            clock_ms=self.clock(now),
            running=tuple(
                self._progress(each, now) for each in self.running.values()
            ),
            ends=tuple(self.ends),
        )

    def _progress(self, running: _Running, now: float) -> RunProgress:
        begun = running.span.begun
        share = 0 if self.faults.hangs else (now - begun) / running.seconds
        return RunProgress(running.span.run, int(min(1, share) * 100))

    def _extend(self, expires_ms: int, now: float) -> None:
        most = self.clock(now) + 1000
        self.lease = max(self.lease, min(expires_ms, most))

    def _end(
        self,
        running: _Running,
        kind: EndKind,
        now: float,
        *,
        listed: bool = True,
    ) -> None:
        run = running.span.run
        running.span.ended = now
        running.span.kind = kind
        self.running.pop(run)
        number = self.numbers.get(run.task, 0)
        self.numbers[run.task] = max(number, run.number)
        if listed:
            self.ends.append(RunEnd(next(self._ends), run, kind))
