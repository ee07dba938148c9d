"""High dynamic range histograms of times and of ratios."""

from dataclasses import dataclass
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from cuminstack.metrics._kinds import Measure

#: Maximum recorded time, in seconds; longer ones are recorded as this.
MAX_SECONDS: Final = 3600

#: Recorded units per 1: ratios are recorded in thousandths.
RATIO_SCALE: Final = 1000

_MICROSECONDS_PER_SECOND: Final = 1_000_000
_MAX_RATIO: Final = 1000
# Two figures distinguish 1.02 from 1.03; a third makes a histogram seven times
# as large.
_SIGNIFICANT_FIGURES: Final = 2
_COUNT_BYTES: Final = 4

_P50: Final = 50
_P90: Final = 90
_P99: Final = 99
_P999: Final = 99.9


@dataclass(eq=False)
class BadHistogram(Exception):
    """An encoded histogram that can't be decoded."""

    reason: str


@dataclass(frozen=True, slots=True)
class HistogramSummary:
    """Statistics of a histogram, in seconds or as ratios.

    Args:
        count: Number of values.
        mean: Mean value.
        p50: Median value.
        p90: Value that 90% of the values don't exceed.
        p99: Value that 99% of the values don't exceed.
        p999: Value that 99.9% of the values don't exceed.
        largest: Maximum value.
    """

    count: int
    mean: float
    p50: float
    p90: float
    p99: float
    p999: float
    largest: float


class Histogram:
    """Histogram of the values of one measure."""

    def __init__(self, measure: Measure, counts: Any = None) -> None:
        self._scale = _scale_of(measure)
        self._max_scaled = _max_scaled_of(measure)
        self._counts = counts or HdrHistogram(
            1,
            self._max_scaled,
            _SIGNIFICANT_FIGURES,
            word_size=_COUNT_BYTES,
        )

    @classmethod
    def decode(cls, measure: Measure, encoded: str) -> 'Histogram':
        """Decode a histogram that `encode` encoded.

        Raises:
            BadHistogram: The text isn't an encoded histogram.
        """
        # The library raises exceptions of many types for an invalid text.
        try:
            counts = HdrHistogram.decode(encoded)
        except Exception as error:
            raise BadHistogram(str(error)) from error
        return cls(measure, counts)

    def record(self, amount: float) -> None:
        """Record a value, in seconds or as a ratio.

        A value outside of the range is clamped to it.
        """
        scaled = int(amount * self._scale)
        self._counts.record_value(max(0, min(scaled, self._max_scaled)))

    def add(self, other: 'Histogram') -> None:
        """Add the counts of another histogram of the same measure."""
        self._counts.add(other._counts)

    def encode(self) -> str:
        """Return the histogram as text in the HdrHistogram V2 encoding."""
        encoded: bytes = self._counts.encode()
        return encoded.decode('ascii')

    def summarise(self) -> HistogramSummary:
        """Return the statistics of the recorded values."""
        return HistogramSummary(
            count=self._counts.get_total_count(),
            mean=self._counts.get_mean_value() / self._scale,
            p50=self._percentile(_P50),
            p90=self._percentile(_P90),
            p99=self._percentile(_P99),
            p999=self._percentile(_P999),
            largest=self._counts.get_max_value() / self._scale,
        )

    def _percentile(self, percent: float) -> float:
        scaled: int = self._counts.get_value_at_percentile(percent)
        return scaled / self._scale


def _scale_of(measure: Measure) -> int:
    if measure is Measure.response_ratio:
        return RATIO_SCALE
    return _MICROSECONDS_PER_SECOND


def _max_scaled_of(measure: Measure) -> int:
    if measure is Measure.response_ratio:
        return _MAX_RATIO * RATIO_SCALE
    return MAX_SECONDS * _MICROSECONDS_PER_SECOND
