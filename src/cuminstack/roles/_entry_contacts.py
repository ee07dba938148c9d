"""Entries that an instance hears, and what they said of themselves."""

from collections.abc import Iterable
from typing import Final

from cuminstack.core import InstanceId, ZoneName
from cuminstack.fleet import EntryBeat, EntryInfo

#: Seconds without a heartbeat after which contact with an entry is lost.
_CONTACT_TIMEOUT_SECONDS: Final = 1.2
#: Seconds without a heartbeat after which an entry is sent none any more.
_ENTRY_TIMEOUT_SECONDS: Final = 10.0


class EntryContacts:
    """Tracks which entries are in touch, by their heartbeats."""

    def __init__(self) -> None:
        self._last_heartbeats: dict[InstanceId, float] = {}
        self._contact_since: dict[InstanceId, float] = {}
        self._infos: dict[InstanceId, EntryInfo] = {}

    @property
    def known(self) -> tuple[InstanceId, ...]:
        """Entries that are not lost."""
        return tuple(self._last_heartbeats)

    def record(self, entry: InstanceId, beat: EntryBeat, *, now: float) -> bool:
        """Record a heartbeat.

        Returns:
            Whether the entry was not known before.
        """
        is_new = entry not in self._last_heartbeats
        last = self._last_heartbeats.get(entry, 0)
        if now - last > _CONTACT_TIMEOUT_SECONDS:
            self._contact_since[entry] = now
        self._last_heartbeats[entry] = now
        self._infos[entry] = EntryInfo(beat.zone, beat.capacity)
        return is_new

    def connected(self, *, now: float) -> tuple[InstanceId, ...]:
        """Return the entries that sent a heartbeat recently."""
        return tuple(
            entry
            for entry, received_at in self._last_heartbeats.items()
            if now - received_at < _CONTACT_TIMEOUT_SECONDS
        )

    def infos(self, *, now: float) -> dict[InstanceId, EntryInfo]:
        """Return what the connected entries said of themselves."""
        return {entry: self._infos[entry] for entry in self.connected(now=now)}

    def zone_of(self, entry: InstanceId) -> ZoneName:
        """Return the availability zone of a known entry."""
        return self._infos[entry].zone

    def seconds(self, entry: InstanceId, *, now: float) -> float:
        """Return the seconds for which an entry has been in contact.

        After a network partition, jobs of an entry may arrive before its
        first heartbeat; until that, the result is 0.
        """
        if now - self._last_heartbeats.get(entry, 0) > _CONTACT_TIMEOUT_SECONDS:
            return 0
        return now - self._contact_since.get(entry, now)

    def remove_lost(self, *, now: float) -> Iterable[InstanceId]:
        """Remove the entries that were silent for long, and return them."""
        lost = [
            entry
            for entry, received_at in self._last_heartbeats.items()
            if now - received_at > _ENTRY_TIMEOUT_SECONDS
        ]
        for entry in lost:
            self._last_heartbeats.pop(entry)
            self._infos.pop(entry, None)
        return lost
