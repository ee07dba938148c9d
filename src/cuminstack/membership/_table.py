"""The records that an instance holds of all configured instances."""

import hashlib
from collections.abc import Iterable
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.membership._messages import Record

#: Length of the digest of all records, in bytes.
_DIGEST_BYTES: Final = 4


class RecordTable:
    """The highest-ranking record received of each configured instance."""

    def __init__(self, configured: Iterable[InstanceId]) -> None:
        self._configured = frozenset(configured)
        self._records: dict[InstanceId, Record] = {}
        self._ordered: tuple[Record, ...] | None = None
        self._digest: bytes | None = None

    @property
    def records(self) -> tuple[Record, ...]:
        """All records, sorted by instance; cached until a record changes."""
        if self._ordered is None:
            names = sorted(self._records)
            self._ordered = tuple(self._records[name] for name in names)
        return self._ordered

    @property
    def digest(self) -> bytes:
        """Digest of all records; equal tables have equal digests."""
        if self._digest is None:
            text = repr([(rec.instance, rec.rank) for rec in self.records])
            self._digest = hashlib.blake2b(
                text.encode(),
                digest_size=_DIGEST_BYTES,
            ).digest()
        return self._digest

    def get(self, instance: InstanceId) -> Record | None:
        """Return the record of an instance, or None if there is none."""
        return self._records.get(instance)

    def merge(self, record: Record) -> bool:
        """Replace the held record of an instance by one that ranks higher.

        Returns:
            Whether the table changed.  Records of instances that aren't
            configured are ignored.
        """
        if record.instance not in self._configured:
            return False
        held = self._records.get(record.instance)
        if held is not None and held.rank >= record.rank:
            return False
        self._records[record.instance] = record
        self._ordered = None
        self._digest = None
        return True
