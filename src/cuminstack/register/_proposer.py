"""Proposer role of Paxos: submits sheets to the replicas in turn."""

from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import Final, Protocol

from cuminstack.core import InstanceId
from cuminstack.register._attempt import Attempt, Phase, Reply
from cuminstack.register._ballots import BallotSource
from cuminstack.register._known import KnownValues
from cuminstack.register._messages import Fetched, Refused
from cuminstack.register._outcomes import (
    Done,
    Effects,
    InForce,
    Learned,
    NoQuorum,
    SameAgain,
)
from cuminstack.register._resolve import Resolution, resolve
from cuminstack.register._values import Value
from cuminstack.sheet import Sheet

#: Timeout of a submission.
_SUBMIT_TIMEOUT_SECONDS: Final = 4.0
#: Interval at which requests without a reply are sent again.
_RESEND_INTERVAL_SECONDS: Final = 0.5
#: Base of the delay before a new ballot; doubled for each lost ballot.
_BASE_BACKOFF_SECONDS: Final = 0.05
#: Maximum of that delay, before jitter.
_MAX_BACKOFF_SECONDS: Final = 0.8
#: Smallest factor of the jitter; a random number from 0 to 1 is added to it.
_MIN_JITTER: Final = 0.5


class Chance(Protocol):
    """Source of random numbers, such as `random.Random`."""

    def random(self) -> float:
        """Return a random number from 0 to 1."""


@dataclass(slots=True)
class _Operation:
    """A submission, or a read of the value in force.

    Args:
        ticket: Identifies the submission.
        sheet: The submitted sheet; None for a read.
        deadline: Time at which the operation times out, in seconds.
        attempts: Ballots of the operation, oldest first.
    """

    ticket: int
    sheet: Sheet | None
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def may_be_accepted(self) -> bool:
        """Whether the sheet may still come into force."""
        return any(attempt.may_be_accepted for attempt in self.attempts)


class Proposer:
    """Brings sheets into force, one submission at a time.

    Each submission runs one or more ballots.  In a ballot, a majority of the
    replicas promises and reports what it accepted.  The newest reported
    value, or the submitted sheet if it may supersede that, is then proposed
    to those that promised, and is chosen once a majority accepted it.
    """

    def __init__(
        self,
        replicas: tuple[InstanceId, ...],
        *,
        ballots: BallotSource,
        known: KnownValues,
        chance: Chance,
    ) -> None:
        """Start without submissions.

        Args:
            replicas: The replica set.
            ballots: Allocates the ballots.
            known: Cache of values.
            chance: Source of the jitter of delays.
        """
        self._replicas = replicas
        self._ballots = ballots
        self._known = known
        self._chance = chance
        self._queue: deque[_Operation] = deque()
        self._last_chosen: Attempt | None = None
        self._next_send_at: float = 0

    @property
    def is_busy(self) -> bool:
        """Whether a submission or read is under way."""
        return bool(self._queue)

    def submit(
        self,
        sheet: Sheet | None,
        *,
        ticket: int,
        now: float,
    ) -> Effects:
        """Submit a sheet; `Done` reports the outcome for the ticket.

        Without a sheet, read the value in force.  If no majority accepted
        the newest value yet, the read proposes it again.
        """
        operation = _Operation(ticket, sheet, now + _SUBMIT_TIMEOUT_SECONDS)
        self._queue.append(operation)
        return self._start_attempt(now) if len(self._queue) == 1 else ()

    def tick(self, *, now: float) -> Effects:
        """End operations that timed out, resend, or start a new ballot."""
        effects = list(self._expire(now))
        if self._queue and now >= self._next_send_at:
            effects.extend(self._resend_or_retry(now))
        return tuple(effects)

    def receive(
        self,
        sender: InstanceId,
        reply: Reply | Fetched,
        *,
        now: float,
    ) -> Effects:
        """Handle a reply of a replica."""
        if isinstance(reply, Refused):
            self._ballots.observe(reply.promised)
        if isinstance(reply, Fetched):
            return self._receive_value(reply, now)
        attempt = self._find_attempt(reply)
        if attempt is None or sender not in self._replicas:
            return ()
        was_lost = attempt.is_lost
        sends = attempt.receive(sender, reply)
        if attempt.is_lost and not was_lost:
            return (*sends, *self._handle_lost_attempt(attempt, now))
        return (*sends, *self._finish_if_chosen(attempt, now))

    def _receive_value(self, reply: Fetched, now: float) -> Effects:
        if not self._queue or not self._queue[0].attempts:
            return ()
        attempt = self._queue[0].attempts[-1]
        sends = attempt.receive_value(reply)
        return (*sends, *self._finish_if_chosen(attempt, now))

    def _find_attempt(self, reply: Reply) -> Attempt | None:
        """Return the attempt that a reply belongs to, if it is known."""
        attempts = list(self._queue[0].attempts) if self._queue else []
        if self._last_chosen is not None:
            attempts.append(self._last_chosen)
        for attempt in attempts:
            if attempt.ballot == reply.ballot:
                return attempt
        return None

    def _start_attempt(self, now: float) -> Effects:
        """Start a ballot for the operation at the head of the queue."""
        operation = self._queue[0]
        attempt = Attempt(
            self._ballots.next_ballot(in_force=self._known.version_floor),
            self._replicas,
            known=self._known,
            decide=partial(self._decide, operation),
        )
        operation.attempts.append(attempt)
        self._next_send_at = now + _RESEND_INTERVAL_SECONDS
        return attempt.send_pending()

    def _resend_or_retry(self, now: float) -> Effects:
        """Resend requests, or start a ballot if the last one is lost."""
        attempts = self._queue[0].attempts
        if not attempts or attempts[-1].is_lost:
            return self._start_attempt(now)
        self._next_send_at = now + _RESEND_INTERVAL_SECONDS
        return attempts[-1].send_pending()

    def _handle_lost_attempt(self, attempt: Attempt, now: float) -> Effects:
        """Start a new ballot: after the first at once, later with back-off.

        The first ballot may only have had too low a number.
        """
        if not self._queue or attempt is not self._queue[0].attempts[-1]:
            return ()
        lost = len(self._queue[0].attempts) - 1
        if not lost:
            return self._start_attempt(now)
        pause = min(_BASE_BACKOFF_SECONDS * 2**lost, _MAX_BACKOFF_SECONDS)
        self._next_send_at = now + pause * (_MIN_JITTER + self._chance.random())
        return ()

    def _expire(self, now: float) -> Effects:
        """End the operations whose deadline has passed."""
        effects: list[Done] = []
        while self._queue and now >= self._queue[0].deadline:
            operation = self._queue.popleft()
            self._next_send_at = now
            if operation.sheet is not None:
                outcome = NoQuorum(maybe_accepted=operation.may_be_accepted)
                effects.append(Done(operation.ticket, outcome))
        return tuple(effects)

    def _finish_if_chosen(self, attempt: Attempt, now: float) -> Effects:
        """End the operation whose value is now chosen, and start the next."""
        resolution = attempt.resolution
        ended = (
            attempt is self._last_chosen or attempt.phase is not Phase.chosen
        )
        if ended or resolution is None:
            return ()
        self._last_chosen = attempt
        operation = self._queue.popleft()
        self._known.add(resolution.value)
        self._known.observe_in_force(resolution.value.sheet)
        learned = Learned(resolution.value.sheet)
        following = self._start_attempt(now) if self._queue else ()
        if operation.sheet is None:
            return (learned, *following)
        done = Done(operation.ticket, resolution.outcome)
        return (learned, done, *following)

    def _decide(self, operation: _Operation, current: Value) -> Resolution:
        """Return the value to propose, given the current value."""
        sheet = current.sheet
        same = SameAgain(sheet.version, sheet.digest, sheet.version)
        if operation.sheet is None:
            return Resolution(current, same)
        version_floor = self._known.version_floor
        resolution = resolve(
            current, operation.sheet, version_floor=version_floor
        )
        if resolution.outcome == same and operation.may_be_accepted:
            # An earlier ballot of this submission had the sheet accepted.
            in_force = InForce(sheet.version, sheet.digest)
            return Resolution(current, in_force)
        return resolution
