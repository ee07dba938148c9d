"""The replica on this instance's disk, and operations in progress."""

import asyncio
import secrets
from itertools import count
from pathlib import Path
from typing import Final

from cuminstack.document import (
    FIRST_DISK,
    BadState,
    DiskId,
    Done,
    Outcome,
    Replica,
    ReplicaState,
    decode_state,
    encode_state,
    initial_state,
)
from cuminstack.logs import log_event
from cuminstack.roles._ports import RoleSettings
from cuminstack.settings import LogLevel
from cuminstack.store import DurableFile, Loaded, Missing, Saved

#: Bits of the random id of a disk, so many that two disks never get the same.
_DISK_ID_BITS: Final = 48
#: Name of the file that holds the replica.
_FILE_NAME: Final = 'desired-state'
#: Seconds before another attempt to save a state that could not be synced.
_RETRY_SECONDS: Final = 0.5


class ReplicaDisk:
    """The file that stores a replica."""

    def __init__(self, folder: Path | None) -> None:
        """Use a folder; without one, the state is lost with the process."""
        self._file = (
            None
            if folder is None
            else DurableFile(
                folder,
                name=_FILE_NAME,
            )
        )

    def load(self, settings: RoleSettings) -> ReplicaState:
        """Return the stored state, or the state of an empty disk.

        On the first start of a deployment, a missing file makes this instance
        one of the founding replicas.
        """
        loaded = None if self._file is None else self._file.load()
        if isinstance(loaded, Loaded):
            state = decode_state(loaded.record)
            if not isinstance(state, BadState):
                return state
        log_event(
            'replica.empty_disk',
            LogLevel.warning,
            first_start=settings.first_start,
            found=type(loaded).__name__,
        )
        is_founder = settings.first_start and isinstance(loaded, Missing)
        if not is_founder:
            return initial_state(DiskId(1 + secrets.randbits(_DISK_ID_BITS)))
        founders = tuple(
            Replica(control, FIRST_DISK) for control in settings.controls
        )
        return initial_state(FIRST_DISK, tuple(sorted(founders)))

    async def save(self, state: ReplicaState) -> bool:
        """Save and sync a state.

        Returns:
            Whether the state survives a crash.
        """
        if self._file is None:
            return False
        saved = await asyncio.to_thread(self._file.save, encode_state(state))
        if isinstance(saved, Saved):
            return True
        log_event(
            'replica.not_synced',
            LogLevel.error,
            error_number=saved.error_number,
            reason=saved.reason,
        )
        await asyncio.sleep(_RETRY_SECONDS)
        return False


class PendingOperations:
    """Operations that callers wait for, by ticket."""

    def __init__(self) -> None:
        # Ticket 0 is for operations without a waiting caller.
        self._tickets = count(1)
        self._outcomes: dict[int, asyncio.Future[Outcome]] = {}

    def begin(self) -> tuple[int, 'asyncio.Future[Outcome]']:
        """Return a new ticket and the future of its outcome."""
        ticket = next(self._tickets)
        outcome = asyncio.get_running_loop().create_future()
        self._outcomes[ticket] = outcome
        return ticket, outcome

    def complete(self, done: Done) -> None:
        """Pass an outcome to the caller that waits for it."""
        outcome = self._outcomes.pop(done.ticket, None)
        if outcome is not None and not outcome.done():
            outcome.set_result(done.outcome)
