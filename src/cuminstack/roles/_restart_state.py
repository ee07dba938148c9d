"""State of a control instance, besides its replica, that survives a restart.

It is saved in the background, after the decisions that changed it, because
correctness does not depend on it: a lost term is detected at endpoints that
obey a later one, and a lost endpoint is found by its next heartbeat.
"""

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import cbor2
import msgspec

from cuminstack.logs import log_event
from cuminstack.pool import MAX_TERM, EndpointReport
from cuminstack.settings import LogLevel
from cuminstack.store import DurableFile, Loaded, Saved

_TERM_FILE: Final = 'term'
_ENDPOINTS_FILE: Final = 'endpoints'
#: Longest record of a term that is read, in digits.
_MAX_TERM_DIGITS: Final = 20


class BackgroundFile:
    """A file that is written off the event loop, one record at a time."""

    def __init__(self, folder: Path | None, *, name: str) -> None:
        """Use a file in a folder; without a folder, nothing is saved."""
        self._file = None if folder is None else DurableFile(folder, name=name)
        self._saved_record = b''
        self._save_task: asyncio.Task[None] | None = None

    def load(self) -> bytes:
        """Return the saved record; empty if there is none."""
        loaded = None if self._file is None else self._file.load()
        if isinstance(loaded, Loaded):
            self._saved_record = loaded.record
        return self._saved_record

    @property
    def is_saving(self) -> bool:
        """Whether a record is being saved, so that no other one can be."""
        return self._save_task is not None and not self._save_task.done()

    def save_in_background(self, record: bytes) -> None:
        """Start to save a record.

        Nothing is done if the record is already saved, or while another one
        is being saved.
        """
        if self._file is None or record == self._saved_record or self.is_saving:
            return
        self._save_task = asyncio.create_task(self._save(self._file, record))

    async def _save(self, file: DurableFile, record: bytes) -> None:
        saved = await asyncio.to_thread(file.save, record)
        if isinstance(saved, Saved):
            self._saved_record = record
            return
        log_event('memory.not_saved', LogLevel.error, reason=saved.reason)


class TermStore:
    """Saves the term, so that terms grow even across a full shutdown."""

    def __init__(self, folder: Path | None) -> None:
        """Use a folder; without one, nothing is saved."""
        self._file = BackgroundFile(folder, name=_TERM_FILE)

    def load(self) -> int:
        """Return the highest known term; 0 if none that can be used is saved.

        Earlier versions could save terms whose tokens endpoints can't read.
        """
        record = self._file.load()
        if not record:
            return 0
        is_legible = record.isdigit() and len(record) <= _MAX_TERM_DIGITS
        if is_legible and int(record) <= MAX_TERM:
            return int(record)
        log_event(
            'memory.term_out_of_range',
            LogLevel.error,
            saved=record[:_MAX_TERM_DIGITS],
            highest=MAX_TERM,
        )
        return 0

    def save_in_background(self, term: int) -> None:
        """Start to save the highest known term."""
        self._file.save_in_background(str(term).encode())


class EndpointStore:
    """Saves endpoints, so that a restart needn't wait for their heartbeats."""

    def __init__(self, folder: Path | None) -> None:
        """Use a folder; without one, nothing is saved."""
        self._file = BackgroundFile(folder, name=_ENDPOINTS_FILE)

    def load(self) -> tuple[EndpointReport, ...]:
        """Return the saved endpoints; none if the record is damaged."""
        record = self._file.load()
        if not record:
            return ()
        try:
            decoded: Any = cbor2.loads(record)
        except (cbor2.CBORError, ValueError, RecursionError) as error:
            return _damaged(error)
        try:
            return msgspec.convert(decoded, tuple[EndpointReport, ...])
        except msgspec.ValidationError as error:
            return _damaged(error)

    @property
    def is_saving(self) -> bool:
        """Whether endpoints are being saved; until then, no others can be."""
        return self._file.is_saving

    def save_in_background(self, reports: Iterable[EndpointReport]) -> None:
        """Start to save the known endpoints."""
        ordered = sorted(reports, key=lambda report: report.endpoint)
        self._file.save_in_background(cbor2.dumps(msgspec.to_builtins(ordered)))


def _damaged(error: Exception) -> tuple[EndpointReport, ...]:
    log_event('memory.damaged', LogLevel.warning, error=error)
    return ()
