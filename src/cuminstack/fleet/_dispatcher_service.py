"""The dispatcher's side of jobs: accepts them from entries until they end."""

from collections.abc import Iterator

from cuminstack.core import InstanceId, JobKey, Send
from cuminstack.fleet._carriage import Order
from cuminstack.fleet._dispatcher_client import ENTRY_LEASE_SECONDS
from cuminstack.fleet._messages import (
    Dropped,
    EntryBeat,
    Refused,
    Submit,
    Taken,
    UnknownJobs,
    make_ended,
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
    TokensLow,
)

Effect = Order | Send | LogEvent | Fenced | TokensLow
Effects = tuple[Effect, ...]


class DispatcherService:
    """Connects the dispatcher with the entries whose jobs it runs.

    Jobs are kept only while their entry follows this dispatcher, holds a lease
    and lists them in its heartbeats.  A lease begins at the latest of this
    instance's stamps that the entry returned, so a heartbeat that was delayed
    in the network doesn't renew it.

    Args:
        dispatcher: Decides which task runs at which endpoint.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._leases: dict[InstanceId, float] = {}
        self._jobs: dict[InstanceId, set[JobKey]] = {}
        self._last_tick_at: float = 0

    @property
    def dispatcher(self) -> Dispatcher:
        """The dispatcher, which decides which task runs where."""
        return self._dispatcher

    def leased_entries(self, *, now: float) -> tuple[InstanceId, ...]:
        """Return the entries that follow this dispatcher and hold a lease."""
        return tuple(name for name, end in self._leases.items() if now < end)

    def observe(self, report: EndpointReport, *, now: float) -> Effects:
        """Pass a heartbeat of an endpoint to the dispatcher."""
        return self.translate_effects(self._dispatcher.observe(report, now=now))

    def submit(
        self,
        entry: InstanceId,
        submit: Submit,
        *,
        is_warm: bool,
        now: float,
    ) -> Effects:
        """Submit a job of an entry to the dispatcher.

        Args:
            entry: The entry.
            submit: The job.
            is_warm: Whether this instance knows all endpoints that the
                entry's previous dispatcher may have used.
            now: The present time in seconds.
        """
        key = submit.request.key
        if now >= submit.stamp + ENTRY_LEASE_SECONDS:
            # Delayed in the network; the entry may have answered the job
            # since.  If it still has the job, it submits it again.
            return (LogEvent('job.handed_over_late', (('key', key),)),)
        self._renew_lease(entry, submit.stamp)
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
        effects = self.translate_effects(
            self._dispatcher.submit(submission, now=now)
        )
        if self._dispatcher.has_active_job(key):
            return (Send(entry, Taken(key)), *effects)
        return effects

    def drop(
        self, entry: InstanceId, dropped: Dropped, *, now: float
    ) -> Effects:
        """Stop a job whose caller has left.

        The job continues if another entry has submitted it since.
        """
        jobs = self._jobs.get(entry, set())
        if dropped.job not in jobs:
            return ()
        jobs.discard(dropped.job)
        if self._dispatcher.entry_of(dropped.job) != entry:
            return ()
        return self.translate_effects(
            self._dispatcher.drop(dropped.job, now=now)
        )

    def receive_beat(
        self,
        entry: InstanceId,
        beat: EntryBeat,
        *,
        now: float,
    ) -> Effects:
        """Handle a heartbeat of an entry.

        Renew its lease, stop jobs that it doesn't list, and report listed
        jobs that have ended or are unknown here.  An entry that follows
        another dispatcher has handed all its jobs over.
        """
        if beat.jobs is None:
            return tuple(self._release(entry, now))
        self._renew_lease(entry, beat.stamp)
        return (
            *self._drop_unlisted(entry, frozenset(beat.jobs), now),
            *self._report_missing(entry, beat.jobs),
        )

    def tick(self, *, now: float) -> Effects:
        """Stop the jobs of entries whose lease has expired.

        A lease must have expired by the previous tick.  If this process was
        late, heartbeats that came meanwhile are read only after the first
        tick.
        """
        effects: list[Effect] = []
        expired_by = min(now, self._last_tick_at)
        self._last_tick_at = now
        for entry, end in tuple(self._leases.items()):
            if expired_by >= end:
                effects.extend(self._release(entry, now))
        return tuple(effects)

    def translate_effects(
        self, effects: Iterator[object] | tuple[object, ...]
    ) -> Effects:
        """Convert ends and refusals of jobs to messages to their entries."""
        return tuple(self._translate_each(effects))

    def _translate_each(
        self,
        effects: Iterator[object] | tuple[object, ...],
    ) -> Iterator[Effect]:
        for effect in effects:
            match effect:
                case JobEnded():
                    self._forget(effect.entry, effect.job)
                    ended = make_ended(effect.job, effect.state)
                    yield Send(effect.entry, ended)
                case JobRefused():
                    self._forget(effect.entry, effect.job)
                    refused = Refused(
                        effect.job,
                        effect.reason,
                        effect.retry_after,
                    )
                    yield Send(effect.entry, refused)
                case (
                    StartRun()
                    | StopRun()
                    | Hold()
                    | LogEvent()
                    | Fenced()
                    | TokensLow()
                ):
                    yield effect

    def _renew_lease(self, entry: InstanceId, stamp: float) -> None:
        end = stamp + ENTRY_LEASE_SECONDS
        self._leases[entry] = max(end, self._leases.get(entry, 0))
        self._dispatcher.record_entry_contact(entry, stamp)

    def _release(self, entry: InstanceId, now: float) -> Iterator[Effect]:
        """Stop all jobs of an entry, and end its lease."""
        yield from self._drop_unlisted(entry, frozenset(), now)
        self._jobs.pop(entry, None)
        self._leases.pop(entry, None)

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

    def _report_missing(
        self,
        entry: InstanceId,
        keys: tuple[JobKey, ...],
    ) -> Iterator[Effect]:
        """Send the ends of listed jobs, and report those that are unknown."""
        unknown: list[JobKey] = []
        for key in keys:
            state = self._dispatcher.recent_outcome(key)
            if state is not None:
                yield Send(entry, make_ended(key, state))
            elif not self._dispatcher.has_active_job(key):
                unknown.append(key)
        if unknown:
            yield Send(entry, UnknownJobs(tuple(unknown)))
