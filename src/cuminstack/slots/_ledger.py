"""The record that an owner keeps of the leases of its endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, EndpointRecord, InstanceId
from cuminstack.slots._slot_lease import SlotLease

#: Time from the last claim of a lease until it expires, in seconds.
LEASE_SECONDS: Final = 10
#: The same, if the holder has left the membership view or the owner is new,
#: in seconds.
GRACE_SECONDS: Final = 1
#: Increase of the stamp of a reissued lease, so that it supersedes the lost one
#: even if that was transferred several times.
_REISSUE_STAMP_STEP: Final = 1024


@dataclass(slots=True)
class _Entry:
    """The last known lease of a slot; without a holder if it is None."""

    holder: InstanceId | None
    stamp: int
    expires: float


class Ledger:
    """Tracks the leases of the endpoints that an instance owns.

    Args:
        own: The owner.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._slots: dict[EndpointId, list[_Entry]] = {}

    def __contains__(self, endpoint: EndpointId) -> bool:
        return endpoint in self._slots

    def add_endpoint(
        self,
        record: EndpointRecord,
        *,
        fresh: bool,
        now: float,
    ) -> None:
        """Add or resize an endpoint.

        No lease of a fresh endpoint has ever been issued, so all its slots
        are free at once.  For any other, holders get a grace period to claim
        their leases.
        """
        known = self._slots.get(record.endpoint, [])
        expires = now if fresh or known else now + GRACE_SECONDS
        added = [
            _Entry(None, 0, expires) for _ in range(record.slots - len(known))
        ]
        self._slots[record.endpoint] = known[: record.slots] + added

    def remove_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that has left or has a new owner."""
        self._slots.pop(endpoint, None)

    def reset(self, *, now: float) -> None:
        """Give all holders a grace period to claim their leases again."""
        for entry in self._entries():
            entry.holder = None
            entry.expires = now + GRACE_SECONDS

    def expire_lost(self, alive: Iterable[InstanceId], *, now: float) -> None:
        """Shorten the leases that a lost instance may have held.

        These are the leases it claimed and those without a holder.  A live
        instance that holds one of them claims it within the grace period.
        """
        living = {*alive, self._own}
        for entry in self._entries():
            if entry.holder not in living:
                entry.holder = None
                entry.expires = min(entry.expires, now + GRACE_SECONDS)

    def apply_claim(
        self,
        holder: InstanceId,
        leases: Iterable[SlotLease],
        *,
        now: float,
    ) -> tuple[SlotLease, ...]:
        """Record all leases that a holder claims.

        Returns:
            The claimed leases that are not valid.
        """
        claimed = tuple(leases)
        void = tuple(
            lease for lease in claimed if not self._apply(holder, lease, now)
        )
        keys = {lease.key for lease in claimed}
        for endpoint, slots in self._slots.items():
            for number, entry in enumerate(slots):
                given_up = (endpoint, number) not in keys
                if entry.holder == holder and given_up:
                    entry.holder = None
        return void

    def reissue(self, *, now: float) -> tuple[SlotLease, ...]:
        """Issue new leases for the slots whose leases have expired."""
        reissued: list[SlotLease] = []
        for endpoint, slots in self._slots.items():
            for number, entry in enumerate(slots):
                if entry.expires <= now and entry.holder != self._own:
                    entry.holder = self._own
                    entry.stamp += _REISSUE_STAMP_STEP
                    entry.expires = now + LEASE_SECONDS
                    reissued.append(SlotLease(endpoint, number, entry.stamp))
        return tuple(reissued)

    def _apply(self, holder: InstanceId, lease: SlotLease, now: float) -> bool:
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
