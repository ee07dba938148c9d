"""A replica: it promises and accepts, and replies once that is synced."""

from dataclasses import replace

from cuminstack.core import InstanceId, Send
from cuminstack.document._messages import (
    Accept,
    Accepted,
    BallotRefused,
    Prepare,
    Promise,
    Reply,
    Request,
)
from cuminstack.document._records import Replica, ReplicaState


class Acceptor:
    """The replica of this instance.

    Args:
        own: This instance.
        state: What its disk holds.
    """

    def __init__(self, own: InstanceId, state: ReplicaState) -> None:
        self._own = Replica(own, state.disk)
        self._state = state
        self._synced = state
        self._saving: ReplicaState | None = None
        self._held: list[tuple[ReplicaState, Send]] = []

    @property
    def replica(self) -> Replica:
        """How it is named in a set of replicas."""
        return self._own

    @property
    def state(self) -> ReplicaState:
        """The newest state, synced or not."""
        return self._state

    @property
    def unsaved(self) -> ReplicaState | None:
        """The state to be synced now; None while a sync is under way."""
        if self._saving is not None or self._state is self._synced:
            return None
        return self._state

    def begin_saving(self, state: ReplicaState) -> None:
        """Take that a state is being synced."""
        self._saving = state

    def saved(self) -> tuple[Send, ...]:
        """Take that it is synced; gives the replies that waited for it."""
        if self._saving is not None:
            self._synced = self._saving
        self._saving = None
        ready = [send for state, send in self._held if self._covers(state)]
        self._held = [
            (state, send)
            for state, send in self._held
            if not self._covers(state)
        ]
        return tuple(ready)

    def save_failed(self) -> None:
        """Take that the state may not be on the disk; it is tried again."""
        self._saving = None

    def receive(
        self,
        sender: InstanceId,
        request: Request,
    ) -> tuple[Send, ...]:
        """Answer a request, now or once it is synced."""
        if request.replica != self._own:
            return ()
        if request.ballot < self._state.promised:
            refused = BallotRefused(
                request.ballot,
                self._own,
                self._state.promised,
            )
            return (Send(sender, refused),)
        return self._hold(Send(sender, self._take(request)))

    def _take(self, request: Request) -> Reply:
        ballot = request.ballot
        if isinstance(request, Accept):
            self._state = replace(
                self._state,
                promised=ballot,
                accepted=ballot,
                value=request.value,
            )
            return Accepted(ballot, self._own)
        if ballot != self._state.promised:
            self._state = replace(self._state, promised=ballot)
        return self._promise(request)

    def _promise(self, request: Prepare) -> Promise:
        accepted = self._state.accepted
        value = None if accepted == request.known else self._state.value
        return Promise(request.ballot, self._own, accepted, value)

    def _hold(self, send: Send) -> tuple[Send, ...]:
        if self._covers(self._state):
            return (send,)
        self._held.append((self._state, send))
        return ()

    def _covers(self, state: ReplicaState) -> bool:
        """Tell whether the disk holds a state, or one after it."""
        synced = self._synced
        return (
            synced.promised >= state.promised
            and synced.accepted >= state.accepted
        )
