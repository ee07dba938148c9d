"""Slot leases, and their conversion to and from messages."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Self

from cuminstack.core import EndpointId
from cuminstack.slots._messages import EndpointSlots


@dataclass(frozen=True, slots=True, order=True)
class SlotLease:
    """The right to use one slot of one endpoint.

    The stamp is a fencing token: of two leases of a slot, the one with the
    higher stamp is valid.
    """

    endpoint: EndpointId
    slot: int
    stamp: int

    @property
    def key(self) -> tuple[EndpointId, int]:
        """Identifies the slot, independent of its lease."""
        return self.endpoint, self.slot

    def transferred(self) -> Self:
        """Return the lease for the next holder, with the next stamp."""
        return replace(self, stamp=self.stamp + 1)


def pack(leases: Iterable[SlotLease]) -> tuple[EndpointSlots, ...]:
    """Group leases by endpoint."""
    groups: dict[EndpointId, list[SlotLease]] = {}
    for lease in leases:
        groups.setdefault(lease.endpoint, []).append(lease)
    return tuple(
        EndpointSlots(
            endpoint,
            tuple(each.slot for each in group),
            tuple(each.stamp for each in group),
        )
        for endpoint, group in groups.items()
    )


def unpack(groups: Iterable[EndpointSlots]) -> tuple[SlotLease, ...]:
    """Return the leases in a message."""
    return tuple(
        SlotLease(group.endpoint, slot, stamp)
        for group in groups
        for slot, stamp in zip(group.slots, group.stamps, strict=False)
    )
