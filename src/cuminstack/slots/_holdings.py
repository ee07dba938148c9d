"""The slot leases that an instance holds."""

from collections.abc import Callable
from typing import Final

from cuminstack.core import EndpointId, TaskId
from cuminstack.slots._leased import SlotLease

#: How long a lease rests after its endpoint refused a start, in seconds.
_FIRST_REST_SECONDS: Final = 0.02
#: The longest rest after refusals in a row, in seconds.
_LONGEST_REST_SECONDS: Final = 1

_Place = tuple[EndpointId, int]


class _FreeSlots:
    """Free leases by endpoint."""

    def __init__(self) -> None:
        self._leases: dict[EndpointId, dict[int, SlotLease]] = {}

    @property
    def endpoints(self) -> tuple[EndpointId, ...]:
        """Endpoints with a free slot."""
        return tuple(self._leases)

    def __len__(self) -> int:
        return sum(map(len, self._leases.values()))

    def count(self, endpoint: EndpointId) -> int:
        """Tell how many slots of an endpoint are free."""
        return len(self._leases.get(endpoint, ()))

    def add(self, lease: SlotLease) -> None:
        """Add a lease."""
        self._leases.setdefault(lease.endpoint, {})[lease.slot] = lease

    def pop(self, endpoint: EndpointId) -> SlotLease:
        """Take any free lease of an endpoint."""
        lease = next(iter(self._leases[endpoint].values()))
        self.remove(lease)
        return lease

    def remove(self, lease: SlotLease) -> None:
        """Take one lease, if it is free."""
        slots = self._leases.get(lease.endpoint, {})
        slots.pop(lease.slot, None)
        if not slots:
            self._leases.pop(lease.endpoint, None)


class Holdings:
    """Leases: free ones by endpoint, those in use, and those at rest."""

    def __init__(self) -> None:
        self._held: dict[_Place, SlotLease] = {}
        self._free = _FreeSlots()
        self._used: dict[TaskId, SlotLease] = {}
        self._rests: dict[EndpointId, float] = {}
        self._resting: list[tuple[float, SlotLease]] = []
        self._untried: set[SlotLease] = set()
        self._unused = 0

    @property
    def free(self) -> int:
        """Free slots in all."""
        return len(self._free)

    @property
    def unused(self) -> int:
        """Leases that were got from others and went without use."""
        return self._unused

    @property
    def open_endpoints(self) -> tuple[EndpointId, ...]:
        """Endpoints with a free slot."""
        return self._free.endpoints

    @property
    def leases(self) -> tuple[SlotLease, ...]:
        """All leases held."""
        return tuple(self._held.values())

    def held_at(self, endpoint: EndpointId) -> int:
        """Tell how many slots of an endpoint are held."""
        return sum(place[0] == endpoint for place in self._held)

    def free_at(self, endpoint: EndpointId) -> int:
        """Tell how many slots of an endpoint are free."""
        return self._free.count(endpoint)

    def stamp_of(self, place: _Place) -> int | None:
        """Give the stamp of the lease held for a slot."""
        lease = self._held.get(place)
        return None if lease is None else lease.stamp

    def add(self, lease: SlotLease) -> None:
        """Take a lease; an older one of the same slot is void."""
        known = self.stamp_of(lease.place)
        if known is not None and known >= lease.stamp:
            return
        self.drop(lease.place)
        self._held[lease.place] = lease
        self._free.add(lease)

    def receive(self, lease: SlotLease) -> None:
        """Take a lease from another instance."""
        self.add(lease)
        if self._held.get(lease.place) == lease:
            self._untried.add(lease)

    def drop(self, place: _Place) -> None:
        """Lose a lease; a task that runs in its slot goes on."""
        lease = self._held.pop(place, None)
        if lease is not None:
            self._free.remove(lease)
            self._count_unused(lease)

    def use(self, endpoint: EndpointId, task: TaskId) -> None:
        """Put a task into a free slot of an endpoint."""
        lease = self._free.pop(endpoint)
        self._used[task] = lease
        self._untried.discard(lease)

    def hand_on(self, endpoint: EndpointId) -> SlotLease:
        """Give up a free slot of an endpoint; returns the next lease."""
        lease = self._free.pop(endpoint)
        self._held.pop(lease.place)
        self._count_unused(lease)
        return lease.handed_on()

    def end(self, task: TaskId) -> None:
        """Free the slot of a task that ran."""
        lease = self._used.pop(task)
        self._rests.pop(lease.endpoint, None)
        self._restore(lease)

    def refuse(self, task: TaskId, *, now: float) -> None:
        """Let the slot of a refused task rest; longer after each in a row."""
        lease = self._used.pop(task)
        rest = self._rests.get(lease.endpoint, _FIRST_REST_SECONDS)
        self._rests[lease.endpoint] = min(2 * rest, _LONGEST_REST_SECONDS)
        self._resting.append((now + rest, lease))

    def wake(self, *, now: float) -> None:
        """Free the slots that have rested."""
        due = [lease for until, lease in self._resting if until <= now]
        self._resting = [rest for rest in self._resting if rest[0] > now]
        for lease in due:
            self._restore(lease)

    def drop_where(self, void: Callable[[SlotLease], bool]) -> None:
        """Lose all leases of a kind."""
        for lease in self.leases:
            if void(lease):
                self.drop(lease.place)

    def _count_unused(self, lease: SlotLease) -> None:
        self._unused += lease in self._untried
        self._untried.discard(lease)

    def _restore(self, lease: SlotLease) -> None:
        if self._held.get(lease.place) == lease:
            self._free.add(lease)
