"""The desired state on this instance's disk, and operations on it."""

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

#: Bits of the number of a disk; two disks never share one by chance.
_DISK_BITS: Final = 48
#: Name of the file that holds the replica.
_FILE_NAME: Final = 'desired-state'
#: Seconds before a state that could not be synced is tried again.
_RETRY_SECONDS: Final = 0.5


class ReplicaDisk:
    """The file of a replica."""

    def __init__(self, folder: Path | None) -> None:
        """Use a folder; without one nothing outlasts the process."""
        self._file = (
            None
            if folder is None
            else DurableFile(
                folder,
                name=_FILE_NAME,
            )
        )

    def load(self, settings: RoleSettings) -> ReplicaState:
        """Give what the disk holds, or the state of an empty disk."""
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
            return initial_state(DiskId(1 + secrets.randbits(_DISK_BITS)))
        founders = tuple(
            Replica(control, FIRST_DISK) for control in settings.controls
        )
        return initial_state(FIRST_DISK, tuple(sorted(founders)))

    async def save(self, state: ReplicaState) -> bool:
        """Sync a state; tell whether it will outlast a crash."""
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


class Operations:
    """Tickets of the operations that callers wait for."""

    def __init__(self) -> None:
        # Ticket 0 belongs to operations that nobody waits for.
        self._tickets = count(1)
        self._waiters: dict[int, asyncio.Future[Outcome]] = {}

    def open(self) -> tuple[int, 'asyncio.Future[Outcome]']:
        """Give a ticket and what its outcome will be put into."""
        ticket = next(self._tickets)
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = waiter
        return ticket, waiter

    def close(self, done: Done) -> None:
        """Take an outcome."""
        waiter = self._waiters.pop(done.ticket, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(done.outcome)
