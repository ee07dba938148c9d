"""Holding back replies until what they tell of is synced."""

from typing import Final

from cuminstack.core import Send
from cuminstack.register._outcomes import Effects, Persist
from cuminstack.register._state import AcceptorState

#: Pause before a failed sync is tried again.
_RETRY_SECONDS: Final = 5.0


class SyncGate:
    """The state of a replica, and the replies that wait for a sync of it.

    One sync is under way at a time; what changes meanwhile goes into the
    next.  After a failed sync nothing more goes out until one succeeds: what
    is in memory is then never less than what anyone was told.
    """

    def __init__(self, state: AcceptorState) -> None:
        """Take the state that was loaded; it counts as not yet synced."""
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

    def change(self, state: AcceptorState) -> None:
        """Take a new state; `sync` is still to be called."""
        self._state = state
        self._sequence += 1

    def hold(self, send: Send) -> Effects:
        """Send once the newest state is synced."""
        if self._sequence <= self._synced:
            return (send,)
        self._held.append((self._sequence, send))
        return self.sync()

    def sync(self) -> Effects:
        """Sync the newest state, unless that is under way or failed."""
        current = self._synced == self._sequence
        if current or self._syncing or self._failed:
            return ()
        return self._write()

    def tick(self, *, now: float) -> Effects:
        """Try a failed sync again."""
        if self._failed and not self._syncing and now >= self._retry_at:
            return self._write()
        return ()

    def persisted(self, sequence: int) -> Effects:
        """Take that a state is synced; replies that waited for it go out."""
        if sequence != self._syncing:
            return ()
        self._syncing = 0
        self._synced = sequence
        self._failed = False
        due = [send for needed, send in self._held if needed <= sequence]
        self._held = [each for each in self._held if each[0] > sequence]
        return (*due, *self.sync())

    def persist_failed(self, sequence: int, *, now: float) -> None:
        """Take that a state may not be synced; nothing more goes out."""
        if sequence == self._syncing:
            self._syncing = 0
            self._failed = True
            self._retry_at = now + _RETRY_SECONDS
            self._held.clear()

    def _write(self) -> Effects:
        self._syncing = self._sequence
        return (Persist(self._syncing, self._state),)
