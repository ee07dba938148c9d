"""The account of one member, and the heaps of its jobs."""

import heapq
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field, replace
from itertools import islice
from operator import attrgetter
from typing import Any, Final, Generic

from cuminstack.fairness._records import Demand, Key, Share

#: Run time that is charged before any was seen, in seconds.
_FIRST_MEAN_SECONDS: Final = 0.25
#: Weight of the newest run time in the mean.
_MEAN_GAIN: Final = 0.05
#: Entries that are looked at for each leader that is asked for.
_SCANNED_PER_LEADER: Final = 16


@dataclass(slots=True)
class Entry(Generic[Key]):
    """A job in the queue, with its present score."""

    demand: Demand[Key]
    score: float = 0


@dataclass(order=True, slots=True)
class _Item:
    """An entry in a heap; stale once its score differs from the entry's."""

    score: float
    serial: int
    entry: Entry[Any] = field(compare=False)

    @property
    def stale(self) -> bool:
        """Whether the entry has moved, or no task of it waits."""
        return self.entry.score != self.score or self.entry.demand.waiting == 0


@dataclass(slots=True)
class Account:
    """Use of one member, in slot-seconds.

    `virtual` is the use over the weight: the member with the least is next.
    """

    share: Share = Share()
    virtual: float = 0
    running: int = 0
    elsewhere: int = 0
    waiting: int = 0
    mean: float = _FIRST_MEAN_SECONDS
    heaps: dict[Hashable, list[_Item]] = field(default_factory=dict)
    entries: dict[Any, Entry[Any]] = field(default_factory=dict)

    @property
    def capped(self) -> bool:
        """Whether the member holds all the slots that it may."""
        return 0 < self.share.max_slots <= self.running + self.elsewhere

    @property
    def active(self) -> bool:
        """Whether the member holds or waits for a slot."""
        return self.running > 0 or self.waiting > 0

    def charge(self, seconds: float) -> None:
        """Add to the use; negative to give back."""
        self.virtual += seconds / self.share.weight

    def learn(self, seconds: float) -> None:
        """Take a run time into the mean."""
        self.mean += _MEAN_GAIN * (seconds - self.mean)

    def push(self, entry: Entry[Any], serial: int) -> None:
        """File an entry under its present score."""
        heap = self.heaps.setdefault(entry.demand.lane, [])
        heapq.heappush(heap, _Item(entry.score, serial, entry))

    def best(self, fits: Callable[[Any], bool]) -> Entry[Any] | None:
        """Give the first entry of the lanes that fit."""
        tops = [
            top
            for lane in tuple(self.heaps)
            if fits(lane) and (top := self._top(lane)) is not None
        ]
        return min(tops).entry if tops else None

    def leaders(
        self,
        count: int,
        only: Callable[[Any], bool],
    ) -> tuple[Demand[Any], ...]:
        """Give the first demands by score, among the oldest few."""
        wanted = (each for key, each in self.entries.items() if only(key))
        oldest = islice(wanted, count * _SCANNED_PER_LEADER)
        first = heapq.nsmallest(count, oldest, key=attrgetter('score'))
        return tuple(entry.demand for entry in first)

    def _top(self, lane: Hashable) -> _Item | None:
        heap = self.heaps[lane]
        while heap and heap[0].stale:
            heapq.heappop(heap)
        if heap:
            return heap[0]
        self.heaps.pop(lane)
        return None


def shrunk(demand: Demand[Key], count: int, charge: float = 0) -> Demand[Key]:
    """Give a demand with fewer tasks waiting and more attained."""
    return replace(
        demand,
        waiting=max(0, demand.waiting - count),
        attained=demand.attained + charge,
    )
