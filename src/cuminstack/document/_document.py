"""The replicated document at one instance: its proposer and its replica."""

from collections import deque
from collections.abc import Iterable
from typing import Final

from cuminstack.core import InstanceId, Send
from cuminstack.document._acceptor import Acceptor
from cuminstack.document._changes import Change, KnownValue, combine_changes
from cuminstack.document._evacuations import (
    NO_EVACUATIONS,
    EvacuationOrder,
    Evacuations,
)
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
from cuminstack.document._operations import Operation, RandomSource
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
from cuminstack.document._proposer import BallotRun
from cuminstack.document._records import (
    EMPTY_VALUE,
    NO_BALLOT,
    Ballot,
    Replica,
    ReplicaState,
    Value,
)
from cuminstack.document._settling import SettleTimer

Effect = Send | Persist | Done | NewInForce
Effects = tuple[Effect, ...]

#: Seconds after which unanswered requests are sent again.  A sync takes
#: about 10 ms, and 25 times that on a slow disk.
_RESEND_SECONDS: Final = 0.3
#: The same while no value is known to be in force, as after a restart of all
#: instances: links are still being opened, and nothing is served until then.
_RESTART_RESEND_SECONDS: Final = 0.1
#: Seconds after which an operation without a quorum ends as `Unavailable`.
OPERATION_TIMEOUT_SECONDS: Final = 2.5
#: The same for an evacuation order.  After a second without an answer, its
#: operator retries elsewhere; an attempt that is given up must not take effect
#: after a later order of the operator.
ORDER_TIMEOUT_SECONDS: Final = 0.9
#: Bits of the random number of a start, so many that two starts never draw the
#: same one.
_START_BITS: Final = 48
#: Ticket of operations that no caller waits for.
_NO_TICKET: Final = 0
#: Longest random back-off of a proposer that was refused because of a
#: higher ballot, in seconds; about the time of two syncs.  From the second
#: refusal in a row on it is twice as long.  The shortest back-off is half of
#: it, as a ballot that is begun sooner stops the higher one halfway.
_MAX_BACKOFF_SECONDS: Final = 0.06


class Document:
    """The versioned document at one instance.

    It performs no input or output.  The caller passes it messages, the
    present time and the result of each `Persist`, and performs the returned
    effects in order.  All times are in seconds.

    Args:
        own: This instance.
        state: The state loaded from its disk.
        random_source: Randomises the back-off of competing proposers.
    """

    def __init__(
        self,
        own: InstanceId,
        state: ReplicaState,
        *,
        random_source: RandomSource,
    ) -> None:
        self._own = own
        self._acceptor = Acceptor(own, state)
        self._random_source = random_source
        self._start = int(random_source.random() * (1 << _START_BITS))
        # A value accepted before this start may have reached no quorum, so
        # only the initial value of an unused disk counts as in force.  A ballot
        # settles any other one.
        is_first = state.accepted == NO_BALLOT
        first = state.value if is_first else EMPTY_VALUE
        self._in_force = KnownValue(NO_BALLOT, first, in_force=True)
        self._highest_ballot = state.promised
        self._ballot_operations: tuple[Operation, ...] = ()
        self._operations: deque[Operation] = deque()
        self._ballot_run: BallotRun | None = None
        self._resend_at: float = 0
        self._next_ballot_at: float = 0
        # Whether the last ballot was given up because of a higher one.
        self._was_refused = False
        self._settle_timer = SettleTimer(random_source)

    @property
    def replica(self) -> Replica:
        """The replica of this instance, whether it is a voter or not."""
        return self._acceptor.replica

    @property
    def in_force(self) -> Value:
        """The newest value that is known to be in force."""
        return self._in_force.value

    @property
    def revision(self) -> int:
        """The ballot number of that value."""
        return self._in_force.ballot.number

    @property
    def chosen(self) -> Chosen:
        """The message for an instance that has an older revision."""
        return Chosen(self._in_force.ballot, self._in_force.value)

    @property
    def is_voter(self) -> bool:
        """Whether the newest known replica set includes this replica."""
        return self._acceptor.replica in self.in_force.voters

    @property
    def evacuations(self) -> Evacuations:
        """The evacuations that are known to be in force."""
        return Evacuations(self.revision, self.in_force.evacuations)

    @property
    def unsettled_evacuations(self) -> Evacuations:
        """Those of a newer value that was only accepted, here at least."""
        newest = self._newest_value
        if newest.in_force:
            return NO_EVACUATIONS
        return Evacuations(newest.ballot.number, newest.value.evacuations)

    def submit(
        self,
        version: int,
        body: bytes,
        *,
        ticket: int,
        now: float,
    ) -> Effects:
        """Submit a document; a `Done` with the ticket gives the outcome."""
        return self._add(Change(version, body), ticket, now)

    def order_evacuation(
        self, order: EvacuationOrder, *, ticket: int, now: float
    ) -> Effects:
        """Start or withdraw an evacuation; a `Done` gives the outcome."""
        return self._add(Change(orders=(order,)), ticket, now)

    def read(self, *, ticket: int, now: float) -> Effects:
        """Read the value in force from a majority of the replicas."""
        return self._add(Change(), ticket, now)

    def join(
        self, replaced: Replica | None, *, ticket: int, now: float
    ) -> Effects:
        """Add this replica to the replica set.

        Args:
            replaced: The replica to remove in exchange; None to only add
                this one.
            ticket: Identifies the operation in its `Done`.
            now: The present time.

        Returns:
            The effects to perform.
        """
        change = Change(joining=self._acceptor.replica, replaced=replaced)
        return self._add(change, ticket, now)

    def learn(self, chosen: Chosen) -> Effects:
        """Handle a value that another instance reports to be in force."""
        return self._learn(
            KnownValue(chosen.ballot, chosen.value, in_force=True),
        )

    def receive(
        self,
        sender: InstanceId,
        message: Request | Reply,
        *,
        now: float,
    ) -> Effects:
        """Handle a message of a proposer or of a replica."""
        return self._deliver(self._handle(sender, message, now), now)

    def tick(self, *, now: float) -> Effects:
        """Do what is due by now; call this several times a second."""
        effects = list(self._expire(now))
        self._settle(now)
        if self._ballot_run is None:
            effects.extend(self._start_ballot(now))
        elif now >= self._resend_at:
            self._resend_at = now + _resend_seconds(
                knows_value=self._knows_value
            )
            effects.extend(self._ballot_run.pending_requests())
        return self._deliver(effects, now)

    def persisted(self, *, now: float) -> Effects:
        """Handle the success of a `Persist`."""
        return self._deliver(self._acceptor.complete_save(), now)

    def persist_failed(self, *, now: float) -> Effects:
        """Handle the failure of a `Persist`, to be retried by a later one.

        The state may or may not have reached the disk.
        """
        self._acceptor.fail_save()
        return ()

    def _add(self, change: Change, ticket: int, now: float) -> Effects:
        known = self._known_outcome(change)
        if known is not None:
            return (Done(ticket, known),)
        timeout = (
            ORDER_TIMEOUT_SECONDS
            if change.orders
            else OPERATION_TIMEOUT_SECONDS
        )
        operation = Operation(ticket, change, now + timeout)
        self._operations.append(operation)
        return self.tick(now=now)

    def _known_outcome(self, change: Change) -> Outcome | None:
        """Return the outcome that the value in force implies, if any.

        A read, a change of the replica set, an evacuation order and a version
        above the one in force need a ballot.
        """
        value = self.in_force
        if not change.version or change.version > value.version:
            return None
        if change.version < value.version:
            return Overtaken(value)
        return InForce(value) if change.body == value.body else Conflict(value)

    def _start_ballot(self, now: float) -> Effects:
        if not self._operations or now < self._next_ballot_at:
            return ()
        newest = self._newest_value
        if not newest.value.replicas:
            return ()
        change = combine_changes(each.change for each in self._operations)
        self._ballot_operations = tuple(self._operations)
        number = max(self._highest_ballot.number, newest.ballot.number) + 1
        self._highest_ballot = Ballot(number, self._own, self._start)
        self._ballot_run = BallotRun(self._highest_ballot, newest, change)
        self._resend_at = now + _resend_seconds(knows_value=self._knows_value)
        return self._ballot_run.pending_requests()

    def _settle(self, now: float) -> None:
        """Start a ballot if the newest value here has to be settled."""
        is_due = self._settle_timer.is_due(
            self._newest_value, knows_value=self._knows_value, now=now
        )
        if is_due and not self._operations:
            self._add_settling(now)

    @property
    def _knows_value(self) -> bool:
        """Whether any value is known to be in force."""
        return bool(self._in_force.value.replicas)

    def _add_settling(self, now: float) -> None:
        deadline = now + OPERATION_TIMEOUT_SECONDS
        self._operations.append(Operation(_NO_TICKET, Change(), deadline))

    def _expire(self, now: float) -> Iterable[Effect]:
        expired = [each for each in self._operations if now >= each.deadline]
        for operation in expired:
            self._operations.remove(operation)
            yield Done(operation.ticket, Unavailable())
        if not expired:
            return
        # An expired change that has not been proposed must not be proposed any
        # more: its caller may have sent a later order to another instance.
        run = self._ballot_run
        is_proposed = run is not None and run.proposed is not None
        if not (is_proposed and self._operations):
            self._ballot_run = None

    def _deliver(self, effects: Iterable[Effect], now: float) -> Effects:
        """Handle messages to this instance, and return the other effects.

        A `Persist` is added if there is a state to sync.
        """
        outgoing: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            if isinstance(effect, Send) and effect.to == self._own:
                pending.extend(self._handle(self._own, effect.message, now))
            else:
                outgoing.append(effect)
        state = self._acceptor.next_save
        if state is not None:
            self._acceptor.begin_save(state)
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
                return self._back_off(message, now)
            case Promise():
                return self._handle_promise(message, now)
            case Accepted():
                return self._handle_accepted(message, now)

    def _back_off(self, refused: BallotRefused, now: float) -> Effects:
        self._highest_ballot = max(self._highest_ballot, refused.promised)
        is_current = (
            self._ballot_run is not None
            and refused.ballot == self._ballot_run.ballot
        )
        return self._retry_ballot(now) if is_current else ()

    def _retry_ballot(self, now: float) -> Effects:
        """Give up the ballot, and begin a higher one after a random delay."""
        self._ballot_run = None
        longest = _MAX_BACKOFF_SECONDS * (1 + self._was_refused)
        share = (1 + self._random_source.random()) / 2
        self._next_ballot_at = now + longest * share
        self._was_refused = True
        return ()

    def _handle_promise(self, promise: Promise, now: float) -> Effects:
        if (
            self._ballot_run is None
            or promise.ballot != self._ballot_run.ballot
        ):
            return ()
        if self._ballot_run.is_as_high_as(promise.accepted):
            # Instances compare revisions by the number of the ballot alone.
            self._highest_ballot = max(self._highest_ballot, promise.accepted)
            return self._retry_ballot(now)
        sends = self._ballot_run.add_promise(promise)
        return (*sends, *self._finish_if_decided(now))

    def _handle_accepted(self, accepted: Accepted, now: float) -> Effects:
        if (
            self._ballot_run is None
            or accepted.ballot != self._ballot_run.ballot
        ):
            return ()
        self._ballot_run.add_acceptance(accepted)
        return self._finish_if_decided(now)

    def _finish_if_decided(self, now: float) -> Effects:
        run = self._ballot_run
        outcome = None if run is None else run.outcome
        if run is None or outcome is None:
            return ()
        self._ballot_run = None
        self._was_refused = False
        effects: list[Effect] = list(self._learn(outcome))
        effects.extend(self._finish_operations(run.change))
        # A further ballot is needed before the incoming replica set votes
        # alone; `_settle` repeats it if it fails.
        if outcome.value.incoming and not self._operations:
            self._add_settling(now)
        effects.extend(self._start_ballot(now))
        return tuple(effects)

    def _finish_operations(self, proposed: Change) -> Iterable[Effect]:
        """Yield a `Done` for each operation that this ballot decided.

        A read, an evacuation order or a change of the replica set is decided
        only by a ballot that started after it was added and included it.
        """
        value = self.in_force
        for operation in tuple(self._operations):
            change = operation.change
            outcome = self._known_outcome(change)
            is_in_ballot = operation in self._ballot_operations
            if is_in_ballot and proposed.decides(change):
                outcome = InForce(value)
            if outcome is not None:
                self._operations.remove(operation)
                yield Done(operation.ticket, outcome)

    @property
    def _newest_value(self) -> KnownValue:
        """The newest value at this instance, in force or only accepted."""
        state = self._acceptor.state
        if state.accepted <= self._in_force.ballot:
            return self._in_force
        return KnownValue(state.accepted, state.value)

    def _learn(self, known: KnownValue) -> Effects:
        if known.ballot <= self._in_force.ballot:
            return ()
        self._in_force = known
        # The ballot that a back-off would disturb has ended.
        self._next_ballot_at = 0
        self._highest_ballot = max(self._highest_ballot, known.ballot)
        return (NewInForce(known.value, self.chosen),)


def _resend_seconds(*, knows_value: bool) -> float:
    """Return the seconds after which requests are sent again."""
    return _RESEND_SECONDS if knows_value else _RESTART_RESEND_SECONDS
