"""A replica: it promises and accepts, and replies once that is synced."""

from dataclasses import replace

from cuminstack.core import InstanceId, Send
from cuminstack.register._messages import (
    Accept,
    Accepted,
    Fence,
    Fetch,
    Fetched,
    Greet,
    Greeting,
    Prepare,
    Promise,
    Refusal,
    Refused,
    ReplicaRequest,
    Standing,
    set_stamp,
)
from cuminstack.register._outcomes import Effects
from cuminstack.register._state import AcceptorState
from cuminstack.register._sync_gate import SyncGate
from cuminstack.register._values import (
    EMPTY_VALUE,
    Value,
    make_transfer,
    read_transfer,
)


class Acceptor:
    """A replica of the register.

    It holds back each reply until the state that the reply tells of is
    synced, and stops voting while it can't sync.
    """

    def __init__(self, state: AcceptorState) -> None:
        """Take the state that was loaded; it counts as not yet synced."""
        self._gate = SyncGate(state)
        self._stamp = set_stamp(state.replicas)

    @property
    def state(self) -> AcceptorState:
        """The newest state, synced or not."""
        return self._gate.state

    @property
    def votes(self) -> bool:
        """Whether it takes part in ballots now."""
        is_voter = self.state.standing is Standing.voting
        return is_voter and not self._gate.failed

    @property
    def failed(self) -> bool:
        """Whether the last sync failed."""
        return self._gate.failed

    def start(self) -> Effects:
        """Sync what was loaded, as it may not have reached the disk."""
        return self._gate.sync()

    def tick(self, *, now: float) -> Effects:
        """Try a failed sync again."""
        return self._gate.tick(now=now)

    def persisted(self, sequence: int) -> Effects:
        """Take that a state is synced; replies that waited for it go out."""
        return self._gate.persisted(sequence)

    def persist_failed(self, sequence: int, *, now: float) -> None:
        """Take that a state may not be synced; the replica stops voting."""
        self._gate.persist_failed(sequence, now=now)

    def change(self, state: AcceptorState) -> Effects:
        """Take a state that was recovered or founded."""
        self._gate.change(state)
        return self._gate.sync()

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
        if ballot > self.state.promised:
            self._promise(request)
        state = self.state
        promise = Promise(
            ballot=ballot,
            life=state.life,
            accepted=state.accepted,
            stamp=state.value.stamp,
            fences=state.fences,
        )
        return self._gate.hold(Send(sender, promise))

    def _promise(self, request: Prepare) -> None:
        fences = self.state.fences
        if request.recovers:
            fence = Fence(request.ballot.proposer, request.ballot)
            others = (each for each in fences if each.replica != fence.replica)
            fences = (*others, fence)
        promised = replace(
            self.state,
            promised=request.ballot,
            fences=fences,
        )
        self._gate.change(promised)

    def _accept(self, sender: InstanceId, request: Accept) -> Effects:
        refusal = self._refusal(request)
        if refusal is not None:
            return self._refuse(sender, request, refusal)
        if request.ballot > self.state.accepted:
            value = read_transfer(self.state.value, request.transfer)
            if value is None:
                return self._refuse(sender, request, Refusal.unknown_base)
            self._take(request, value)
        return self._gate.hold(Send(sender, Accepted(request.ballot)))

    def _take(self, request: Accept, value: Value) -> None:
        accepted = replace(
            self.state,
            promised=request.ballot,
            accepted=request.ballot,
            value=value,
        )
        self._gate.change(accepted)

    def _fetch(self, sender: InstanceId, request: Fetch) -> Effects:
        value = self.state.value
        if value.stamp != request.stamp:
            return ()
        same_sheet = Value(value.sheet)
        base = same_sheet if same_sheet.stamp == request.base else EMPTY_VALUE
        return (Send(sender, Fetched(make_transfer(base, value))),)

    def _greet(self, sender: InstanceId, request: Greet) -> Effects:
        if request.replica_set != self._stamp:
            return ()
        state = self.state
        greeting = Greeting(
            asked=request.birth,
            birth=state.birth,
            standing=state.standing,
            founders=state.founders,
        )
        return self._gate.hold(Send(sender, greeting))

    def _refusal(self, request: Prepare | Accept) -> Refusal | None:
        if request.replica_set != self._stamp:
            return Refusal.other_set
        if not self.votes:
            return Refusal.not_voting
        if request.ballot < self.state.promised:
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
            promised=self.state.promised,
            refusal=refusal,
            accepting=isinstance(request, Accept),
        )
        return (Send(sender, refused),)
