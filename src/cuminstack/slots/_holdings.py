"""The slot leases that an instance holds."""

from collections.abc import Callable
from typing import Final

from cuminstack.core import EndpointId, TaskId
from cuminstack.slots._slot_lease import SlotLease

#: Backoff of a lease after its endpoint first refused a start, in seconds.
_FIRST_BACKOFF_SECONDS: Final = 0.02
#: Maximum backoff after consecutive refusals, in seconds.
_MAX_BACKOFF_SECONDS: Final = 1

_SlotKey = tuple[EndpointId, int]


class _FreeSlots:
    """Leases of free slots, by endpoint."""

    def __init__(self) -> None:
        self._leases: dict[EndpointId, dict[int, SlotLease]] = {}

    @property
    def endpoints(self) -> tuple[EndpointId, ...]:
        """Endpoints with at least one free slot."""
        return tuple(self._leases)

    def __len__(self) -> int:
        return sum(map(len, self._leases.values()))

    def count(self, endpoint: EndpointId) -> int:
        """Return how many slots of an endpoint are free."""
        return len(self._leases.get(endpoint, ()))

    def add(self, lease: SlotLease) -> None:
        """Add the lease of a free slot."""
        self._leases.setdefault(lease.endpoint, {})[lease.slot] = lease

    def pop(self, endpoint: EndpointId) -> SlotLease:
        """Remove and return any free lease of an endpoint."""
        lease = next(iter(self._leases[endpoint].values()))
        self.remove(lease)
        return lease

    def remove(self, lease: SlotLease) -> None:
        """Remove a lease, if it is free."""
        slots = self._leases.get(lease.endpoint, {})
        slots.pop(lease.slot, None)
        if not slots:
            self._leases.pop(lease.endpoint, None)


class Holdings:
    """The leases an instance holds: free, in use or backing off."""

    def __init__(self) -> None:
        self._held: dict[_SlotKey, SlotLease] = {}
        self._free = _FreeSlots()
        self._used: dict[TaskId, SlotLease] = {}
        self._backoffs: dict[EndpointId, float] = {}
        self._backing_off: list[tuple[float, SlotLease]] = []
        self._unused_received: set[SlotLease] = set()
        self._unused = 0

    @property
    def free(self) -> int:
        """Total number of free slots."""
        return len(self._free)

    @property
    def unused(self) -> int:
        """Number of leases received from others and given up unused."""
        return self._unused

    @property
    def open_endpoints(self) -> tuple[EndpointId, ...]:
        """Endpoints with at least one free slot."""
        return self._free.endpoints

    @property
    def leases(self) -> tuple[SlotLease, ...]:
        """All leases held."""
        return tuple(self._held.values())

    def held_at(self, endpoint: EndpointId) -> int:
        """Return how many slots of an endpoint are held."""
        return sum(key[0] == endpoint for key in self._held)

    def free_at(self, endpoint: EndpointId) -> int:
        """Return how many slots of an endpoint are free."""
        return self._free.count(endpoint)

    def stamp_of(self, key: _SlotKey) -> int | None:
        """Return the stamp of the lease held for a slot, or None."""
        lease = self._held.get(key)
        return None if lease is None else lease.stamp

    def add(self, lease: SlotLease) -> None:
        """Add a lease, replacing an older one of the same slot."""
        known = self.stamp_of(lease.key)
        if known is not None and known >= lease.stamp:
            return
        self.drop(lease.key)
        self._held[lease.key] = lease
        self._free.add(lease)

    def receive(self, lease: SlotLease) -> None:
        """Add a lease received from another instance."""
        self.add(lease)
        if self._held.get(lease.key) == lease:
            self._unused_received.add(lease)

    def drop(self, key: _SlotKey) -> None:
        """Drop a lease; a task that runs in its slot continues."""
        lease = self._held.pop(key, None)
        if lease is not None:
            self._free.remove(lease)
            self._count_unused(lease)

    def use(self, endpoint: EndpointId, task: TaskId) -> None:
        """Assign a free slot of an endpoint to a task."""
        lease = self._free.pop(endpoint)
        self._used[task] = lease
        self._unused_received.discard(lease)

    def transfer(self, endpoint: EndpointId) -> SlotLease:
        """Give up a free slot of an endpoint.

        Returns:
            The lease for the next holder.
        """
        lease = self._free.pop(endpoint)
        self._held.pop(lease.key)
        self._count_unused(lease)
        return lease.transferred()

    def end(self, task: TaskId) -> None:
        """Free the slot of a task that ran, and reset the backoff."""
        lease = self._used.pop(task)
        self._backoffs.pop(lease.endpoint, None)
        self._restore(lease)

    def back_off(self, task: TaskId, *, now: float) -> None:
        """Delay reuse of the slot of a refused task.

        The backoff doubles with each consecutive refusal, up to a maximum.
        """
        lease = self._used.pop(task)
        backoff = self._backoffs.get(lease.endpoint, _FIRST_BACKOFF_SECONDS)
        self._backoffs[lease.endpoint] = min(2 * backoff, _MAX_BACKOFF_SECONDS)
        self._backing_off.append((now + backoff, lease))

    def end_backoffs(self, *, now: float) -> None:
        """Free the slots whose backoff has ended."""
        due = [lease for until, lease in self._backing_off if until <= now]
        self._backing_off = [
            backoff for backoff in self._backing_off if backoff[0] > now
        ]
        for lease in due:
            self._restore(lease)

    def drop_where(self, condition: Callable[[SlotLease], bool]) -> None:
        """Drop all leases that meet a condition."""
        for lease in self.leases:
            if condition(lease):
                self.drop(lease.key)

    def _count_unused(self, lease: SlotLease) -> None:
        self._unused += lease in self._unused_received
        self._unused_received.discard(lease)

    def _restore(self, lease: SlotLease) -> None:
        if self._held.get(lease.key) == lease:
            self._free.add(lease)
