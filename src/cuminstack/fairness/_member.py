"""The usage account of one member, and the heaps of its jobs."""

import heapq
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field, replace
from itertools import islice
from operator import attrgetter
from typing import Any, Final, Generic

from cuminstack.fairness._records import Demand, Key, Share

#: Mean run time assumed before the first task has ended, in seconds.
_INITIAL_MEAN_SECONDS: Final = 0.25
#: Smoothing factor of the exponential moving average of run times.
_MEAN_SMOOTHING: Final = 0.05
#: Number of entries examined for each demand that is requested.
_SCANNED_PER_DEMAND: Final = 16


@dataclass(slots=True)
class Entry(Generic[Key]):
    """A queued job with its current score."""

    demand: Demand[Key]
    score: float = 0


@dataclass(order=True, slots=True)
class _HeapItem:
    """A heap item for an entry.

    A rescored entry is pushed anew, and the old item is dropped once it
    reaches the top of the heap.
    """

    score: float
    serial: int
    entry: Entry[Any] = field(compare=False)

    @property
    def is_stale(self) -> bool:
        """Whether the entry has another score by now or no waiting task."""
        return self.entry.score != self.score or self.entry.demand.waiting == 0


@dataclass(slots=True)
class Account:
    """The use of slots by one member.

    Args:
        share: The weighted share of the member.
        virtual_time: The charged slot-seconds divided by the weight; the
            member with the lowest virtual time is served next.
        running: Slots that the member holds by turns of this queue.
        running_elsewhere: Slots that it holds at other instances.
        waiting: The number of its waiting tasks.
        mean_seconds: The moving average of its run times.
        heaps: Its queued jobs by score, for each lane.
        entries: Its queued jobs by key, in order of insertion.
    """

    share: Share = Share()
    virtual_time: float = 0
    running: int = 0
    running_elsewhere: int = 0
    waiting: int = 0
    mean_seconds: float = _INITIAL_MEAN_SECONDS
    heaps: dict[Hashable, list[_HeapItem]] = field(default_factory=dict)
    entries: dict[Any, Entry[Any]] = field(default_factory=dict)

    @property
    def is_capped(self) -> bool:
        """Whether the member holds as many slots as its share allows."""
        return 0 < self.share.max_slots <= self.running + self.running_elsewhere

    @property
    def is_active(self) -> bool:
        """Whether the member holds a slot or waits for one."""
        return self.running > 0 or self.waiting > 0

    def charge(self, seconds: float) -> None:
        """Charge slot-seconds; a negative number is a refund."""
        self.virtual_time += seconds / self.share.weight

    def add_run_time(self, seconds: float) -> None:
        """Add a run time to the moving average."""
        self.mean_seconds += _MEAN_SMOOTHING * (seconds - self.mean_seconds)

    def push(self, entry: Entry[Any], serial: int) -> None:
        """Push an entry to the heap of its lane with its current score."""
        heap = self.heaps.setdefault(entry.demand.lane, [])
        heapq.heappush(heap, _HeapItem(entry.score, serial, entry))

    def first_fitting(self, fits: Callable[[Any], bool]) -> Entry[Any] | None:
        """Return the entry with the lowest score in the lanes that fit."""
        tops = [
            top
            for lane in tuple(self.heaps)
            if fits(lane) and (top := self._top(lane)) is not None
        ]
        return min(tops).entry if tops else None

    def first_demands(
        self,
        count: int,
        only: Callable[[Any], bool],
    ) -> tuple[Demand[Any], ...]:
        """Return the demands with the lowest scores.

        Only the entries inserted first are examined, to bound the cost.

        Args:
            count: The largest number of demands to return.
            only: Selects the keys to consider.

        Returns:
            The demands, the lowest score first.
        """
        wanted = (each for key, each in self.entries.items() if only(key))
        oldest = islice(wanted, count * _SCANNED_PER_DEMAND)
        first = heapq.nsmallest(count, oldest, key=attrgetter('score'))
        return tuple(entry.demand for entry in first)

    def _top(self, lane: Hashable) -> _HeapItem | None:
        heap = self.heaps[lane]
        while heap and heap[0].is_stale:
            heapq.heappop(heap)
        if heap:
            return heap[0]
        self.heaps.pop(lane)
        return None


def reduce_demand(
    demand: Demand[Key], count: int, charge: float = 0
) -> Demand[Key]:
    """Return a demand with fewer waiting tasks and more attained service.

    Args:
        demand: The demand.
        count: The number of tasks that no longer wait.
        charge: The slot-seconds to add to the attained service.

    Returns:
        The changed demand.
    """
    return replace(
        demand,
        waiting=max(0, demand.waiting - count),
        attained=demand.attained + charge,
    )
