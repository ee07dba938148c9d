"""One record in one file, replaced as a whole.

The calls block for as long as the disk takes; run them off the loop.
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
#: Bytes of the checksum that follows the magic.
_CHECKSUM_BYTES: Final = hashlib.sha256().digest_size
#: Only the user of the daemon may read the sheet.
_FILE_MODE: Final = 0o600


class Damage(enum.Enum):
    """Why a file can't be trusted."""

    foreign = 'foreign'
    checksum = 'checksum'
    unreadable = 'unreadable'


@dataclass(frozen=True, slots=True)
class Loaded:
    """The file was whole."""

    record: bytes


@dataclass(frozen=True, slots=True)
class Missing:
    """There is no file."""


@dataclass(frozen=True, slots=True)
class Damaged:
    """There is a file, but not what was saved."""

    damage: Damage


@dataclass(frozen=True, slots=True)
class Saved:
    """The record is on the disk and outlasts a crash."""


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The record may not outlast a crash; the one before it does.

    Args:
        error_number: What the system said, as in `errno`.
        reason: The same in words.
    """

    error_number: int
    reason: str


class DurableFile:
    """A file that holds the newest record that was saved in full."""

    def __init__(self, folder: Path, *, name: str = 'register') -> None:
        """Use a file of a folder; the folder is made when it is needed."""
        self._folder = folder
        self._path = folder / name
        self._new_path = folder / f'{name}.new'

    def load(self) -> Loaded | Missing | Damaged:
        """Read the record and check that it is what was saved."""
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return Missing()
        except OSError:
            return Damaged(Damage.unreadable)
        return _unseal(content)

    def save(self, record: bytes) -> Saved | StoreFailed:
        """Replace the record; after `Saved` it outlasts a crash."""
        try:
            self._replace(_seal(record))
        except OSError as error:
            with contextlib.suppress(OSError):
                self._new_path.unlink(missing_ok=True)
            return StoreFailed(error.errno or 0, error.strerror or '')
        return Saved()

    def _replace(self, content: bytes) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        with _opened(self._new_path, flags) as descriptor:
            _write_all(descriptor, content)
        # The rename must not reach the disk before what it names.
        os.replace(self._new_path, self._path)
        _sync_folder(self._folder)


def _seal(record: bytes) -> bytes:
    return b''.join((_MAGIC, hashlib.sha256(record).digest(), record))


def _unseal(content: bytes) -> Loaded | Damaged:
    if not content.startswith(_MAGIC):
        return Damaged(Damage.foreign)
    start = len(_MAGIC) + _CHECKSUM_BYTES
    record = content[start:]
    if content[len(_MAGIC) : start] != hashlib.sha256(record).digest():
        return Damaged(Damage.checksum)
    return Loaded(record)


def _write_all(descriptor: int, content: bytes) -> None:
    rest = memoryview(content)
    while rest:
        written = os.write(descriptor, rest)
        rest = rest[written:]
    os.fsync(descriptor)


def _sync_folder(folder: Path) -> None:
    with _opened(folder, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
        os.fsync(descriptor)


@contextlib.contextmanager
def _opened(path: Path, flags: int) -> Iterator[int]:
    with contextlib.ExitStack() as stack:
        descriptor = os.open(path, flags, _FILE_MODE)
        stack.callback(os.close, descriptor)
        yield descriptor
