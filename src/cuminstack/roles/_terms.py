"""The highest term that was heard of, on the disk of a control instance."""

import asyncio
from pathlib import Path
from typing import Final

from cuminstack.logs import log_event
from cuminstack.settings import LogLevel
from cuminstack.store import DurableFile, Loaded, Saved

_FILE_NAME: Final = 'term'


class TermFile:
    """Keeps terms growing after all instances were stopped.

    It is saved behind the decisions that it is for: one that is lost makes
    the next dispatcher find that it is fenced, and rise.
    """

    def __init__(self, folder: Path | None) -> None:
        """Use a folder; without one nothing outlasts the process."""
        self._file = None
        if folder is not None:
            self._file = DurableFile(folder, name=_FILE_NAME)
        self._kept = 0
        self._saving: asyncio.Task[None] | None = None

    def load(self) -> int:
        """Give the highest term; 0 if there is none."""
        loaded = None if self._file is None else self._file.load()
        if isinstance(loaded, Loaded):
            self._kept = int(loaded.record)
        return self._kept

    def keep(self, term: int) -> None:
        """Save a term, unless it is saved or being saved."""
        is_saving = self._saving is not None and not self._saving.done()
        if self._file is None or term <= self._kept or is_saving:
            return
        self._saving = asyncio.create_task(self._save(self._file, term))

    async def _save(self, file: DurableFile, term: int) -> None:
        saved = await asyncio.to_thread(file.save, str(term).encode())
        if isinstance(saved, Saved):
            self._kept = term
            return
        log_event(
            'term.not_saved',
            LogLevel.error,
            term=term,
            reason=saved.reason,
        )
