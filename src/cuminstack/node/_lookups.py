"""Finding a job that was accepted at another instance."""

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

#: Longest wait for the instances that were asked, in seconds.
_PATIENCE_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class JobFound:
    """What is known of a job that was looked up.

    Args:
        job: The job.
        running: Whether an instance has it in progress.
        outcome: Its outcome, if an instance keeps it.
    """

    job: JobId
    running: bool = False
    outcome: Outcome | None = None


@dataclass(slots=True)
class _Lookup:
    waiting: set[InstanceId]
    until: float
    running: bool = False


class LookupDesk:
    """Asks the other instances for jobs that this one doesn't know.

    Args:
        book: The jobs that were accepted here.
        knows: Tells whether a job is in progress here.
    """

    def __init__(
        self, book: JobTracker, knows: Callable[[JobId], bool]
    ) -> None:
        self._book = book
        self._knows = knows
        self._lookups: dict[JobId, _Lookup] = {}

    def look_up(
        self,
        job: JobId,
        peers: frozenset[InstanceId],
        *,
        now: float,
    ) -> Effects:
        """Ask peers for a job; `JobFound` tells what they know."""
        if not peers:
            return (JobFound(job),)
        if job in self._lookups:
            return ()
        self._lookups[job] = _Lookup(set(peers), now + _PATIENCE_SECONDS)
        return tuple(Send(peer, AskJob(job)) for peer in sorted(peers))

    def tick(self, *, now: float) -> Effects:
        """End the lookups that not all peers answered."""
        late = [
            job for job, lookup in self._lookups.items() if lookup.until <= now
        ]
        return tuple(self._end(overdue) for overdue in late)

    @on_message(AskJob)
    def _answer(
        self,
        sender: InstanceId,
        message: AskJob,
        *,
        now: float,
    ) -> Effects:
        kept = self._book.ended(message.job)
        ended = None
        if kept is not None:
            ended = JobOutcome.of(message.job, kept.outcome)
        running = self._knows(message.job)
        return (Send(sender, JobState(message.job, running, ended)),)

    @on_message(JobState)
    def _take_state(
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
        return () if lookup.waiting else (self._end(message.job),)

    def _end(self, job: JobId) -> JobFound:
        lookup = self._lookups.pop(job)
        return JobFound(job, running=lookup.running)
