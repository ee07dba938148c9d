"""Delays replies until the state that they report is synced."""

from typing import Final

from cuminstack.core import Send
from cuminstack.register._outcomes import Effects, Persist
from cuminstack.register._state import AcceptorState

#: Delay before a failed sync is retried.
_RETRY_SECONDS: Final = 5.0


class SyncGate:
    """The state of a replica, and the replies that wait until it is synced.

    One sync runs at a time; changes made meanwhile are written by the next
    one.  After a failed sync no reply is sent until a sync succeeds, so the
    state in memory always covers everything that was sent to others.
    """

    def __init__(self, state: AcceptorState) -> None:
        """Start with the loaded state, which counts as not yet synced."""
        self._state = state
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
    def failed(self) -> bool:
        """Whether the last sync failed."""
        return self._failed

    def replace_state(self, state: AcceptorState) -> None:
        """Replace the state without syncing it; call `sync` afterwards."""
        self._state = state
        self._sequence += 1

    def send_when_synced(self, send: Send) -> Effects:
        """Send a message once the newest state is synced."""
        if self._sequence <= self._synced:
            return (send,)
        self._held.append((self._sequence, send))
        return self.sync()

    def sync(self) -> Effects:
        """Sync the newest state, unless a sync is running or has failed."""
        current = self._synced == self._sequence
        if current or self._syncing or self._failed:
            return ()
        return self._start_sync()

    def tick(self, *, now: float) -> Effects:
        """Retry a failed sync, if that is due."""
        if self._failed and not self._syncing and now >= self._retry_at:
            return self._start_sync()
        return ()

    def persisted(self, sequence: int) -> Effects:
        """Send the replies that waited for a state which is now synced."""
        if sequence != self._syncing:
            return ()
        self._syncing = 0
        self._synced = sequence
        self._failed = False
        due = [send for needed, send in self._held if needed <= sequence]
        self._held = [each for each in self._held if each[0] > sequence]
        return (*due, *self.sync())

    def persist_failed(self, sequence: int, *, now: float) -> None:
        """Drop all waiting replies, as a sync may not have succeeded."""
        if sequence == self._syncing:
            self._syncing = 0
            self._failed = True
            self._retry_at = now + _RETRY_SECONDS
            self._held.clear()

    def _start_sync(self) -> Effects:
        """Start a sync of the newest state."""
        self._syncing = self._sequence
        return (Persist(self._syncing, self._state),)
