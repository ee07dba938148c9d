"""What a control instance remembers over a restart, beside the replica.

It is saved behind the decisions that it is for, as nothing rests on it: a
lost term is found out by endpoints that obey a later one, and a lost
endpoint by its next heartbeat.
"""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import cbor2
import msgspec

from cuminstack.logs import log_event
from cuminstack.pool import EndpointReport
from cuminstack.settings import LogLevel
from cuminstack.store import DurableFile, Loaded, Saved

_TERM_FILE: Final = 'term'
_ENDPOINTS_FILE: Final = 'endpoints'


class BackgroundFile:
    """A file that is saved off the loop, the newest record at a time."""

    def __init__(self, folder: Path | None, *, name: str) -> None:
        """Use a file of a folder; without one nothing is remembered."""
        self._file = None if folder is None else DurableFile(folder, name=name)
        self._kept = b''
        self._saving: asyncio.Task[None] | None = None

    def load(self) -> bytes:
        """Give the record; nothing if there is none."""
        loaded = None if self._file is None else self._file.load()
        if isinstance(loaded, Loaded):
            self._kept = loaded.record
        return self._kept

    def keep(self, record: bytes) -> None:
        """Save a record, unless it is saved or one is being saved."""
        is_saving = self._saving is not None and not self._saving.done()
        if self._file is None or record == self._kept or is_saving:
            return
        self._saving = asyncio.create_task(self._save(self._file, record))

    async def _save(self, file: DurableFile, record: bytes) -> None:
        saved = await asyncio.to_thread(file.save, record)
        if isinstance(saved, Saved):
            self._kept = record
            return
        log_event('memory.not_saved', LogLevel.error, reason=saved.reason)


class TermMemory:
    """Keeps terms growing after all instances were stopped."""

    def __init__(self, folder: Path | None) -> None:
        """Use a folder."""
        self._file = BackgroundFile(folder, name=_TERM_FILE)

    def load(self) -> int:
        """Give the highest term that was heard of; 0 if there is none."""
        return int(self._file.load() or 0)

    def keep(self, term: int) -> None:
        """Remember the highest term that was heard of."""
        self._file.keep(str(term).encode())


class EndpointMemory:
    """Keeps endpoints known, so that a restart needn't wait for heartbeats."""

    def __init__(self, folder: Path | None) -> None:
        """Use a folder."""
        self._file = BackgroundFile(folder, name=_ENDPOINTS_FILE)

    def load(self) -> tuple[EndpointReport, ...]:
        """Give the endpoints that were known; nothing if that is damaged."""
        record = self._file.load()
        if not record:
            return ()
        try:
            plain: Any = cbor2.loads(record)
        except (cbor2.CBORError, ValueError) as error:
            return _damaged(error)
        try:
            return msgspec.convert(plain, tuple[EndpointReport, ...])
        except msgspec.ValidationError as error:
            return _damaged(error)

    def keep(self, reports: Iterable[EndpointReport]) -> None:
        """Remember endpoints."""
        ordered = sorted(reports, key=lambda report: report.endpoint)
        self._file.keep(cbor2.dumps(msgspec.to_builtins(ordered)))


def _damaged(error: Exception) -> tuple[EndpointReport, ...]:
    log_event('memory.damaged', LogLevel.warning, error=error)
    return ()
