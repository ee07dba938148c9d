"""Records events of the driver as metrics and log lines."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from cuminstack import wire
from cuminstack.core import InstanceId, JobId, ServiceRef, TaskId
from cuminstack.daemon._endpoint_replies import AttemptEnd
from cuminstack.jobs import (
    AttemptOutcome,
    Complete,
    JobEnded,
    JobRequest,
    Refused,
    SendStart,
)
from cuminstack.logs import log_event
from cuminstack.metrics import (
    Direction,
    MessageKind,
    Metrics,
    MetricsSnapshot,
    Tally,
    WasteCause,
    message_kind,
)
from cuminstack.settings import LogLevel

_ATTEMPT_TALLIES: Final = MappingProxyType(
    {
        AttemptOutcome.failed: Tally.tasks_failed,
        AttemptOutcome.unknown: Tally.tasks_unknown,
    },
)


@dataclass(slots=True)
class _JobTimes:
    """Acceptance time and longest task run time of a job, in seconds."""

    service: ServiceRef
    accepted_at: float
    longest_run: float = 0


class Observer:
    """Records metrics and log lines of one instance.

    Args:
        instance: Name of the instance.
    """

    def __init__(self, instance: InstanceId) -> None:
        self._metrics = Metrics(instance)
        self._jobs: dict[JobId, _JobTimes] = {}
        self._sent_at: dict[TaskId, float] = {}
        self._unused_leases = 0
        self._unmatched_results = 0

    def snapshot(self) -> MetricsSnapshot:
        """Return all metrics recorded so far."""
        return self._metrics.snapshot()

    def job_submitted(self, request: JobRequest, *, now: float) -> None:
        """Record the submission of a job."""
        self._metrics.record_message(MessageKind.job, Direction.received)
        if request.job in self._jobs:
            self._record_waste(request.service, WasteCause.resend)
            return
        self._jobs[request.job] = _JobTimes(request.service, now)
        log_event(
            'job.submitted',
            LogLevel.debug,
            job=request.job,
            tasks=len(request.tasks),
        )

    def attempt_started(self, start: SendStart, *, now: float) -> None:
        """Record the start of an attempt."""
        self._metrics.record_message(MessageKind.start, Direction.sent)
        self._metrics.record_tally(start.service, Tally.tasks_started)
        times = self._jobs.get(start.task.job)
        if times is not None:
            self._metrics.record_wait(start.service, now - times.accepted_at)
        self._sent_at[start.task] = now

    def attempt_finished(
        self,
        start: SendStart,
        ended: AttemptEnd,
        *,
        now: float,
    ) -> None:
        """Record the end of an attempt."""
        run_time = now - self._sent_at.pop(start.task, now)
        if ended.stale:
            self._record_waste(start.service, WasteCause.stale_answer)
        if ended.recovered:
            self._record_waste(start.service, WasteCause.probe)
        if ended.end is AttemptOutcome.answered:
            self._record_answer(start, run_time)
            return
        if ended.end is AttemptOutcome.not_started:
            kind = MessageKind.refused_start
            self._metrics.record_message(kind, Direction.received)
            self._record_waste(start.service, WasteCause.refused_start)
        tally = _ATTEMPT_TALLIES.get(ended.end)
        if tally is not None:
            self._metrics.record_tally(start.service, tally)
        log_event(
            'task.not_answered',
            LogLevel.warning,
            task=start.task,
            endpoint=start.endpoint,
            end=ended.end,
        )

    def job_ended(self, effect: JobEnded, *, now: float) -> None:
        """Record the outcome of a job."""
        times = self._jobs.pop(effect.job, None)
        if times is None:
            return
        self._metrics.record_message(MessageKind.outcome, Direction.sent)
        if isinstance(effect.outcome, Complete):
            self._metrics.record_tally(times.service, Tally.jobs_accepted)
            self._metrics.record_tally(times.service, Tally.jobs_complete)
            self._metrics.record_response(
                times.service,
                now - times.accepted_at,
                ideal=times.longest_run,
            )
            return
        refused = isinstance(effect.outcome, Refused)
        if not refused:
            self._metrics.record_tally(times.service, Tally.jobs_accepted)
        tally = Tally.jobs_refused if refused else Tally.jobs_failed
        self._metrics.record_tally(times.service, tally)
        log_event(
            'job.refused' if refused else 'job.failed',
            LogLevel.info if refused else LogLevel.warning,
            job=effect.job,
            reason=effect.outcome.reason,
            detail=effect.outcome.detail,
        )

    def frame_sent(self, message: object, size: int) -> None:
        """Record a frame sent to a peer; `size` is in bytes."""
        kind = message_kind(wire.kind_of(message))
        self._metrics.record_message(kind, Direction.sent, size=size)

    def frame_received(self, message: object) -> None:
        """Record a frame received from a peer."""
        kind = message_kind(wire.kind_of(message))
        self._metrics.record_message(kind, Direction.received)

    def endpoint_announced(self) -> None:
        """Record an announcement of an endpoint."""
        kind = MessageKind.announcement
        self._metrics.record_message(kind, Direction.received)

    def record_node_totals(
        self, *, unused_leases: int, unmatched_results: int
    ) -> None:
        """Record the increase of the node's counters since the last call.

        Args:
            unused_leases: Total of leases that were never used.
            unmatched_results: Total of late and duplicate results.
        """
        self._metrics.record_waste(
            WasteCause.lease_unused,
            count=unused_leases - self._unused_leases,
        )
        self._metrics.record_waste(
            WasteCause.stale_answer,
            count=unmatched_results - self._unmatched_results,
        )
        self._unused_leases = unused_leases
        self._unmatched_results = unmatched_results

    def _record_answer(self, start: SendStart, run_time: float) -> None:
        self._metrics.record_message(MessageKind.answer, Direction.received)
        self._metrics.record_tally(start.service, Tally.tasks_answered)
        self._metrics.record_run(start.service, run_time)
        times = self._jobs.get(start.task.job)
        if times is not None:
            times.longest_run = max(times.longest_run, run_time)

    def _record_waste(self, service: ServiceRef, cause: WasteCause) -> None:
        self._metrics.record_waste(cause, member=service.member)
