"""Looks up jobs that were accepted by other instances."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId, JobId, Send
from cuminstack.jobs import (
    AskJob,
    JobOutcome,
    JobState,
    JobTracker,
    Outcome,
)
from cuminstack.node._routing import Effects, on_message

#: Maximum wait for the replies of peers to a lookup.
_LOOKUP_TIMEOUT_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class JobFound:
    """Result of looking up a job.

    Args:
        job: The job.
        running: Whether an instance has it in progress.
        outcome: Its outcome, if an instance stores one.
    """

    job: JobId
    running: bool = False
    outcome: Outcome | None = None


@dataclass(slots=True)
class _Lookup:
    """A lookup in progress, with the peers that have not replied."""

    waiting: set[InstanceId]
    deadline: float
    running: bool = False


class LookupHandler:
    """Queries other instances about jobs that this one doesn't know.

    Args:
        tracker: Jobs that were accepted by this instance.
        knows: Returns whether a job is in progress at this instance.
    """

    def __init__(
        self, tracker: JobTracker, knows: Callable[[JobId], bool]
    ) -> None:
        self._tracker = tracker
        self._knows = knows
        self._lookups: dict[JobId, _Lookup] = {}

    def look_up(
        self,
        job: JobId,
        peers: frozenset[InstanceId],
        *,
        now: float,
    ) -> Effects:
        """Query peers about a job; a `JobFound` with the result follows."""
        if not peers:
            return (JobFound(job),)
        if job in self._lookups:
            return ()
        self._lookups[job] = _Lookup(set(peers), now + _LOOKUP_TIMEOUT_SECONDS)
        return tuple(Send(peer, AskJob(job)) for peer in sorted(peers))

    def tick(self, *, now: float) -> Effects:
        """End the lookups that have timed out."""
        overdue = [
            job
            for job, lookup in self._lookups.items()
            if lookup.deadline <= now
        ]
        return tuple(self._finish(each) for each in overdue)

    @on_message(AskJob)
    def _on_ask_job(
        self,
        sender: InstanceId,
        message: AskJob,
        *,
        now: float,
    ) -> Effects:
        stored = self._tracker.ended(message.job)
        ended = None
        if stored is not None:
            ended = JobOutcome.of(message.job, stored.outcome)
        running = self._knows(message.job)
        return (Send(sender, JobState(message.job, running, ended)),)

    @on_message(JobState)
    def _on_job_state(
        self,
        sender: InstanceId,
        message: JobState,
        *,
        now: float,
    ) -> Effects:
        lookup = self._lookups.get(message.job)
        if lookup is None:
            return ()
        if message.ended is not None:
            self._lookups.pop(message.job)
            return (JobFound(message.job, outcome=message.ended.outcome),)
        lookup.running = lookup.running or message.running
        lookup.waiting.discard(sender)
        return () if lookup.waiting else (self._finish(message.job),)

    def _finish(self, job: JobId) -> JobFound:
        lookup = self._lookups.pop(job)
        return JobFound(job, running=lookup.running)
