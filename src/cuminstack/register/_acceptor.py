"""A replica: it promises and accepts, and replies once that is synced."""

from dataclasses import replace
from typing import Final

from cuminstack.core import InstanceId, Send
from cuminstack.register._messages import (
    Accept,
    Accepted,
    Fetch,
    Fetched,
    Greet,
    Greeting,
    Prepare,
    Promise,
    Refusal,
    Refused,
    ReplicaReply,
    ReplicaRequest,
    Standing,
    set_stamp,
)
from cuminstack.register._outcomes import Effects, Persist
from cuminstack.register._state import AcceptorState
from cuminstack.register._values import (
    EMPTY_VALUE,
    Value,
    make_transfer,
    read_transfer,
)

#: Pause before a failed sync is tried again.
_RETRY_SECONDS: Final = 5.0


class Acceptor:
    """A replica of the register.

    It holds back each reply until the state that the reply tells of is
    synced.  After a failed sync it stops voting until one succeeds; what it
    has in memory is then never less than what it told anyone.
    """

    def __init__(self, state: AcceptorState) -> None:
        """Take the state that was loaded; it counts as not yet synced."""
        self._state = state
        self._stamp = set_stamp(state.replicas)
        self._sequence = 1
        self._synced = 0
        self._syncing = 0
        self._failed = False
        self._retry_at: float = 0
        self._held: list[tuple[int, Send]] = []

    @property
    def state(self) -> AcceptorState:
        """The newest state, synced or not."""
        return self._state

    @property
    def votes(self) -> bool:
        """Whether it takes part in ballots now."""
        return self._state.standing is Standing.voting and not self._failed

    @property
    def failed(self) -> bool:
        """Whether the last sync failed."""
        return self._failed

    def start(self, *, now: float) -> Effects:
        """Sync what was loaded, as it may not have reached the disk."""
        return self._sync()

    def tick(self, *, now: float) -> Effects:
        """Try a failed sync again."""
        if self._failed and not self._syncing and now >= self._retry_at:
            return self._write()
        return ()

    def persisted(self, sequence: int, *, now: float) -> Effects:
        """Take that a state is synced; replies that waited for it go out."""
        if sequence != self._syncing:
            return ()
        self._syncing = 0
        self._synced = sequence
        self._failed = False
        due = [send for needed, send in self._held if needed <= sequence]
        self._held = [each for each in self._held if each[0] > sequence]
        return (*due, *self._sync())

    def persist_failed(self, sequence: int, *, now: float) -> Effects:
        """Take that a state may not be synced; the replica stops voting."""
        if sequence == self._syncing:
            self._syncing = 0
            self._failed = True
            self._retry_at = now + _RETRY_SECONDS
            self._held.clear()
        return ()

    def change(self, state: AcceptorState) -> Effects:
        """Take a state that was recovered or founded."""
        self._state = state
        self._sequence += 1
        return self._sync()

    def receive(
        self,
        sender: InstanceId,
        request: ReplicaRequest,
        *,
        now: float,
    ) -> Effects:
        """Answer a request."""
        match request:
            case Prepare():
                return self._prepare(sender, request)
            case Accept():
                return self._accept(sender, request)
            case Fetch():
                return self._fetch(sender, request)
            case Greet():
                return self._greet(sender, request)

    def _prepare(self, sender: InstanceId, request: Prepare) -> Effects:
        ballot = request.ballot
        refusal = self._refusal(request)
        if refusal is not None:
            return self._refuse(sender, request, refusal)
        if ballot > self._state.promised:
            self._state = replace(self._state, promised=ballot)
            self._sequence += 1
        state = self._state
        accepted = state.accepted
        stamp = state.value.stamp
        promise = Promise(ballot, state.life, accepted, stamp)
        return self._reply(sender, promise)

    def _accept(self, sender: InstanceId, request: Accept) -> Effects:
        refusal = self._refusal(request)
        if refusal is None and request.life != self._state.life:
            refusal = Refusal.other_life
        if refusal is not None:
            return self._refuse(sender, request, refusal)
        if request.ballot > self._state.accepted:
            value = read_transfer(self._state.value, request.transfer)
            if value is None:
                return self._refuse(sender, request, Refusal.unknown_base)
            self._take(request, value)
        return self._reply(sender, Accepted(request.ballot))

    def _take(self, request: Accept, value: Value) -> None:
        self._state = replace(
            self._state,
            promised=request.ballot,
            accepted=request.ballot,
            value=value,
        )
        self._sequence += 1

    def _fetch(self, sender: InstanceId, request: Fetch) -> Effects:
        value = self._state.value
        if value.stamp != request.stamp:
            return ()
        same_sheet = Value(value.sheet)
        base = same_sheet if same_sheet.stamp == request.base else EMPTY_VALUE
        return (Send(sender, Fetched(make_transfer(base, value))),)

    def _greet(self, sender: InstanceId, request: Greet) -> Effects:
        if request.replica_set != self._stamp:
            return ()
        state = self._state
        greeting = Greeting(
            asked=request.life,
            life=state.life,
            standing=state.standing,
            founders=state.founders,
        )
        return self._reply(sender, greeting)

    def _refusal(self, request: Prepare | Accept) -> Refusal | None:
        if request.replica_set != self._stamp:
            return Refusal.other_set
        if not self.votes:
            return Refusal.not_voting
        if request.ballot < self._state.promised:
            return Refusal.promised
        return None

    def _refuse(
        self,
        sender: InstanceId,
        request: Prepare | Accept,
        refusal: Refusal,
    ) -> Effects:
        refused = Refused(
            ballot=request.ballot,
            promised=self._state.promised,
            refusal=refusal,
            accepting=isinstance(request, Accept),
        )
        return (Send(sender, refused),)

    def _reply(self, receiver: InstanceId, reply: ReplicaReply) -> Effects:
        send = Send(receiver, reply)
        if self._sequence <= self._synced:
            return (send,)
        self._held.append((self._sequence, send))
        return self._sync()

    def _sync(self) -> Effects:
        current = self._synced == self._sequence
        if current or self._syncing or self._failed:
            return ()
        return self._write()

    def _write(self) -> Effects:
        self._syncing = self._sequence
        return (Persist(self._syncing, self._state),)
