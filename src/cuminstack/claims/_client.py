"""Claimant side: obtains from a job's replicas the right to start the job.

The protocol is single-decree consensus with a fast first ballot.  The first
proposal needs no promises: each replica accepts the first proposal that it
receives, and a majority decides the claim in one round trip.  Only competing
claimants need a later ballot, which collects promises first.
"""

from dataclasses import dataclass

from cuminstack.claims._attempt import Attempt, ClaimTimeouts, Phase
from cuminstack.claims._messages import (
    AlreadyClaimed,
    Claimed,
    NoMajority,
    Recorded,
    Settled,
    Vote,
)
from cuminstack.claims._outbox import Outbox
from cuminstack.claims._tally import Unconstrained, Undetermined
from cuminstack.claims._values import Ballot, Claim, VoteState
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, JobId, Send

Effect = Send | Claimed | AlreadyClaimed | NoMajority
Effects = tuple[Effect, ...]


@dataclass(frozen=True, slots=True)
class _RetainedClaim:
    """Claim that this instance retains, with its expiry in seconds."""

    claim: Claim
    voters: tuple[InstanceId, ...]
    expires_at: float


class ClaimClient:
    """Claims jobs for this instance and records their outcomes.

    Args:
        own: This instance, with its current incarnation.
        view: The configured instances.
        timeouts: Delays and timeouts of an attempt.
        lifetime: Lifetime of a claim, in seconds.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        timeouts: ClaimTimeouts | None = None,
        lifetime: float = 600,
    ) -> None:
        self._own = own
        self._view = view
        self._timeouts = ClaimTimeouts() if timeouts is None else timeouts
        self._lifetime = lifetime
        self._attempts: dict[JobId, Attempt] = {}
        self._held: dict[JobId, _RetainedClaim] = {}
        self._abandoned: dict[JobId, _RetainedClaim] = {}
        self._outbox = Outbox()
        self._serial = 0
        self._nonce = 0
        self._ballot_number = 0

    def claim(
        self,
        job: JobId,
        body_digest: bytes,
        *,
        now: float,
    ) -> Effects:
        """Start an attempt to claim a job.

        While an attempt at the job is in progress, a call with the same body
        does nothing, and one with another body is rejected with `NoMajority`.
        An attempt that was given up is resumed with the same claim, since that
        claim may have been decided without the votes reaching this instance.

        Args:
            job: The job.
            body_digest: Digest of the submitted body.
            now: Current time, in seconds.

        Returns:
            Effects to apply: messages to send, or a result.
        """
        running = self._attempts.get(job)
        if running is not None:
            same = running.claim.digest == body_digest
            return () if same else (NoMajority(job, ()),)
        attempt = Attempt(
            job,
            self._claim_for(job, body_digest),
            self._view,
            timeouts=self._timeouts,
            now=now,
        )
        self._attempts[job] = attempt
        serial = self._next_serial()
        return attempt.propose(attempt.claim, serial=serial, now=now)

    def receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> Effects:
        """Handle a message from a replica, including the local one."""
        if isinstance(message, Recorded):
            self._outbox.confirm(sender, message.serial)
        if not isinstance(message, Vote):
            return ()
        attempt = self._attempts.get(message.job)
        if attempt is None or attempt.serial != message.serial:
            return ()
        if attempt.has_timed_out(now=now):
            return self._give_up(attempt, now)
        if attempt.tally.add(sender, message):
            return self._advance(attempt, now)
        return ()

    def tick(self, *, now: float) -> Effects:
        """Process timers; must be called at least every 50 ms."""
        effects: list[Effect] = []
        for attempt in tuple(self._attempts.values()):
            effects.extend(self._tick_attempt(attempt, now))
        self._expire(now)
        return (*effects, *self._outbox.flush(now=now))

    def cancel(self, job: JobId, *, now: float) -> Effects:
        """Give up the attempt at a job, if one is in progress."""
        attempt = self._attempts.get(job)
        return () if attempt is None else self._give_up(attempt, now)

    def stop_batching(self) -> None:
        """Send outcomes without batching delay, as this instance shuts down."""
        self._outbox.stop_batching()

    def record_outcome(self, job: JobId, outcome: bytes) -> None:
        """Queue the outcome of a job that was claimed here for recording."""
        retained = self._held.pop(job, None)
        if retained is not None:
            self.settle(Settled(job, retained.claim, outcome, retained.voters))

    def settle(self, settled: Settled) -> None:
        """Queue an outcome for the replicas; the next tick may send it."""
        self._outbox.put(settled, settled.voters)

    def _claim_for(self, job: JobId, digest: bytes) -> Claim:
        """Return the claim that was given up for this body, or a new one."""
        retained = self._abandoned.get(job)
        if retained is not None and retained.claim.digest == digest:
            return retained.claim
        self._nonce += 1
        return Claim(
            holder=self._own.instance,
            incarnation=self._own.incarnation,
            digest=digest,
            nonce=self._nonce,
        )

    def _advance(self, attempt: Attempt, now: float) -> Effects:
        tally = attempt.tally
        if attempt.phase is Phase.propose:
            final = tally.final_state(attempt.ballot, attempt.proposal)
            if final is not None:
                return self._finish(attempt, final, now)
            return self._escalate(attempt, now) if tally.cannot_succeed else ()
        decided = tally.decided_state()
        if decided is not None:
            return self._finish(attempt, decided, now)
        if tally.cannot_succeed:
            attempt.back_off(now=now)
            return ()
        safe = tally.safe_claim()
        if isinstance(safe, Undetermined):
            if not tally.pending:
                attempt.back_off(now=now)
            return ()
        claim = attempt.claim if isinstance(safe, Unconstrained) else safe
        return attempt.propose(claim, serial=self._next_serial(), now=now)

    def _escalate(self, attempt: Attempt, now: float) -> Effects:
        """Prepare a later ballot, without delay after the first one."""
        if attempt.ballot.number:
            attempt.back_off(now=now)
            return ()
        return self._prepare(attempt, now)

    def _prepare(self, attempt: Attempt, now: float) -> Effects:
        seen = attempt.tally.highest_promise
        self._ballot_number = max(self._ballot_number, seen) + 1
        ballot = Ballot(
            self._ballot_number,
            self._own.instance,
            self._own.incarnation,
        )
        return attempt.prepare(ballot, serial=self._next_serial(), now=now)

    def _tick_attempt(self, attempt: Attempt, now: float) -> Effects:
        if attempt.has_timed_out(now=now):
            return self._give_up(attempt, now)
        if attempt.retry_at is not None:
            due = now >= attempt.retry_at
            return self._prepare(attempt, now) if due else ()
        if not attempt.is_resend_due(now=now):
            return ()
        if attempt.tally.refused:
            return self._prepare(attempt, now)
        return attempt.resend(now=now)

    def _finish(
        self,
        attempt: Attempt,
        final: VoteState,
        now: float,
    ) -> Effects:
        job = attempt.job
        self._attempts.pop(job)
        if final.claim == attempt.claim:
            self._abandoned.pop(job, None)
            self._held[job] = self._retain(attempt, now)
            return (Claimed(job),)
        claim = final.claim or attempt.claim
        return (
            AlreadyClaimed(
                job=job,
                holder=claim.holder,
                incarnation=claim.incarnation,
                body_digest=claim.digest,
                outcome=final.outcome,
            ),
        )

    def _give_up(self, attempt: Attempt, now: float) -> Effects:
        self._attempts.pop(attempt.job)
        self._abandoned[attempt.job] = self._retain(attempt, now)
        return (NoMajority(attempt.job, attempt.tally.answers),)

    def _retain(self, attempt: Attempt, now: float) -> _RetainedClaim:
        expires_at = now + 2 * self._lifetime
        return _RetainedClaim(attempt.claim, attempt.voters, expires_at)

    def _expire(self, now: float) -> None:
        """Drop claims that the replicas no longer hold, oldest first."""
        for retained in (self._held, self._abandoned):
            for job in tuple(retained):
                if retained[job].expires_at > now:
                    break
                retained.pop(job)

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial
