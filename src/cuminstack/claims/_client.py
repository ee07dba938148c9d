"""The claimant: asks the replicas of a job for the right to start it.

The first proposal needs no promises: each replica accepts the first that it
sees, and a majority makes it final in one round trip.  Only where claimants
race is a later ballot needed, with promises first.
"""

from dataclasses import dataclass

from cuminstack.claims._attempt import Attempt, Patience, Phase
from cuminstack.claims._messages import (
    AlreadyClaimed,
    Claimed,
    NoMajority,
    Recorded,
    Settled,
    Vote,
)
from cuminstack.claims._outbox import Outbox
from cuminstack.claims._tally import Free, Unclear
from cuminstack.claims._values import Ballot, Claim, VoteState
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, JobId, Send

Effect = Send | Claimed | AlreadyClaimed | NoMajority
Effects = tuple[Effect, ...]


@dataclass(frozen=True, slots=True)
class _Kept:
    """A claim that this instance remembers, until a time in seconds."""

    claim: Claim
    voters: tuple[InstanceId, ...]
    until: float


class ClaimClient:
    """Claims jobs for this instance and records their outcomes.

    Args:
        own: This instance, with its live incarnation.
        view: The configured instances.
        patience: Waits of an attempt.
        lifetime: Of a claim, in seconds.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        patience: Patience | None = None,
        lifetime: float = 600,
    ) -> None:
        self._own = own
        self._view = view
        self._patience = Patience() if patience is None else patience
        self._lifetime = lifetime
        self._attempts: dict[JobId, Attempt] = {}
        self._held: dict[JobId, _Kept] = {}
        self._abandoned: dict[JobId, _Kept] = {}
        self._outbox = Outbox()
        self._serial = 0
        self._nonce = 0
        self._number = 0

    def claim(
        self,
        job: JobId,
        body_digest: bytes,
        *,
        now: float,
    ) -> Effects:
        """Begin to claim a job.

        During an attempt this does nothing, or turns another body down.  An
        attempt that was given up is resumed, as it may be final unseen.

        Args:
            job: The job.
            body_digest: Digest of the submitted body.
            now: The present time, in seconds.
        """
        running = self._attempts.get(job)
        if running is not None:
            same = running.claim.digest == body_digest
            return () if same else (NoMajority(job, ()),)
        attempt = Attempt(
            job,
            self._claim_for(job, body_digest),
            self._view,
            patience=self._patience,
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
        """Take a message of a replica, this instance's own included."""
        if isinstance(message, Recorded):
            self._outbox.confirm(sender, message.serial)
        if not isinstance(message, Vote):
            return ()
        attempt = self._attempts.get(message.job)
        if attempt is None or attempt.serial != message.serial:
            return ()
        if attempt.is_over(now=now):
            return self._give_up(attempt, now)
        if attempt.tally.add(sender, message):
            return self._advance(attempt, now)
        return ()

    def tick(self, *, now: float) -> Effects:
        """Do what is due; call it at least every 50 ms."""
        effects: list[Effect] = []
        for attempt in tuple(self._attempts.values()):
            effects.extend(self._hurry(attempt, now))
        self._forget(now)
        return (*effects, *self._outbox.flush(now=now))

    def cancel(self, job: JobId, *, now: float) -> Effects:
        """Give up the attempt at a job, if one is under way."""
        found = self._attempts.get(job)
        return () if found is None else self._give_up(found, now)

    def stop_collecting(self) -> None:
        """Send outcomes at once from now on, as this instance leaves."""
        self._outbox.stop_collecting()

    def record_outcome(self, job: JobId, outcome: bytes) -> None:
        """Have the outcome of a job that was claimed here recorded."""
        kept = self._held.pop(job, None)
        if kept is not None:
            self.settle(Settled(job, kept.claim, outcome, kept.voters))

    def settle(self, settled: Settled) -> None:
        """Have an outcome recorded, with the next tick."""
        self._outbox.put(settled, settled.voters)

    def _claim_for(self, job: JobId, digest: bytes) -> Claim:
        """Give an abandoned claim once more, else a new one."""
        kept = self._abandoned.get(job)
        if kept is not None and kept.claim.digest == digest:
            return kept.claim
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
            return self._race(attempt, now) if tally.is_hopeless else ()
        decided = tally.decided_state()
        if decided is not None:
            return self._finish(attempt, decided, now)
        if tally.is_hopeless:
            attempt.back_off(now=now)
            return ()
        safe = tally.safe_claim()
        if isinstance(safe, Unclear):
            if not tally.silent:
                attempt.back_off(now=now)
            return ()
        claim = attempt.claim if isinstance(safe, Free) else safe
        return attempt.propose(claim, serial=self._next_serial(), now=now)

    def _race(self, attempt: Attempt, now: float) -> Effects:
        """Go to a later ballot; at once, if this is the first race."""
        if attempt.ballot.number:
            attempt.back_off(now=now)
            return ()
        return self._prepare(attempt, now)

    def _prepare(self, attempt: Attempt, now: float) -> Effects:
        seen = attempt.tally.highest_promise
        self._number = max(self._number, seen) + 1
        ballot = Ballot(
            self._number,
            self._own.instance,
            self._own.incarnation,
        )
        return attempt.prepare(ballot, serial=self._next_serial(), now=now)

    def _hurry(self, attempt: Attempt, now: float) -> Effects:
        if attempt.is_over(now=now):
            return self._give_up(attempt, now)
        if attempt.retry_at is not None:
            due = now >= attempt.retry_at
            return self._prepare(attempt, now) if due else ()
        if not attempt.is_due(now=now):
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
            self._held[job] = self._keep(attempt, now)
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
        self._abandoned[attempt.job] = self._keep(attempt, now)
        return (NoMajority(attempt.job, attempt.tally.answers),)

    def _keep(self, attempt: Attempt, now: float) -> _Kept:
        until = now + 2 * self._lifetime
        return _Kept(attempt.claim, attempt.voters, until)

    def _forget(self, now: float) -> None:
        """Drop what outlived the replicas' memory; the oldest come first."""
        for kept in (self._held, self._abandoned):
            for job in tuple(kept):
                if kept[job].until > now:
                    break
                kept.pop(job)

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial
