"""Submitting sheets to the replicas, one after the other."""

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

#: How long a submission may take.
_SUBMIT_SECONDS: Final = 4.0
#: Pause before requests without an answer are sent again.
_RESEND_SECONDS: Final = 0.5
#: Pause before a new ballot, doubled for each ballot that is lost.
_BACK_OFF_SECONDS: Final = 0.05
#: Longest such pause.
_MAX_BACK_OFF_SECONDS: Final = 0.8
#: Smallest part of a pause; chance adds up to one whole.
_MIN_JITTER: Final = 0.5


class Chance(Protocol):
    """What `random.Random` gives."""

    def random(self) -> float:
        """Give a number from 0 to 1."""


@dataclass(slots=True)
class _Operation:
    """A submission, or (without a sheet) a check what is in force."""

    ticket: int
    sheet: Sheet | None
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def may_be_accepted(self) -> bool:
        """Whether the sheet may come into force yet."""
        return any(attempt.may_be_accepted for attempt in self.attempts)


class Proposer:
    """Brings sheets into force, one submission at a time.

    Each submission is a ballot: a majority promises and tells what it
    accepted; the newest of that, or the sheet if it may follow it, is
    accepted by a majority of those that promised.
    """

    def __init__(
        self,
        replicas: tuple[InstanceId, ...],
        *,
        ballots: BallotSource,
        known: KnownValues,
        chance: Chance,
    ) -> None:
        """Take the replica set and the source of ballots."""
        self._replicas = replicas
        self._ballots = ballots
        self._known = known
        self._chance = chance
        self._queue: deque[_Operation] = deque()
        self._last: Attempt | None = None
        self._again_at: float = 0

    @property
    def is_busy(self) -> bool:
        """Whether a submission or check is under way."""
        return bool(self._queue)

    def submit(
        self,
        sheet: Sheet | None,
        *,
        ticket: int,
        now: float,
    ) -> Effects:
        """Submit a sheet; `Done` tells the outcome for the ticket.

        Without a sheet it finds out, and settles, what is in force.
        """
        operation = _Operation(ticket, sheet, now + _SUBMIT_SECONDS)
        self._queue.append(operation)
        return self._begin(now) if len(self._queue) == 1 else ()

    def tick(self, *, now: float) -> Effects:
        """Give up, send again, or begin a new ballot, as is due."""
        effects = list(self._expire(now))
        if self._queue and now >= self._again_at:
            effects.extend(self._advance(now))
        return tuple(effects)

    def receive(
        self,
        sender: InstanceId,
        reply: Reply | Fetched,
        *,
        now: float,
    ) -> Effects:
        """Take a reply of a replica."""
        if isinstance(reply, Refused):
            self._ballots.observe(reply.promised)
        if isinstance(reply, Fetched):
            return self._fetched(reply, now)
        attempt = self._find(reply)
        if attempt is None or sender not in self._replicas:
            return ()
        was_lost = attempt.is_lost
        sends = attempt.receive(sender, reply)
        if attempt.is_lost and not was_lost:
            return (*sends, *self._begin_again(attempt, now))
        return (*sends, *self._finish(attempt, now))

    def _fetched(self, reply: Fetched, now: float) -> Effects:
        if not self._queue or not self._queue[0].attempts:
            return ()
        attempt = self._queue[0].attempts[-1]
        sends = attempt.take_value(reply)
        return (*sends, *self._finish(attempt, now))

    def _find(self, reply: Reply) -> Attempt | None:
        attempts = list(self._queue[0].attempts) if self._queue else []
        if self._last is not None:
            attempts.append(self._last)
        for attempt in attempts:
            if attempt.ballot == reply.ballot:
                return attempt
        return None

    def _begin(self, now: float) -> Effects:
        operation = self._queue[0]
        attempt = Attempt(
            self._ballots.take(in_force=self._known.floor),
            self._replicas,
            known=self._known,
            decide=partial(self._decide, operation),
        )
        operation.attempts.append(attempt)
        self._again_at = now + _RESEND_SECONDS
        return attempt.remind()

    def _advance(self, now: float) -> Effects:
        attempts = self._queue[0].attempts
        if not attempts or attempts[-1].is_lost:
            return self._begin(now)
        self._again_at = now + _RESEND_SECONDS
        return attempts[-1].remind()

    def _begin_again(self, attempt: Attempt, now: float) -> Effects:
        """Begin a new ballot, at once if the first one was only too low."""
        if not self._queue or attempt is not self._queue[0].attempts[-1]:
            return ()
        lost = len(self._queue[0].attempts) - 1
        if not lost:
            return self._begin(now)
        pause = min(_BACK_OFF_SECONDS * 2**lost, _MAX_BACK_OFF_SECONDS)
        self._again_at = now + pause * (_MIN_JITTER + self._chance.random())
        return ()

    def _expire(self, now: float) -> Effects:
        effects: list[Done] = []
        while self._queue and now >= self._queue[0].deadline:
            operation = self._queue.popleft()
            self._again_at = now
            if operation.sheet is not None:
                outcome = NoQuorum(maybe_accepted=operation.may_be_accepted)
                effects.append(Done(operation.ticket, outcome))
        return tuple(effects)

    def _finish(self, attempt: Attempt, now: float) -> Effects:
        """End the submission whose value is now chosen."""
        resolution = attempt.resolution
        ended = attempt is self._last or attempt.phase is not Phase.chosen
        if ended or resolution is None:
            return ()
        self._last = attempt
        operation = self._queue.popleft()
        self._known.add(resolution.value)
        self._known.observe_in_force(resolution.value.sheet)
        learned = Learned(resolution.value.sheet)
        following = self._begin(now) if self._queue else ()
        if operation.sheet is None:
            return (learned, *following)
        done = Done(operation.ticket, resolution.outcome)
        return (learned, done, *following)

    def _decide(self, operation: _Operation, current: Value) -> Resolution:
        sheet = current.sheet
        same = SameAgain(sheet.version, sheet.digest, sheet.version)
        if operation.sheet is None:
            return Resolution(current, same)
        floor = self._known.floor
        resolution = resolve(current, operation.sheet, floor=floor)
        if resolution.outcome == same and operation.may_be_accepted:
            # An earlier ballot of this submission brought it there.
            in_force = InForce(sheet.version, sheet.digest)
            return Resolution(current, in_force)
        return resolution
