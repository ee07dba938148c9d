"""The dispatcher's side of the jobs that entries hand over."""

from collections.abc import Iterator

from cuminstack.core import InstanceId, JobKey, Send
from cuminstack.fleet._carriage import Order
from cuminstack.fleet._entry_desk import ENTRY_LEASE_SECONDS
from cuminstack.fleet._messages import (
    Dropped,
    Ended,
    EntryBeat,
    Refused,
    Submit,
    Taken,
    Unknown,
)
from cuminstack.pool import (
    Dispatcher,
    EndpointReport,
    Fenced,
    Hold,
    JobEnded,
    JobRefused,
    LogEvent,
    StartRun,
    StopRun,
    Submission,
)

Effect = Order | Send | LogEvent | Fenced
Effects = tuple[Effect, ...]


class JobDesk:
    """Keeps jobs only for entries that are known to wait for them.

    An entry's lease counts from the newest stamp of ours that it sent back,
    so that a heartbeat that was held up on its way renews nothing.

    Args:
        dispatcher: Decides what runs where.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._leases: dict[InstanceId, float] = {}
        self._jobs: dict[InstanceId, set[JobKey]] = {}

    @property
    def dispatcher(self) -> Dispatcher:
        """What decides where tasks run."""
        return self._dispatcher

    def leased(self, *, now: float) -> tuple[InstanceId, ...]:
        """List the entries whose leases hold."""
        return tuple(name for name, end in self._leases.items() if now < end)

    def observe(self, report: EndpointReport, *, now: float) -> Effects:
        """Take a heartbeat of an endpoint."""
        return self.convey(self._dispatcher.observe(report, now=now))

    def submit(
        self,
        entry: InstanceId,
        submit: Submit,
        *,
        is_warm: bool,
        now: float,
    ) -> Effects:
        """Take a job of an entry.

        Args:
            entry: The entry.
            submit: The job.
            is_warm: Whether all endpoints that the entry's last dispatcher
                may have used have been heard of here.
            now: The present time.
        """
        key = submit.request.key
        if now >= submit.stamp + ENTRY_LEASE_SECONDS:
            # Held up on its way; it may have been answered since.  An entry
            # that still has the job hands it over again.
            return (LogEvent('job.handed_over_late', (('key', key),)),)
        self._hear(entry, submit.stamp)
        self._jobs.setdefault(entry, set()).add(key)
        submission = Submission(
            request=submit.request,
            terms=submit.terms,
            entry=entry,
            arrived_at=now - submit.waited,
            deadline=now + submit.remaining,
            held_until=now + submit.held if submit.held else 0,
            is_resumed=submit.resumed,
            may_run_elsewhere=submit.from_rival or not is_warm,
        )
        effects = self.convey(self._dispatcher.submit(submission, now=now))
        if self._dispatcher.has_active_job(key):
            return (Send(entry, Taken(key)), *effects)
        return effects

    def drop(
        self, entry: InstanceId, dropped: Dropped, *, now: float
    ) -> Effects:
        """Stop a job whose caller has left."""
        mine = self._jobs.get(entry, set())
        if dropped.job not in mine:
            return ()
        mine.discard(dropped.job)
        if self._dispatcher.entry_of(dropped.job) != entry:
            return ()
        return self.convey(self._dispatcher.drop(dropped.job, now=now))

    def hear(
        self,
        entry: InstanceId,
        beat: EntryBeat,
        *,
        now: float,
    ) -> Effects:
        """Take the heartbeat of an entry."""
        self._hear(entry, beat.stamp)
        if beat.jobs is None:
            return ()
        return (
            *self._drop_unlisted(entry, frozenset(beat.jobs), now),
            *self._find_unknown(entry, beat.jobs),
        )

    def tick(self, *, now: float) -> Effects:
        """Stop the jobs of entries whose lease has ended."""
        effects: list[Effect] = []
        for entry, end in tuple(self._leases.items()):
            if now >= end:
                effects.extend(self._drop_unlisted(entry, frozenset(), now))
                self._jobs.pop(entry, None)
                self._leases.pop(entry)
        return tuple(effects)

    def convey(self, effects: Iterator[object] | tuple[object, ...]) -> Effects:
        """Turn the ends of jobs into messages to their entries."""
        return tuple(self._convey_each(effects))

    def _convey_each(
        self,
        effects: Iterator[object] | tuple[object, ...],
    ) -> Iterator[Effect]:
        for effect in effects:
            match effect:
                case JobEnded():
                    self._forget(effect.entry, effect.job)
                    ended = Ended(effect.job, effect.state)
                    yield Send(effect.entry, ended)
                case JobRefused():
                    self._forget(effect.entry, effect.job)
                    refused = Refused(
                        effect.job,
                        effect.reason,
                        effect.retry_after,
                    )
                    yield Send(effect.entry, refused)
                case StartRun() | StopRun() | Hold() | LogEvent() | Fenced():
                    yield effect

    def _hear(self, entry: InstanceId, stamp: float) -> None:
        end = stamp + ENTRY_LEASE_SECONDS
        self._leases[entry] = max(end, self._leases.get(entry, 0))
        self._dispatcher.record_entry_contact(entry, stamp)

    def _forget(self, entry: InstanceId, key: JobKey) -> None:
        self._jobs.get(entry, set()).discard(key)

    def _drop_unlisted(
        self,
        entry: InstanceId,
        listed: frozenset[JobKey],
        now: float,
    ) -> Iterator[Effect]:
        for key in self._jobs.get(entry, set()) - listed:
            yield from self.drop(entry, Dropped(key), now=now)

    def _find_unknown(
        self,
        entry: InstanceId,
        keys: tuple[JobKey, ...],
    ) -> Iterator[Effect]:
        unknown: list[JobKey] = []
        for key in keys:
            state = self._dispatcher.recent_outcome(key)
            if state is not None:
                yield Send(entry, Ended(key, state))
            elif not self._dispatcher.has_active_job(key):
                unknown.append(key)
        if unknown:
            yield Send(entry, Unknown(tuple(unknown)))
