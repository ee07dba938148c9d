"""The start log of an endpoint as a file, which outlives the process."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

_STARTED: Final = 'started'
_DUPLICATE: Final = 'duplicate'


class StartLog:
    """Appends each start to a file, if there is one."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open('ab', buffering=0) if path else None

    def started(self, task: str) -> None:
        """Note that a task is starting."""
        self._append(_STARTED, task)

    def duplicate(self, task: str) -> None:
        """Note that a task was sent again."""
        self._append(_DUPLICATE, task)

    def _append(self, event: str, task: str) -> None:
        if self._file is not None:
            self._file.write(f'{event} {task}\n'.encode())


def start_log_path(folder: Path, endpoint: str) -> Path:
    """Give the path of an endpoint's start log."""
    return folder / f'{endpoint}.starts'


def read_start_log(path: Path) -> Mapping[str, Any]:
    """Give what a file holds, in the form of `GET /starts`."""
    lines = path.read_text().splitlines() if path.exists() else []
    events = [tuple(line.split(' ')) for line in lines]
    return {
        'starts': [task for event, task in events if event == _STARTED],
        'duplicates': [task for event, task in events if event == _DUPLICATE],
    }
