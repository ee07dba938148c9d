"""Single slot leases, and their grouping into messages."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Self

from cuminstack.core import EndpointId
from cuminstack.slots._messages import EndpointSlots


@dataclass(frozen=True, slots=True, order=True)
class SlotLease:
    """The right to one slot of one endpoint.

    Of two leases of one slot the one with the higher stamp is valid.
    """

    endpoint: EndpointId
    slot: int
    stamp: int

    @property
    def place(self) -> tuple[EndpointId, int]:
        """The slot, whatever its lease."""
        return self.endpoint, self.slot

    def handed_on(self) -> Self:
        """Give the lease as the next holder will have it."""
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
    """Give the leases of a message."""
    return tuple(
        SlotLease(group.endpoint, slot, stamp)
        for group in groups
        for slot, stamp in zip(group.slots, group.stamps, strict=False)
    )
