"""Serialisable snapshots of the metrics of instances."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from cuminstack.core import InstanceId, MemberName, ServiceRef
from cuminstack.metrics._histograms import Histogram, HistogramSummary
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
        service: Service of the measured jobs and tasks.
        measure: Quantity that is measured.
        encoded: The counts, in the HdrHistogram V2 encoding; times are in
            microseconds, ratios in thousandths.
    """

    service: ServiceRef
    measure: Measure
    encoded: str


@dataclass(frozen=True, slots=True)
class MessageCount:
    """Number of messages of one kind and direction, and bytes in total."""

    kind: MessageKind
    direction: Direction
    count: int
    size: int


@dataclass(frozen=True, slots=True)
class WasteCount:
    """Number of wasted messages; `member` is None if they are of no member."""

    member: MemberName | None
    cause: WasteCause
    count: int


@dataclass(frozen=True, slots=True)
class TallyCount:
    """Number of jobs or tasks of a service, for one counter."""

    service: ServiceRef
    tally: Tally
    count: int


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Metrics that one or several instances recorded since their start."""

    instances: tuple[InstanceId, ...]
    histograms: tuple[HistogramSnapshot, ...] = ()
    tallies: tuple[TallyCount, ...] = ()
    messages: tuple[MessageCount, ...] = ()
    waste: tuple[WasteCount, ...] = ()


_Item = TypeVar('_Item')


def summarise(snapshot: HistogramSnapshot) -> HistogramSummary:
    """Return the statistics of an encoded histogram.

    Raises:
        BadHistogram: The histogram can't be decoded.
    """
    return Histogram.decode(snapshot.measure, snapshot.encoded).summarise()


def merge_snapshots(snapshots: Iterable[MetricsSnapshot]) -> MetricsSnapshot:
    """Merge the snapshots of several instances by adding their values.

    Args:
        snapshots: Snapshots of distinct instances.

    Returns:
        One snapshot of all the instances.

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


def _chain(groups: Iterable[tuple[_Item, ...]]) -> tuple[_Item, ...]:
    return tuple(item for group in groups for item in group)


def _merge_histograms(
    histograms: Iterable[HistogramSnapshot],
) -> tuple[HistogramSnapshot, ...]:
    sums: dict[tuple[ServiceRef, Measure], Histogram] = {}
    for each in histograms:
        total = sums.get((each.service, each.measure))
        if total is None:
            total = Histogram(each.measure)
            sums[each.service, each.measure] = total
        total.add(Histogram.decode(each.measure, each.encoded))
    return tuple(
        HistogramSnapshot(service, measure, total.encode())
        for (service, measure), total in sums.items()
    )


def _merge_tallies(tallies: Iterable[TallyCount]) -> tuple[TallyCount, ...]:
    sums: Counter[tuple[ServiceRef, Tally]] = Counter()
    for each in tallies:
        sums[each.service, each.tally] += each.count
    return tuple(TallyCount(*key, count) for key, count in sums.items())


def _merge_messages(
    messages: Iterable[MessageCount],
) -> tuple[MessageCount, ...]:
    counts: Counter[tuple[MessageKind, Direction]] = Counter()
    sizes: Counter[tuple[MessageKind, Direction]] = Counter()
    for each in messages:
        counts[each.kind, each.direction] += each.count
        sizes[each.kind, each.direction] += each.size
    return tuple(
        MessageCount(*key, count, sizes[key]) for key, count in counts.items()
    )


def _merge_waste(waste: Iterable[WasteCount]) -> tuple[WasteCount, ...]:
    sums: Counter[tuple[MemberName | None, WasteCause]] = Counter()
    for each in waste:
        sums[each.member, each.cause] += each.count
    return tuple(WasteCount(*key, count) for key, count in sums.items())
