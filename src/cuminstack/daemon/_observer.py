"""Turns what the driver does into histograms, counts and log lines."""

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

_TALLIES: Final = MappingProxyType(
    {
        AttemptOutcome.failed: Tally.tasks_failed,
        AttemptOutcome.unknown: Tally.tasks_unknown,
    },
)


@dataclass(slots=True)
class _JobTimes:
    """When a job was accepted, and its longest run time, in seconds."""

    service: ServiceRef
    accepted_at: float
    longest_run: float = 0


class Observer:
    """Records what one instance does.

    Args:
        instance: Its name.
    """

    def __init__(self, instance: InstanceId) -> None:
        self._metrics = Metrics(instance)
        self._jobs: dict[JobId, _JobTimes] = {}
        self._sent_at: dict[TaskId, float] = {}
        self._unused_leases = 0
        self._strays = 0

    def snapshot(self) -> MetricsSnapshot:
        """Give everything recorded so far."""
        return self._metrics.snapshot()

    def submitted(self, request: JobRequest, *, now: float) -> None:
        """Record a submission."""
        self._metrics.record_message(MessageKind.job, Direction.received)
        if request.job in self._jobs:
            self._waste(request.service, WasteCause.resend)
            return
        self._jobs[request.job] = _JobTimes(request.service, now)
        log_event(
            'job.submitted',
            LogLevel.debug,
            job=request.job,
            tasks=len(request.tasks),
        )

    def sent(self, start: SendStart, *, now: float) -> None:
        """Record the start of an attempt."""
        self._metrics.record_message(MessageKind.start, Direction.sent)
        self._metrics.record_tally(start.service, Tally.tasks_started)
        times = self._jobs.get(start.task.job)
        if times is not None:
            self._metrics.record_wait(start.service, now - times.accepted_at)
        self._sent_at[start.task] = now

    def finished(
        self,
        start: SendStart,
        ended: AttemptEnd,
        *,
        now: float,
    ) -> None:
        """Record the end of an attempt."""
        ran = now - self._sent_at.pop(start.task, now)
        if ended.stale:
            self._waste(start.service, WasteCause.stale_answer)
        if ended.recovered:
            self._waste(start.service, WasteCause.probe)
        if ended.end is AttemptOutcome.answered:
            self._answered(start, ran)
            return
        if ended.end is AttemptOutcome.not_started:
            kind = MessageKind.refused_start
            self._metrics.record_message(kind, Direction.received)
            self._waste(start.service, WasteCause.refused_start)
        tally = _TALLIES.get(ended.end)
        if tally is not None:
            self._metrics.record_tally(start.service, tally)
        log_event(
            'task.not_answered',
            LogLevel.warning,
            task=start.task,
            endpoint=start.endpoint,
            end=ended.end,
        )

    def ended(self, effect: JobEnded, *, now: float) -> None:
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

    def sent_frame(self, message: object, size: int) -> None:
        """Record a frame to a peer; `size` is in bytes."""
        kind = message_kind(wire.kind_of(message))
        self._metrics.record_message(kind, Direction.sent, size=size)

    def received_frame(self, message: object) -> None:
        """Record a frame of a peer."""
        kind = message_kind(wire.kind_of(message))
        self._metrics.record_message(kind, Direction.received)

    def announced(self) -> None:
        """Record an announcement of an endpoint."""
        kind = MessageKind.announcement
        self._metrics.record_message(kind, Direction.received)

    def counted(self, *, unused_leases: int, strays: int) -> None:
        """Record what the node has counted since its start."""
        self._metrics.record_waste(
            WasteCause.lease_unused,
            count=unused_leases - self._unused_leases,
        )
        self._metrics.record_waste(
            WasteCause.stale_answer,
            count=strays - self._strays,
        )
        self._unused_leases = unused_leases
        self._strays = strays

    def _answered(self, start: SendStart, ran: float) -> None:
        self._metrics.record_message(MessageKind.answer, Direction.received)
        self._metrics.record_tally(start.service, Tally.tasks_answered)
        self._metrics.record_run(start.service, ran)
        times = self._jobs.get(start.task.job)
        if times is not None:
            times.longest_run = max(times.longest_run, ran)

    def _waste(self, service: ServiceRef, cause: WasteCause) -> None:
        self._metrics.record_waste(cause, member=service.member)
