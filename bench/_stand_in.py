"""What a stand-in endpoint knows: its slots, its tasks and its start log."""

import asyncio
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from bench._start_log import StartLog
from bench._tasks import (
    DuplicateTask,
    NotStarted,
    Refusal,
    TaskRun,
    TaskState,
)
from cuminstack.core import EndpointState, Needs, ServiceRef

#: Milliseconds in a second.
MILLISECONDS: Final = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class StandInOptions:
    """What a stand-in announces of itself.

    Args:
        endpoint: Its name.
        zone: Its availability zone.
        serves: The services it runs tasks of; wildcards are allowed.
        slots: Tasks that it runs at once.
        connections: Connections that it claims to accept.
        offers: Its processors, memory and accelerators.
        seed: Seed of the choice of tasks that misbehave.
        start_log: File that each start is appended to, so that it is known
            even if the process is killed.
    """

    endpoint: str
    zone: str
    serves: tuple[ServiceRef, ...]
    slots: int = 8
    connections: int = 64
    offers: Needs = field(default_factory=lambda: Needs(16, 32768, 0))
    seed: int = 0
    start_log: Path | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Mode:
    """How a stand-in behaves from now on.

    Args:
        kind: A registered behaviour; see `bench._behaviours`.
        share: Share of the tasks that the behaviour applies to, 0 to 1;
            the others behave as `ok`.
        slow_factor: Run times are multiplied by it.
        latency_ms: One-way delay of each request and of each answer.
        late_ms: How long after its end a `late` task is answered.
    """

    kind: str = 'ok'
    share: float = 1
    slow_factor: float = 1
    latency_ms: float = 0
    late_ms: float = 3000


class StandIn:
    """The slots and the start log of one stand-in endpoint."""

    def __init__(self, options: StandInOptions) -> None:
        self.options = options
        self.incarnation = time.time_ns() // 1_000_000
        self.mode = Mode()
        self.state = EndpointState.serving
        self.connections_peak = 0
        self.state_changed = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self._log = StartLog(options.start_log)
        self._runs: dict[str, TaskRun] = {}
        self._tags: Counter[str] = Counter()
        self._refused: dict[str, Refusal] = {}
        self._refusals: Counter[str] = Counter()
        self._duplicates: list[str] = []
        self._left_at = time.monotonic()
        self._last_request_after_leaving = float(0)
        self._busy = 0

    @property
    def busy(self) -> int:
        """Give the slots in use."""
        return self._busy

    @property
    def start_log(self) -> dict[str, Any]:
        """Give the test oracle: every start since the process began."""
        return {
            'endpoint': self.options.endpoint,
            'starts': list(self._runs),
            'tags': dict(self._tags),
            'duplicates': list(self._duplicates),
            'refusals': dict(self._refusals),
            'refused': list(self._refused),
            'busy': self._busy,
            'connections_peak': self.connections_peak,
            'last_request_after_leaving_ms': round(
                self._last_request_after_leaving * MILLISECONDS,
            ),
        }

    @property
    def announcement(self) -> dict[str, Any]:
        """Give the body of the next announcement."""
        options = self.options
        return {
            'incarnation': self.incarnation,
            'zone': options.zone,
            'serves': [
                {'member': served.member, 'service': served.service}
                for served in options.serves
            ],
            'slots': options.slots,
            'connections': options.connections,
            'offers': {
                'processors': options.offers.processors,
                'memory_mb': options.offers.memory_mb,
                'accelerators': options.offers.accelerators,
            },
            'state': self.state.value,
            'busy': self._busy,
        }

    def leave(self, *, now: float) -> None:
        """Start no more tasks."""
        if self.state is EndpointState.leaving:
            return
        self.state = EndpointState.leaving
        self._left_at = now
        self.state_changed.set()

    def find(self, task: str) -> TaskRun | None:
        """Give a task that started, or none."""
        return self._runs.get(task)

    def start(
        self,
        task: str,
        body: Mapping[str, Any],
        *,
        received: float,
        now: float,
    ) -> TaskRun:
        """Start a task in a free slot.

        Args:
            task: Its id.
            body: The body of the request to start it.
            received: When the request came, in seconds.
            now: The present time, in seconds.

        Raises:
            DuplicateTask: It was started before.
            NotStarted: It was refused.
        """
        if task in self._runs:
            self._duplicates.append(task)
            self._log.duplicate(task)
            raise DuplicateTask(task)
        reason = self._reason_to_refuse(task, body, now - received)
        if self.state is EndpointState.leaving:
            self._last_request_after_leaving = now - self._left_at
        if reason is not None:
            self._refused[task] = reason
            self._refusals[reason.value] += 1
            raise NotStarted(task, reason)
        return self._begin(task, body.get('payload'))

    def stop(self, task: str) -> bool:
        """Stop a running task; return whether it was running."""
        run = self._runs.get(task)
        return run is not None and self.finish(run, TaskState.failed)

    def forbid(self, task: str) -> bool:
        """Never start a task that has not started; tell whether it hasn't."""
        if task in self._runs:
            return False
        self._refused.setdefault(task, Refusal.stopped)
        return True

    def finish(self, run: TaskRun, state: TaskState) -> bool:
        """End a run and free its slot; return whether this call ended it."""
        ended = run.finish(state)
        if ended:
            self._busy -= 1
            if not self._busy:
                self.idle.set()
        return ended

    def _reason_to_refuse(
        self,
        task: str,
        body: Mapping[str, Any],
        waited: float,
    ) -> Refusal | None:
        reasons = {
            Refusal.refused_before: task in self._refused,
            Refusal.leaving: self.state is EndpointState.leaving,
            Refusal.mode: self.mode.kind == 'refuse_all',
            Refusal.full: self._busy >= self.options.slots,
            Refusal.expired: (
                waited * MILLISECONDS >= float(body['start_within_ms'])
            ),
        }
        return next((reason for reason in reasons if reasons[reason]), None)

    def _begin(self, task: str, payload: Any) -> TaskRun:
        wanted = payload if isinstance(payload, dict) else {}
        answer = {
            'echo': wanted.get('echo'),
            'endpoint': self.options.endpoint,
        }
        self._log.started(task)
        run = TaskRun(task, answer)
        self._runs[task] = run
        self._busy += 1
        self.idle.clear()
        self._tags[str(wanted.get('tag', ''))] += 1
        run_ms = float(wanted.get('run_ms', 0)) * self.mode.slow_factor
        asyncio.get_running_loop().call_later(
            run_ms / MILLISECONDS,
            self.finish,
            run,
            TaskState.answered,
        )
        return run
