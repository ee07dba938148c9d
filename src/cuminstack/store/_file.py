"""A file that stores one record and is replaced atomically.

Loading and saving block on disk access, so call them outside the event loop.
"""

import contextlib
import enum
import hashlib
import os
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

_MAGIC: Final = b'cuminstack-record-1\n'
#: Length of the checksum that follows the magic bytes.
_CHECKSUM_BYTES: Final = hashlib.sha256().digest_size
#: Only the user that the daemon runs as may read the sheet.
_FILE_MODE: Final = 0o600


class Damage(enum.Enum):
    """Why the content of a file is not a saved record.

    It does not start with the magic bytes (`foreign`), it does not match its
    checksum, or it could not be read.
    """

    foreign = 'foreign'
    checksum = 'checksum'
    unreadable = 'unreadable'


@dataclass(frozen=True, slots=True)
class Loaded:
    """The file holds a record that matches its checksum."""

    record: bytes


@dataclass(frozen=True, slots=True)
class Missing:
    """The file does not exist."""


@dataclass(frozen=True, slots=True)
class Damaged:
    """The file exists, but does not hold a saved record."""

    damage: Damage


@dataclass(frozen=True, slots=True)
class Saved:
    """The record is on disk and survives a crash."""


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Saving failed; a crash leaves either the new or the previous record.

    Args:
        error_number: The `errno` of the failure; 0 if there is none.
        reason: Description of the failure.
    """

    error_number: int
    reason: str


class DurableFile:
    """A file that holds the last record that was saved completely."""

    def __init__(self, folder: Path, *, name: str = 'register') -> None:
        """Use a file in a folder, which the first save creates if needed."""
        self._folder = folder
        self._path = folder / name
        self._new_path = folder / f'{name}.new'

    def load(self) -> Loaded | Missing | Damaged:
        """Read the record and verify its checksum."""
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return Missing()
        except OSError:
            return Damaged(Damage.unreadable)
        return _decode(content)

    def save(self, record: bytes) -> Saved | StoreFailed:
        """Replace the record atomically.

        Returns:
            `Saved` if the record survives a crash, or `StoreFailed`.
        """
        try:
            self._replace(_encode(record))
        except OSError as error:
            with contextlib.suppress(OSError):
                self._new_path.unlink(missing_ok=True)
            return StoreFailed(error.errno or 0, error.strerror or '')
        return Saved()

    def _replace(self, content: bytes) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        with _open_descriptor(self._new_path, flags) as descriptor:
            _write_all(descriptor, content)
        # The file is synced before it is renamed.  Otherwise a crash could
        # leave the new name on disk with incomplete content.
        os.replace(self._new_path, self._path)
        _sync_folder(self._folder)


def _encode(record: bytes) -> bytes:
    return b''.join((_MAGIC, hashlib.sha256(record).digest(), record))


def _decode(content: bytes) -> Loaded | Damaged:
    if not content.startswith(_MAGIC):
        return Damaged(Damage.foreign)
    start = len(_MAGIC) + _CHECKSUM_BYTES
    record = content[start:]
    if content[len(_MAGIC) : start] != hashlib.sha256(record).digest():
        return Damaged(Damage.checksum)
    return Loaded(record)


def _write_all(descriptor: int, content: bytes) -> None:
    remaining = memoryview(content)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]
    os.fsync(descriptor)


def _sync_folder(folder: Path) -> None:
    with _open_descriptor(folder, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
        os.fsync(descriptor)


@contextlib.contextmanager
def _open_descriptor(path: Path, flags: int) -> Iterator[int]:
    with contextlib.ExitStack() as stack:
        descriptor = os.open(path, flags, _FILE_MODE)
        stack.callback(os.close, descriptor)
        yield descriptor
