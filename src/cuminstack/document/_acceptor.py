"""The Paxos acceptor: promises and accepts, replying only once durable."""

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

    A promise or an acceptance is sent only after the state that it reports
    has been synced to the disk.

    Args:
        own: This instance.
        state: The state loaded from its disk.
    """

    def __init__(self, own: InstanceId, state: ReplicaState) -> None:
        self._own = Replica(own, state.disk)
        self._state = state
        self._synced = state
        self._saving: ReplicaState | None = None
        self._pending_replies: list[tuple[ReplicaState, Send]] = []

    @property
    def replica(self) -> Replica:
        """The identity of this replica in a replica set."""
        return self._own

    @property
    def state(self) -> ReplicaState:
        """The newest state, synced or not."""
        return self._state

    @property
    def next_save(self) -> ReplicaState | None:
        """The state to sync now; None if synced or while a sync runs."""
        if self._saving is not None or self._state is self._synced:
            return None
        return self._state

    def begin_save(self, state: ReplicaState) -> None:
        """Record that a sync of a state has started."""
        self._saving = state

    def complete_save(self) -> tuple[Send, ...]:
        """Record that the running sync has succeeded.

        Returns:
            The replies that waited for the state to be synced.
        """
        if self._saving is not None:
            self._synced = self._saving
        self._saving = None
        ready = [
            send
            for state, send in self._pending_replies
            if self._is_synced(state)
        ]
        self._pending_replies = [
            (state, send)
            for state, send in self._pending_replies
            if not self._is_synced(state)
        ]
        return tuple(ready)

    def fail_save(self) -> None:
        """Record that the running sync has failed, so that it is retried.

        The state may or may not have reached the disk.
        """
        self._saving = None

    def receive(
        self,
        sender: InstanceId,
        request: Request,
    ) -> tuple[Send, ...]:
        """Handle a request of a proposer.

        Requests for another replica, such as one on a lost disk of this
        instance, are ignored.

        Returns:
            The reply, if it can be sent now; it is withheld while the state
            behind it has yet to be synced.
        """
        if request.replica != self._own:
            return ()
        if request.ballot < self._state.promised:
            refused = BallotRefused(
                request.ballot,
                self._own,
                self._state.promised,
            )
            return (Send(sender, refused),)
        return self._reply_once_synced(Send(sender, self._apply(request)))

    def _apply(self, request: Request) -> Reply:
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

    def _reply_once_synced(self, send: Send) -> tuple[Send, ...]:
        if self._is_synced(self._state):
            return (send,)
        self._pending_replies.append((self._state, send))
        return ()

    def _is_synced(self, state: ReplicaState) -> bool:
        """Return whether the disk holds this state or a later one."""
        synced = self._synced
        return (
            synced.promised >= state.promised
            and synced.accepted >= state.accepted
        )
