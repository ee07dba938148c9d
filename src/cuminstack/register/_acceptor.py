"""Acceptor role of Paxos: promises and accepts, and syncs before replying."""

from dataclasses import replace

from cuminstack.core import InstanceId, Send
from cuminstack.register._messages import (
    Accept,
    Accepted,
    Fence,
    Fetch,
    Fetched,
    Prepare,
    Promise,
    Refusal,
    Refused,
    ReplicaRequest,
    Standing,
    StandingReply,
    StandingRequest,
    digest_replica_set,
)
from cuminstack.register._outcomes import Effects
from cuminstack.register._state import AcceptorState
from cuminstack.register._sync_gate import SyncGate
from cuminstack.register._values import (
    EMPTY_VALUE,
    Value,
    apply_transfer,
    make_transfer,
)


class Acceptor:
    """A replica of the register.

    It delays each reply until the state that the reply reports is synced,
    and doesn't vote while syncs fail.
    """

    def __init__(self, state: AcceptorState) -> None:
        """Start with the loaded state, which counts as not yet synced."""
        self._gate = SyncGate(state)
        self._set_digest = digest_replica_set(state.replicas)

    @property
    def state(self) -> AcceptorState:
        """The newest state, synced or not."""
        return self._gate.state

    @property
    def votes(self) -> bool:
        """Whether the replica currently votes."""
        is_voter = self.state.standing is Standing.voting
        return is_voter and not self._gate.failed

    @property
    def failed(self) -> bool:
        """Whether the last sync failed."""
        return self._gate.failed

    def start(self) -> Effects:
        """Sync the loaded state, as it may not have reached the disk."""
        return self._gate.sync()

    def tick(self, *, now: float) -> Effects:
        """Retry a failed sync, if that is due."""
        return self._gate.tick(now=now)

    def persisted(self, sequence: int) -> Effects:
        """Send the replies that waited for a state which is now synced."""
        return self._gate.persisted(sequence)

    def persist_failed(self, sequence: int, *, now: float) -> None:
        """Stop voting, as the sync of a state may not have succeeded."""
        self._gate.persist_failed(sequence, now=now)

    def replace_state(self, state: AcceptorState) -> Effects:
        """Replace and sync the state, after recovery or founding."""
        self._gate.replace_state(state)
        return self._gate.sync()

    def receive(
        self,
        sender: InstanceId,
        request: ReplicaRequest,
        *,
        now: float,
    ) -> Effects:
        """Handle a request of a proposer or another replica."""
        match request:
            case Prepare():
                return self._prepare(sender, request)
            case Accept():
                return self._accept(sender, request)
            case Fetch():
                return self._fetch(sender, request)
            case StandingRequest():
                return self._send_standing(sender, request)

    def _prepare(self, sender: InstanceId, request: Prepare) -> Effects:
        ballot = request.ballot
        refusal = self._find_refusal(request)
        if refusal is not None:
            return self._refuse(sender, request, refusal)
        if ballot > self.state.promised:
            self._record_promise(request)
        state = self.state
        promise = Promise(
            ballot=ballot,
            life=state.life,
            accepted=state.accepted,
            stamp=state.value.stamp,
            fences=state.fences,
        )
        return self._gate.send_when_synced(Send(sender, promise))

    def _record_promise(self, request: Prepare) -> None:
        """Record a promise, and the recovery that it belongs to, if any."""
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
        self._gate.replace_state(promised)

    def _accept(self, sender: InstanceId, request: Accept) -> Effects:
        refusal = self._find_refusal(request)
        if refusal is not None:
            return self._refuse(sender, request, refusal)
        if request.ballot > self.state.accepted:
            value = apply_transfer(self.state.value, request.transfer)
            if value is None:
                return self._refuse(sender, request, Refusal.unknown_base)
            self._record_accepted(request, value)
        return self._gate.send_when_synced(
            Send(sender, Accepted(request.ballot))
        )

    def _record_accepted(self, request: Accept, value: Value) -> None:
        accepted = replace(
            self.state,
            promised=request.ballot,
            accepted=request.ballot,
            value=value,
        )
        self._gate.replace_state(accepted)

    def _fetch(self, sender: InstanceId, request: Fetch) -> Effects:
        """Send the value, as a difference if the requester's base fits."""
        value = self.state.value
        if value.stamp != request.stamp:
            return ()
        same_sheet = Value(value.sheet)
        base = same_sheet if same_sheet.stamp == request.base else EMPTY_VALUE
        return (Send(sender, Fetched(make_transfer(base, value))),)

    def _send_standing(
        self, sender: InstanceId, request: StandingRequest
    ) -> Effects:
        if request.replica_set != self._set_digest:
            return ()
        state = self.state
        reply = StandingReply(
            asked=request.birth,
            birth=state.birth,
            standing=state.standing,
            founders=state.founders,
        )
        return self._gate.send_when_synced(Send(sender, reply))

    def _find_refusal(self, request: Prepare | Accept) -> Refusal | None:
        """Return why a request must be refused, if it must."""
        if request.replica_set != self._set_digest:
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
