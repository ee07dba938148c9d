"""What metrics look like outside of their instance."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from cuminstack.core import InstanceId, MemberName, ServiceRef
from cuminstack.metrics._histograms import Histogram, Summary
from cuminstack.metrics._kinds import (
    Direction,
    Measure,
    MessageKind,
    Tally,
    WasteCause,
)


@dataclass(frozen=True, slots=True)
class HistogramSnapshot:
    """One histogram of a service.

    Args:
        service: Whose jobs and tasks it is of.
        measure: What it shows.
        encoded: The counts, in the HdrHistogram V2 encoding; times are in
            microseconds, ratios in thousandths.
    """

    service: ServiceRef
    measure: Measure
    encoded: str


@dataclass(frozen=True, slots=True)
class MessageCount:
    """Messages of one kind, and their size in bytes."""

    kind: MessageKind
    direction: Direction
    count: int
    size: int


@dataclass(frozen=True, slots=True)
class WasteCount:
    """Wasted messages; `member` is None where they are of no member."""

    member: MemberName | None
    cause: WasteCause
    count: int


@dataclass(frozen=True, slots=True)
class TallyCount:
    """Jobs or tasks of a service that came to something."""

    service: ServiceRef
    tally: Tally
    count: int


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """All that one or several instances measured since they started."""

    instances: tuple[InstanceId, ...]
    histograms: tuple[HistogramSnapshot, ...] = ()
    tallies: tuple[TallyCount, ...] = ()
    messages: tuple[MessageCount, ...] = ()
    waste: tuple[WasteCount, ...] = ()


_Found = TypeVar('_Found')


def summarise(snapshot: HistogramSnapshot) -> Summary:
    """Give the figures of an encoded histogram.

    Raises:
        BadHistogram: It can't be decoded.
    """
    return Histogram.decode(snapshot.measure, snapshot.encoded).summarise()


def merge_snapshots(snapshots: Iterable[MetricsSnapshot]) -> MetricsSnapshot:
    """Add up the snapshots of several instances.

    Raises:
        BadHistogram: A histogram can't be decoded.
    """
    parts = tuple(snapshots)
    return MetricsSnapshot(
        instances=_chain(part.instances for part in parts),
        histograms=_merge_histograms(_chain(part.histograms for part in parts)),
        tallies=_merge_tallies(_chain(part.tallies for part in parts)),
        messages=_merge_messages(_chain(part.messages for part in parts)),
        waste=_merge_waste(_chain(part.waste for part in parts)),
    )


def _chain(groups: Iterable[tuple[_Found, ...]]) -> tuple[_Found, ...]:
    return tuple(found for group in groups for found in group)


def _merge_histograms(
    found: Iterable[HistogramSnapshot],
) -> tuple[HistogramSnapshot, ...]:
    sums: dict[tuple[ServiceRef, Measure], Histogram] = {}
    for each in found:
        total = sums.get((each.service, each.measure))
        if total is None:
            total = Histogram(each.measure)
            sums[each.service, each.measure] = total
        total.add(Histogram.decode(each.measure, each.encoded))
    return tuple(
        HistogramSnapshot(service, measure, total.encode())
        for (service, measure), total in sums.items()
    )


def _merge_tallies(found: Iterable[TallyCount]) -> tuple[TallyCount, ...]:
    sums: Counter[tuple[ServiceRef, Tally]] = Counter()
    for each in found:
        sums[each.service, each.tally] += each.count
    return tuple(TallyCount(*key, count) for key, count in sums.items())


def _merge_messages(found: Iterable[MessageCount]) -> tuple[MessageCount, ...]:
    counts: Counter[tuple[MessageKind, Direction]] = Counter()
    sizes: Counter[tuple[MessageKind, Direction]] = Counter()
    for each in found:
        counts[each.kind, each.direction] += each.count
        sizes[each.kind, each.direction] += each.size
    return tuple(
        MessageCount(*key, count, sizes[key]) for key, count in counts.items()
    )


def _merge_waste(found: Iterable[WasteCount]) -> tuple[WasteCount, ...]:
    sums: Counter[tuple[MemberName | None, WasteCause]] = Counter()
    for each in found:
        sums[each.member, each.cause] += each.count
    return tuple(WasteCount(*key, count) for key, count in sums.items())
