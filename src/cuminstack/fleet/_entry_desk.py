"""The jobs of an entry's callers, and the dispatcher that has them."""

import math
from collections.abc import Iterator
from typing import Final

from cuminstack.core import InstanceId, JobKey, Send
from cuminstack.fleet._answers import (
    Answer,
    Answered,
    Completed,
    Failure,
    MayHaveRun,
    NotRun,
)
from cuminstack.fleet._election import SILENCE_SECONDS
from cuminstack.fleet._messages import (
    Dropped,
    Ended,
    EntryBeat,
    LeaderBeat,
    Refused,
    Taken,
    Unknown,
)
from cuminstack.fleet._pending import PendingJob
from cuminstack.pool import LEASE_SECONDS, JobRequest, QueueTerms

#: Seconds that a dispatcher goes on with the jobs of a silent entry.
ENTRY_LEASE_SECONDS: Final = 0.4
#: Seconds for a stop, slow clocks and delays on the way.
_STOP_SECONDS: Final = 0.2
#: Seconds after the last word of a dispatcher until nothing runs on its
#: orders.
_QUIET_SECONDS: Final = ENTRY_LEASE_SECONDS + LEASE_SECONDS + _STOP_SECONDS
#: Seconds after which a submission without a reply is sent again.
_RESEND_SECONDS: Final = 0.15
#: How long a job waits for a dispatcher to be chosen before it is refused.
#: A takeover takes about half of this.
LEADERLESS_SECONDS: Final = 1.0
#: When a caller of an entry that ends may come back, to another one.
_ELSEWHERE_SECONDS: Final = 1.0


Effect = Send | Answered
Effects = tuple[Effect, ...]


class EntryDesk:
    """Hands the jobs of callers to the dispatcher, and keeps them with it.

    Args:
        now: The present time.
    """

    def __init__(self, *, now: float) -> None:
        self._pending: dict[JobKey, PendingJob] = {}
        self._leader: InstanceId | None = None
        self._has_resigned = False
        self._term = 0
        self._is_rival = False
        self._rivals: set[InstanceId] = set()
        self._heard_at = now
        self._stamps: dict[InstanceId, float] = {}
        self._answers_until = math.inf
        self._given_up: set[JobKey] = set()

    @property
    def leader(self) -> InstanceId | None:
        """The dispatcher, if one was heard of."""
        return self._leader

    @property
    def waiting(self) -> int:
        """Jobs that callers wait for."""
        return len(self._pending)

    def has_leader(self, *, now: float) -> bool:
        """Tell whether a dispatcher was heard lately."""
        silence = now - self._heard_at
        is_heard = self._leader is not None and silence < SILENCE_SECONDS
        return is_heard and not self._has_resigned

    def submit(
        self,
        request: JobRequest,
        terms: QueueTerms,
        *,
        deadline: float,
        now: float,
    ) -> Effects:
        """Take a job of a caller; one that is known goes on."""
        deadline = min(deadline, self._answers_until)
        known = self._pending.get(request.key)
        if known is not None:
            known.deadline = max(known.deadline, deadline)
            return ()
        if request.key in self._given_up:
            return (Answered(request.key, MayHaveRun(Failure.leaving)),)
        if now >= self._answers_until:
            refusal = NotRun(Failure.leaving.value, _ELSEWHERE_SECONDS)
            return (Answered(request.key, refusal),)
        lost_for = now - self._heard_at
        if lost_for > LEADERLESS_SECONDS:
            refusal = NotRun(Failure.no_dispatcher.value, LEADERLESS_SECONDS)
            return (Answered(request.key, refusal),)
        pending = PendingJob(request, terms, now, deadline)
        self._pending[request.key] = pending
        return self._send(pending, now)

    def leave(self, *, answers_until: float) -> None:
        """Have each job answered before this entry ends.

        The dispatcher is told of the time that is left, and so refuses at
        once what takes longer.

        Args:
            answers_until: When the last job is answered, whatever became
                of it.
        """
        self._answers_until = min(self._answers_until, answers_until)
        for pending in self._pending.values():
            pending.deadline = min(pending.deadline, answers_until)

    def drop(self, key: JobKey) -> Effects:
        """Take that the caller of a job has left."""
        pending = self._pending.pop(key, None)
        if pending is None or pending.sent_to is None:
            return ()
        return (Send(pending.sent_to, Dropped(key)),)

    def beat_for(
        self,
        control: InstanceId,
        *,
        version: int,
        now: float,
    ) -> EntryBeat:
        """Give the heartbeat for a control instance."""
        stamp = self._stamps.get(control, 0)
        leader = self._leader if self.has_leader(now=now) else None
        if control != self._leader:
            return EntryBeat(stamp, version, leader, term=self._term)
        jobs = tuple(
            key
            for key, pending in self._pending.items()
            if pending.sent_to == control
        )
        return EntryBeat(stamp, version, leader, jobs, term=self._term)

    def hear_leader(
        self,
        sender: InstanceId,
        beat: LeaderBeat,
        *,
        now: float,
    ) -> Effects:
        """Take a heartbeat of a control instance."""
        self._stamps[sender] = beat.stamp
        if sender == self._leader:
            return self._hear_own_leader(beat, now)
        if not beat.term:
            return ()
        if self.has_leader(now=now):
            # It may go on starting tasks until it resigns.
            self._rivals.add(sender)
            return ()
        self._term = beat.term
        effects = self._change_leader(sender, now)
        self._heard_at = now
        return effects

    def _hear_own_leader(self, beat: LeaderBeat, now: float) -> Effects:
        self._has_resigned = not beat.term
        if self._has_resigned:
            return ()
        self._term = beat.term
        self._heard_at = now
        return self._resend(now)

    def receive(
        self,
        sender: InstanceId,
        reply: Taken | Unknown | Ended | Refused,
        *,
        now: float,
    ) -> Effects:
        """Take what a dispatcher says of jobs."""
        match reply:
            case Taken():
                self._taken(sender, reply.job)
            case Unknown():
                return self._send_again(sender, reply.jobs, now)
            case Ended():
                return self._answer(reply.job, Completed(reply.state))
            case Refused():
                return self._refused(sender, reply)
        return ()

    def tick(self, *, now: float) -> Effects:
        """Do what is due: resends, deadlines, a lost dispatcher."""
        effects: list[Effect] = []
        for key, pending in tuple(self._pending.items()):
            if now >= pending.deadline:
                effects.extend(self._expire(key, pending))
        if now - self._heard_at > LEADERLESS_SECONDS:
            effects.extend(self._give_up_unsent())
        return (*effects, *self._resend(now))

    def _expire(self, key: JobKey, pending: PendingJob) -> Effects:
        leaves = pending.deadline >= self._answers_until
        failure = Failure.leaving if leaves else Failure.deadline
        if not pending.was_sent:
            refusal = NotRun(failure.value, LEADERLESS_SECONDS)
            return self._answer(key, refusal)
        answer = MayHaveRun(failure)
        if leaves:
            self._given_up.add(key)
        dropped = self.drop(key)
        return (*dropped, Answered(key, answer))

    def _give_up_unsent(self) -> Iterator[Effect]:
        refusal = NotRun(Failure.no_dispatcher.value, LEADERLESS_SECONDS)
        for key, pending in tuple(self._pending.items()):
            if not pending.was_sent:
                yield from self._answer(key, refusal)

    def _change_leader(self, leader: InstanceId, now: float) -> Effects:
        quiet_at = self._heard_at + _QUIET_SECONDS
        self._is_rival = leader in self._rivals
        self._leader = leader
        self._has_resigned = False
        self._rivals.clear()
        self._heard_at = now
        effects: list[Effect] = []
        for pending in self._pending.values():
            if pending.was_sent:
                pending.may_have_run = True
                pending.may_run_until = max(pending.may_run_until, quiet_at)
            pending.taken = False
            effects.extend(self._send(pending, now))
        return tuple(effects)

    def _resend(self, now: float) -> Effects:
        if not self.has_leader(now=now):
            return ()
        effects: list[Effect] = []
        for pending in self._pending.values():
            waited = now - pending.sent_at
            if not pending.taken and waited > _RESEND_SECONDS:
                effects.extend(self._send(pending, now))
        return tuple(effects)

    def _send_again(
        self,
        sender: InstanceId,
        keys: tuple[JobKey, ...],
        now: float,
    ) -> Effects:
        effects: list[Effect] = []
        for key in keys:
            pending = self._pending.get(key)
            if pending is not None and pending.sent_to == sender:
                self._forgotten(pending, now)
                effects.extend(self._send(pending, now))
        return tuple(effects)

    def _forgotten(self, pending: PendingJob, now: float) -> None:
        """Take that the dispatcher doesn't have a job any more.

        In the same term it knows what it has started; after a restart it
        doesn't.
        """
        pending.taken = False
        pending.may_have_run = True
        if pending.sent_term != self._term:
            pending.may_run_until = now + _QUIET_SECONDS

    def _send(self, pending: PendingJob, now: float) -> Effects:
        if self._leader is None or not self.has_leader(now=now):
            return ()
        pending.sent_to = self._leader
        pending.sent_at = now
        pending.sent_term = self._term
        submit = pending.hand_over(
            stamp=self._stamps.get(self._leader, 0),
            from_rival=self._is_rival,
            now=now,
        )
        return (Send(self._leader, submit),)

    def _taken(self, sender: InstanceId, key: JobKey) -> None:
        pending = self._pending.get(key)
        if pending is not None and pending.sent_to == sender:
            pending.taken = True

    def _refused(self, sender: InstanceId, reply: Refused) -> Effects:
        """Pass on a refusal, if no other dispatcher may have run the job."""
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
