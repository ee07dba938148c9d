"""The entry's side of jobs: submits them to the dispatcher until they end.

An entry follows one dispatcher at a time.  If that dispatcher is lost, the
entry submits its unfinished jobs to the next one.
"""

import math
from collections.abc import Iterator
from typing import Final

from cuminstack.core import InstanceId, JobKey, Send, ZoneName
from cuminstack.fleet._answers import (
    Answer,
    Answered,
    Completed,
    Failure,
    MayHaveRun,
    NotRun,
)
from cuminstack.fleet._election import HEARTBEAT_TIMEOUT_SECONDS
from cuminstack.fleet._messages import (
    Dropped,
    Ended,
    EntryBeat,
    HeardDispatcher,
    LeaderBeat,
    Refused,
    Taken,
    UnknownJobs,
)
from cuminstack.fleet._pending import PendingJob
from cuminstack.pool import LEASE_SECONDS, JobRequest, QueueTerms

#: Seconds for which a dispatcher continues the jobs of a silent entry.
ENTRY_LEASE_SECONDS: Final = 0.4
#: Seconds added for stopping a run, slow clocks and network delay.
_STOP_MARGIN_SECONDS: Final = 0.2
#: Seconds after a dispatcher has resigned until none of the runs that it
#: ordered is left.
_RESIGNED_RUNS_EXPIRE_SECONDS: Final = LEASE_SECONDS + _STOP_MARGIN_SECONDS
#: Seconds after the last message of a dispatcher until none of the runs that
#: it ordered is left.
_RUNS_EXPIRE_SECONDS: Final = (
    ENTRY_LEASE_SECONDS + _RESIGNED_RUNS_EXPIRE_SECONDS
)
#: Seconds after which a submission without a reply is sent again.  The time
#: doubles with each attempt, as a dispatcher that is late has to read and
#: answer each copy.
_RESEND_SECONDS: Final = 0.15
#: Seconds without a dispatcher after which jobs that wait for one are refused.
#: A takeover takes about half of this.
LEADERLESS_SECONDS: Final = 1.0
#: Retry-after, in seconds, of an entry that is about to end; the caller then
#: reaches another entry.
_LEAVING_RETRY_SECONDS: Final = 1.0
_NO_ZONE: Final = ZoneName('')

Effect = Send | Answered
Effects = tuple[Effect, ...]


class DispatcherClient:
    """Submits the jobs of callers to the dispatcher and tracks them.

    Submissions are sent again until the dispatcher confirms them, and after
    each change of the dispatcher.

    Args:
        now: The present time in seconds.
        zone: Availability zone of the entry.
        capacity: Number of endpoints that the entry can dispatch for; 0 if it
            isn't known.
    """

    def __init__(
        self,
        *,
        now: float,
        zone: ZoneName = _NO_ZONE,
        capacity: int = 0,
    ) -> None:
        self._zone = zone
        self._capacity = capacity
        self._pending: dict[JobKey, PendingJob] = {}
        self._leader: InstanceId | None = None
        self._has_resigned = False
        self._resigned_at: float = 0
        self._term = 0
        self._leader_was_rival = False
        self._rivals: set[InstanceId] = set()
        self._heard: dict[InstanceId, tuple[HeardDispatcher, float]] = {}
        self._last_beat_at = now
        self._stamps: dict[InstanceId, float] = {}
        self._answers_until = math.inf
        self._abandoned: set[JobKey] = set()

    @property
    def leader(self) -> InstanceId | None:
        """The present or last dispatcher; None if there was none yet."""
        return self._leader

    @property
    def waiting(self) -> int:
        """Number of jobs that callers wait for."""
        return len(self._pending)

    def has_leader(self, *, now: float) -> bool:
        """Return whether a dispatcher is live and has not resigned."""
        silence = now - self._last_beat_at
        is_live = (
            self._leader is not None and silence < HEARTBEAT_TIMEOUT_SECONDS
        )
        return is_live and not self._has_resigned

    def submit(
        self,
        request: JobRequest,
        terms: QueueTerms,
        *,
        deadline: float,
        now: float,
    ) -> Effects:
        """Submit a job of a caller, or extend the deadline of a known one.

        Args:
            request: The job.
            terms: Terms of its queue in the desired state.
            deadline: When the caller stops waiting, in seconds.
            now: The present time in seconds.
        """
        deadline = min(deadline, self._answers_until)
        known = self._pending.get(request.key)
        if known is not None:
            known.deadline = max(known.deadline, deadline)
            return ()
        if request.key in self._abandoned:
            return (Answered(request.key, MayHaveRun(Failure.leaving)),)
        if now >= self._answers_until:
            refusal = NotRun(Failure.leaving.value, _LEAVING_RETRY_SECONDS)
            return (Answered(request.key, refusal),)
        silence = now - self._last_beat_at
        if silence > LEADERLESS_SECONDS:
            refusal = NotRun(Failure.no_dispatcher.value, LEADERLESS_SECONDS)
            return (Answered(request.key, refusal),)
        pending = PendingJob(request, terms, now, deadline)
        self._pending[request.key] = pending
        return self._send(pending, now)

    def leave(self, *, answers_until: float) -> None:
        """Limit all deadlines, so that jobs are answered before the end.

        Submissions carry the time that is left, so the dispatcher refuses
        jobs at once that take longer.

        Args:
            answers_until: Time in seconds by which every job is answered,
                even if its outcome isn't known.
        """
        self._answers_until = min(self._answers_until, answers_until)
        for pending in self._pending.values():
            pending.deadline = min(pending.deadline, answers_until)

    def drop(self, key: JobKey) -> Effects:
        """Remove a job whose caller has left."""
        pending = self._pending.pop(key, None)
        if pending is None or pending.sent_to is None:
            return ()
        return (Send(pending.sent_to, Dropped(key)),)

    def make_beat(
        self,
        control: InstanceId,
        *,
        version: int,
        now: float,
    ) -> EntryBeat:
        """Return the heartbeat for a control instance.

        Args:
            control: The receiver.
            version: Version of the desired state that this entry has.
            now: The present time in seconds.
        """
        stamp = self._stamps.get(control, 0)
        leader = self._leader if self.has_leader(now=now) else None
        jobs = None
        if control == self._leader:
            jobs = tuple(
                key
                for key, pending in self._pending.items()
                if pending.sent_to == control
            )
        return EntryBeat(
            stamp,
            version,
            leader,
            jobs,
            term=self._term,
            zone=self._zone,
            capacity=self._capacity,
            heard=self._heard_dispatchers(now),
        )

    def receive_leader_beat(
        self,
        sender: InstanceId,
        beat: LeaderBeat,
        *,
        now: float,
    ) -> Effects:
        """Handle a heartbeat of a control instance.

        The sender becomes the dispatcher if it leads and this entry has no
        live dispatcher.
        """
        self._stamps[sender] = beat.stamp
        self._record_heard(sender, beat, now)
        if sender == self._leader:
            return self._receive_own_leader(beat, now)
        if not beat.term:
            return ()
        if self.has_leader(now=now):
            # A second dispatcher, which may start tasks until it resigns.
            self._rivals.add(sender)
            return ()
        self._term = beat.term
        effects = self._change_leader(sender, now)
        self._last_beat_at = now
        return effects

    def _record_heard(
        self, sender: InstanceId, beat: LeaderBeat, now: float
    ) -> None:
        # Several deputies dispatch at once, each for its own zones.
        if beat.term and not beat.from_deputy:
            heard = HeardDispatcher(sender, beat.term, beat.reach)
            self._heard[sender] = (heard, now)
        else:
            self._heard.pop(sender, None)

    def _heard_dispatchers(self, now: float) -> tuple[HeardDispatcher, ...]:
        """Return the live dispatchers that this entry doesn't follow."""
        return tuple(
            heard
            for name, (heard, heard_at) in self._heard.items()
            if name != self._leader
            and now - heard_at < HEARTBEAT_TIMEOUT_SECONDS
        )

    def _receive_own_leader(self, beat: LeaderBeat, now: float) -> Effects:
        was_resigned = self._has_resigned
        self._has_resigned = not beat.term
        if self._has_resigned:
            self._resigned_at = self._resigned_at if was_resigned else now
            return ()
        self._term = beat.term
        self._last_beat_at = now
        return self._resend(now)

    def receive(
        self,
        sender: InstanceId,
        reply: Taken | UnknownJobs | Ended | Refused,
        *,
        now: float,
    ) -> Effects:
        """Handle a dispatcher's reply about jobs."""
        match reply:
            case Taken():
                self._mark_taken(sender, reply.job)
            case UnknownJobs():
                return self._resubmit(sender, reply.jobs, now)
            case Ended(useless=True):
                return self._answer(reply.job, MayHaveRun(Failure.useless))
            case Ended():
                return self._answer(reply.job, Completed(reply.state))
            case Refused():
                return self._handle_refusal(sender, reply)
        return ()

    def tick(self, *, now: float) -> Effects:
        """Answer jobs past their deadline, and send others again.

        Without a dispatcher, jobs are refused that were never sent to one, once
        they can't be useful any more or no takeover is to be expected.
        """
        effects: list[Effect] = []
        for key, pending in tuple(self._pending.items()):
            if now >= pending.deadline:
                effects.extend(self._expire(key, pending))
        if not self.has_leader(now=now):
            effects.extend(self._refuse_unsent(now))
        return (*effects, *self._resend(now))

    def _expire(self, key: JobKey, pending: PendingJob) -> Effects:
        is_leaving = pending.deadline >= self._answers_until
        failure = Failure.leaving if is_leaving else Failure.deadline
        if not pending.was_sent:
            refusal = NotRun(failure.value, LEADERLESS_SECONDS)
            return self._answer(key, refusal)
        answer = MayHaveRun(failure)
        if is_leaving:
            self._abandoned.add(key)
        dropped = self.drop(key)
        return (*dropped, Answered(key, answer))

    def _refuse_unsent(self, now: float) -> Iterator[Effect]:
        refusal = NotRun(Failure.no_dispatcher.value, LEADERLESS_SECONDS)
        is_lost = now - self._last_beat_at > LEADERLESS_SECONDS
        for key, pending in tuple(self._pending.items()):
            is_late = not pending.can_be_useful(now=now)
            if not pending.was_sent and (is_lost or is_late):
                yield from self._answer(key, refusal)

    def _end_useless(self, now: float) -> Iterator[Effect]:
        """End the jobs that the next dispatcher would run for nothing.

        They would delay those that can still be useful.
        """
        refusal = NotRun(Failure.no_dispatcher.value, LEADERLESS_SECONDS)
        for key, pending in tuple(self._pending.items()):
            if pending.can_be_useful(now=now):
                continue
            answer = (
                MayHaveRun(Failure.useless) if pending.was_sent else refusal
            )
            yield from self._answer(key, answer)

    def _change_leader(self, leader: InstanceId, now: float) -> Effects:
        """Submit all jobs to a new dispatcher.

        Tasks that the previous dispatcher started may be running until its
        orders have expired.
        """
        expire_at = self._last_beat_at + _RUNS_EXPIRE_SECONDS
        if self._has_resigned:
            resigned_at = self._resigned_at + _RESIGNED_RUNS_EXPIRE_SECONDS
            expire_at = min(expire_at, resigned_at)
        self._leader_was_rival = leader in self._rivals
        self._leader = leader
        self._has_resigned = False
        self._rivals.clear()
        self._last_beat_at = now
        effects: list[Effect] = list(self._end_useless(now))
        for pending in self._pending.values():
            if pending.was_sent:
                pending.may_have_run = True
                pending.may_run_until = max(pending.may_run_until, expire_at)
            pending.taken = False
            effects.extend(self._send(pending, now))
        return tuple(effects)

    def _resend(self, now: float) -> Effects:
        """Send jobs again that the dispatcher hasn't confirmed in time."""
        if not self.has_leader(now=now):
            return ()
        effects: list[Effect] = []
        for pending in self._pending.values():
            waited = now - pending.sent_at
            resend_after = math.ldexp(_RESEND_SECONDS, pending.attempts - 1)
            if not pending.taken and waited > resend_after:
                effects.extend(self._send(pending, now))
        return tuple(effects)

    def _resubmit(
        self,
        sender: InstanceId,
        keys: tuple[JobKey, ...],
        now: float,
    ) -> Effects:
        """Submit jobs again that the dispatcher doesn't have."""
        effects: list[Effect] = []
        for key in keys:
            pending = self._pending.get(key)
            if pending is not None and pending.sent_to == sender:
                self._mark_unknown(pending, now)
                effects.extend(self._send(pending, now))
        return tuple(effects)

    def _mark_unknown(self, pending: PendingJob, now: float) -> None:
        """Record that the dispatcher doesn't have a job any more.

        Within a term the dispatcher knows the runs that it has started;
        after a restart it doesn't.
        """
        pending.taken = False
        pending.may_have_run = True
        if pending.sent_term != self._term:
            pending.may_run_until = now + _RUNS_EXPIRE_SECONDS

    def _send(self, pending: PendingJob, now: float) -> Effects:
        if self._leader is None or not self.has_leader(now=now):
            return ()
        is_same = pending.sent_to == self._leader and not pending.taken
        pending.attempts = pending.attempts + 1 if is_same else 1
        pending.sent_to = self._leader
        pending.sent_at = now
        pending.sent_term = self._term
        submit = pending.to_submit(
            stamp=self._stamps.get(self._leader, 0),
            from_rival=self._leader_was_rival,
            now=now,
        )
        return (Send(self._leader, submit),)

    def _mark_taken(self, sender: InstanceId, key: JobKey) -> None:
        pending = self._pending.get(key)
        if pending is not None and pending.sent_to == sender:
            pending.taken = True

    def _handle_refusal(self, sender: InstanceId, reply: Refused) -> Effects:
        """Answer a refused job.

        If an earlier dispatcher may have started tasks of it, the answer is
        that it may have run.
        """
        pending = self._pending.get(reply.job)
        if pending is None or pending.sent_to != sender:
            return ()
        if pending.may_have_run:
            return self._answer(reply.job, MayHaveRun(Failure.interrupted))
        refusal = NotRun(reply.reason.value, reply.retry_after)
        return self._answer(reply.job, refusal)

    def _answer(self, key: JobKey, answer: Answer) -> Effects:
        if self._pending.pop(key, None) is None:
            return ()
        return (Answered(key, answer),)
