"""The document as one instance sees it: its proposer and its replica."""

from collections import deque
from collections.abc import Iterable
from typing import Final

from cuminstack.core import InstanceId, Send
from cuminstack.document._acceptor import Acceptor
from cuminstack.document._messages import (
    Accept,
    Accepted,
    BallotRefused,
    Chosen,
    Prepare,
    Promise,
    Reply,
    Request,
)
from cuminstack.document._operations import Chance, Operation
from cuminstack.document._outcomes import (
    Conflict,
    Done,
    InForce,
    NewInForce,
    Outcome,
    Overtaken,
    Persist,
    Unavailable,
)
from cuminstack.document._proposer import BallotRun, Change, Known
from cuminstack.document._records import (
    EMPTY_VALUE,
    NO_BALLOT,
    Ballot,
    Replica,
    ReplicaState,
    Value,
)

Effect = Send | Persist | Done | NewInForce
Effects = tuple[Effect, ...]

#: Seconds after which a request to a replica is sent again; a sync takes
#: about 10 ms, and 25 times that on a slow disk.
_RESEND_SECONDS: Final = 0.3
#: Seconds after which an operator is told that there is no quorum.
GIVE_UP_SECONDS: Final = 2.5
#: Longest pause of a proposer after a higher ballot, in seconds: two syncs.
_YIELD_SECONDS: Final = 0.06


class Document:
    """The versioned document at one instance.

    The shell passes it messages, the present time and what became of each
    `Persist`, and performs the effects in their order.

    Args:
        own: This instance.
        state: What its disk holds.
        chance: Spreads the pauses of racing proposers.
    """

    def __init__(
        self,
        own: InstanceId,
        state: ReplicaState,
        *,
        chance: Chance,
    ) -> None:
        self._own = own
        self._acceptor = Acceptor(own, state)
        self._chance = chance
        # What was accepted before the start may not be in force.
        is_first = state.accepted == NO_BALLOT
        first = state.value if is_first else EMPTY_VALUE
        self._in_force = Known(NO_BALLOT, first, in_force=True)
        self._highest = state.promised
        self._covered: tuple[Operation, ...] = ()
        self._operations: deque[Operation] = deque()
        self._run: BallotRun | None = None
        self._resend_at: float = 0
        self._start_at: float = 0

    @property
    def replica(self) -> Replica:
        """The replica of this instance, whether it votes or not."""
        return self._acceptor.replica

    @property
    def in_force(self) -> Value:
        """The newest value that is known to be in force."""
        return self._in_force.value

    @property
    def revision(self) -> int:
        """Number of the ballot of that value."""
        return self._in_force.ballot.number

    @property
    def news(self) -> Chosen:
        """What an instance with an older revision is to be told."""
        return Chosen(self._in_force.ballot, self._in_force.value)

    @property
    def votes(self) -> bool:
        """Whether this instance is a replica as far as it knows."""
        return self._acceptor.replica in self.in_force.voters

    def submit(
        self,
        version: int,
        body: bytes,
        *,
        ticket: int,
        now: float,
    ) -> Effects:
        """Submit a document; `Done` with the ticket tells the outcome."""
        return self._add(Change(version, body), ticket, now)

    def read(self, *, ticket: int, now: float) -> Effects:
        """Find out what is in force, through a majority."""
        return self._add(Change(), ticket, now)

    def join(
        self, leaves: Replica | None, *, ticket: int, now: float
    ) -> Effects:
        """Ask to vote, in the place of another replica or beside all."""
        change = Change(joins=self._acceptor.replica, leaves=leaves)
        return self._add(change, ticket, now)

    def learn(self, chosen: Chosen) -> Effects:
        """Take what another instance says is in force."""
        return self._learn(Known(chosen.ballot, chosen.value, in_force=True))

    def receive(
        self,
        sender: InstanceId,
        message: Request | Reply,
        *,
        now: float,
    ) -> Effects:
        """Take a message of a proposer or of a replica."""
        return self._deliver(self._handle(sender, message, now), now)

    def tick(self, *, now: float) -> Effects:
        """Do what is due; call several times a second."""
        effects = list(self._expire(now))
        if self._run is None:
            effects.extend(self._start(now))
        elif now >= self._resend_at:
            self._resend_at = now + _RESEND_SECONDS
            effects.extend(self._run.resends())
        return self._deliver(effects, now)

    def persisted(self, *, now: float) -> Effects:
        """Take that the state of a `Persist` is synced."""
        return self._deliver(self._acceptor.saved(), now)

    def persist_failed(self, *, now: float) -> Effects:
        """Take that the state of a `Persist` may not be synced."""
        self._acceptor.save_failed()
        return ()

    def _add(self, change: Change, ticket: int, now: float) -> Effects:
        known = self._settled(change)
        if known is not None:
            return (Done(ticket, known),)
        operation = Operation(ticket, change, now + GIVE_UP_SECONDS)
        self._operations.append(operation)
        return self.tick(now=now)

    def _settled(self, change: Change) -> Outcome | None:
        """Give the outcome of a document that can't come into force."""
        value = self.in_force
        if not change.version or change.version > value.version:
            return None
        if change.version < value.version:
            return Overtaken(value)
        return InForce(value) if change.body == value.body else Conflict(value)

    def _start(self, now: float) -> Effects:
        if not self._operations or now < self._start_at:
            return ()
        newest = self._newest
        if not newest.value.replicas:
            return ()
        change = max(
            (operation.change for operation in self._operations),
            key=lambda each: (each.version, not each.is_read),
        )
        self._covered = tuple(self._operations)
        number = max(self._highest.number, newest.ballot.number) + 1
        self._highest = Ballot(number, self._own)
        self._run = BallotRun(self._highest, newest, change)
        self._resend_at = now + _RESEND_SECONDS
        return self._run.resends()

    def _expire(self, now: float) -> Iterable[Effect]:
        expired = [each for each in self._operations if now >= each.until]
        for operation in expired:
            self._operations.remove(operation)
            yield Done(operation.ticket, Unavailable())
        if expired and not self._operations:
            self._run = None

    def _deliver(self, effects: Iterable[Effect], now: float) -> Effects:
        """Hand what is sent to this instance to it, and pass on the rest."""
        outgoing: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            if isinstance(effect, Send) and effect.to == self._own:
                pending.extend(self._handle(self._own, effect.message, now))
            else:
                outgoing.append(effect)
        state = self._acceptor.unsaved
        if state is not None:
            self._acceptor.begin_saving(state)
            outgoing.append(Persist(state))
        return tuple(outgoing)

    def _handle(
        self,
        sender: InstanceId,
        message: Request | Reply,
        now: float,
    ) -> Effects:
        match message:
            case Prepare() | Accept():
                return self._acceptor.receive(sender, message)
            case BallotRefused():
                return self._yield(message, now)
            case Promise():
                return self._promised(message, now)
            case Accepted():
                return self._accepted(message, now)

    def _yield(self, refused: BallotRefused, now: float) -> Effects:
        self._highest = max(self._highest, refused.promised)
        if self._run is None or refused.ballot != self._run.ballot:
            return ()
        self._run = None
        self._start_at = now + _YIELD_SECONDS * self._chance.random()
        return ()

    def _promised(self, promise: Promise, now: float) -> Effects:
        if self._run is None or promise.ballot != self._run.ballot:
            return ()
        sends = self._run.take_promise(promise)
        return (*sends, *self._conclude(now))

    def _accepted(self, accepted: Accepted, now: float) -> Effects:
        if self._run is None or accepted.ballot != self._run.ballot:
            return ()
        self._run.take_accepted(accepted)
        return self._conclude(now)

    def _conclude(self, now: float) -> Effects:
        run = self._run
        outcome = None if run is None else run.outcome
        if run is None or outcome is None:
            return ()
        self._run = None
        effects: list[Effect] = list(self._learn(outcome))
        effects.extend(self._complete(run.change))
        # The new replicas vote alone only after a ballot of their own.
        if outcome.value.incoming and not self._operations:
            self._operations.append(Operation(0, Change(), now + 1))
        effects.extend(self._start(now))
        return tuple(effects)

    def _complete(self, proposed: Change) -> Iterable[Effect]:
        """Tell the outcome of what this ballot settled."""
        value = self.in_force
        for operation in tuple(self._operations):
            change = operation.change
            outcome = self._settled(change)
            is_covered = operation in self._covered
            if is_covered and change == proposed and not change.version:
                outcome = InForce(value)
            if outcome is not None:
                self._operations.remove(operation)
                yield Done(operation.ticket, outcome)

    @property
    def _newest(self) -> Known:
        """The newest value that this instance has, in force or not."""
        state = self._acceptor.state
        if state.accepted <= self._in_force.ballot:
            return self._in_force
        return Known(state.accepted, state.value)

    def _learn(self, known: Known) -> Effects:
        if known.ballot <= self._in_force.ballot:
            return ()
        self._in_force = known
        self._highest = max(self._highest, known.ballot)
        return (NewInForce(known.value, self.news),)
