"""What an owner knows of the leases of its endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, EndpointRecord, InstanceId
from cuminstack.slots._leased import SlotLease

#: Time from the last claim until a slot is offered anew, in seconds.
LEASE_SECONDS: Final = 10
#: The same, where the holder has left the view, or the owner is new.
GRACE_SECONDS: Final = 1
#: Stamps that a lease made anew skips, so that it outranks the lost one.
_STAMP_LEAP: Final = 1024


@dataclass(slots=True)
class _Entry:
    """The last known lease of a slot; nobody's where `holder` is none."""

    holder: InstanceId | None
    stamp: int
    expires: float


class Ledger:
    """The slots of the endpoints that an instance owns.

    Args:
        own: The owner.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._slots: dict[EndpointId, list[_Entry]] = {}

    def __contains__(self, endpoint: EndpointId) -> bool:
        return endpoint in self._slots

    def open(
        self,
        record: EndpointRecord,
        *,
        fresh: bool,
        now: float,
    ) -> None:
        """Begin or resize an endpoint.

        A fresh endpoint has never been anyone's, so all its slots are free
        at once; for another the holders get time to make their claims.
        """
        known = self._slots.get(record.endpoint, [])
        expires = now if fresh or known else now + GRACE_SECONDS
        added = [
            _Entry(None, 0, expires) for _ in range(record.slots - len(known))
        ]
        self._slots[record.endpoint] = known[: record.slots] + added

    def close(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is gone or another's now."""
        self._slots.pop(endpoint, None)

    def reset(self, *, now: float) -> None:
        """Give all holders time to claim anew."""
        for entry in self._entries():
            entry.holder = None
            entry.expires = now + GRACE_SECONDS

    def lose(self, alive: Iterable[InstanceId], *, now: float) -> None:
        """Shorten the leases that a lost instance may have held.

        Those are its own and the ones that nobody has claimed yet; whoever
        has them of those alive claims them within the grace.
        """
        living = {*alive, self._own}
        for entry in self._entries():
            if entry.holder not in living:
                entry.holder = None
                entry.expires = min(entry.expires, now + GRACE_SECONDS)

    def claim(
        self,
        holder: InstanceId,
        leases: Iterable[SlotLease],
        *,
        now: float,
    ) -> tuple[SlotLease, ...]:
        """Take all that a holder claims; returns the void leases."""
        claimed = tuple(leases)
        void = tuple(
            lease for lease in claimed if not self._take(holder, lease, now)
        )
        places = {lease.place for lease in claimed}
        for endpoint, slots in self._slots.items():
            for number, entry in enumerate(slots):
                given_up = (endpoint, number) not in places
                if entry.holder == holder and given_up:
                    entry.holder = None
        return void

    def renew(self, *, now: float) -> tuple[SlotLease, ...]:
        """Make the leases anew that nobody claims any more."""
        made: list[SlotLease] = []
        for endpoint, slots in self._slots.items():
            for number, entry in enumerate(slots):
                if entry.expires <= now and entry.holder != self._own:
                    entry.holder = self._own
                    entry.stamp += _STAMP_LEAP
                    entry.expires = now + LEASE_SECONDS
                    made.append(SlotLease(endpoint, number, entry.stamp))
        return tuple(made)

    def _take(self, holder: InstanceId, lease: SlotLease, now: float) -> bool:
        slots = self._slots.get(lease.endpoint, [])
        if not 0 <= lease.slot < len(slots):
            return False
        entry = slots[lease.slot]
        same = lease.stamp == entry.stamp and entry.holder in {None, holder}
        if lease.stamp < entry.stamp or not (same or lease.stamp > entry.stamp):
            return False
        entry.holder = holder
        entry.stamp = lease.stamp
        entry.expires = now + LEASE_SECONDS
        return True

    def _entries(self) -> list[_Entry]:
        return [entry for slots in self._slots.values() for entry in slots]
