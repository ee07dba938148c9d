"""The metrics of one service."""

from collections import Counter
from collections.abc import Iterator

from cuminstack.core import ServiceRef
from cuminstack.metrics._histograms import Histogram
from cuminstack.metrics._kinds import Measure, Tally
from cuminstack.metrics._snapshot import HistogramSnapshot, TallyCount


class ServiceMetrics:
    """Histograms and counters of one service at one instance."""

    __slots__ = ('_histograms', '_service', '_tallies')

    def __init__(self, service: ServiceRef) -> None:
        self._service = service
        self._histograms: dict[Measure, Histogram] = {}
        self._tallies: Counter[Tally] = Counter()

    def record(self, measure: Measure, amount: float) -> None:
        """Record a value, in seconds or as a ratio."""
        histogram = self._histograms.get(measure)
        if histogram is None:
            # Created on first use, to save the memory of unused histograms.
            histogram = Histogram(measure)
            self._histograms[measure] = histogram
        histogram.record(amount)

    def count(self, tally: Tally, *, count: int) -> None:
        """Count jobs or tasks."""
        self._tallies[tally] += count

    def histograms(self) -> Iterator[HistogramSnapshot]:
        """Yield the histograms, which hold at least one value each."""
        for measure, histogram in self._histograms.items():
            encoded = histogram.encode()
            yield HistogramSnapshot(self._service, measure, encoded)

    def tallies(self) -> Iterator[TallyCount]:
        """Yield the counts of jobs and tasks."""
        for tally, count in self._tallies.items():
            yield TallyCount(self._service, tally, count)
