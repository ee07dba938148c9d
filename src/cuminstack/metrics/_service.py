"""What is measured of one service."""

from collections import Counter
from collections.abc import Iterator

from cuminstack.core import ServiceRef
from cuminstack.metrics._histograms import Histogram
from cuminstack.metrics._kinds import Measure, Tally
from cuminstack.metrics._snapshot import HistogramSnapshot, TallyCount


class ServiceMetrics:
    """Histograms and counts of one service at one instance."""

    __slots__ = ('_histograms', '_service', '_tallies')

    def __init__(self, service: ServiceRef) -> None:
        self._service = service
        self._histograms: dict[Measure, Histogram] = {}
        self._tallies: Counter[Tally] = Counter()

    def record(self, measure: Measure, amount: float) -> None:
        """Take one value, in seconds or as a ratio."""
        found = self._histograms.get(measure)
        if found is None:
            # Made at the first value, so that what is never measured costs
            # no memory.
            found = Histogram(measure)
            self._histograms[measure] = found
        found.record(amount)

    def count(self, tally: Tally, *, count: int) -> None:
        """Count jobs or tasks."""
        self._tallies[tally] += count

    def histograms(self) -> Iterator[HistogramSnapshot]:
        """Give the histograms that hold any value."""
        for measure, histogram in self._histograms.items():
            encoded = histogram.encode()
            yield HistogramSnapshot(self._service, measure, encoded)

    def tallies(self) -> Iterator[TallyCount]:
        """Give the counts."""
        for tally, count in self._tallies.items():
            yield TallyCount(self._service, tally, count)
