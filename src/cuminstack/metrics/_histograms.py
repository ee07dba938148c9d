"""Histograms of times and of ratios, as hdrhistogram keeps them."""

from dataclasses import dataclass
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from cuminstack.metrics._kinds import Measure

#: Longest time that a histogram tells from longer ones, in seconds.
LONGEST_SECONDS: Final = 3600

#: Ratios are recorded in thousandths.
RATIO_SCALE: Final = 1000

_MICROSECONDS: Final = 1_000_000
_LARGEST_RATIO: Final = 1000
# Two figures tell 1.02 from 1.03; a third makes a histogram seven times as
# large.
_SIGNIFICANT_FIGURES: Final = 2
_COUNT_BYTES: Final = 4

_MEDIAN: Final = 50
_UPPER: Final = 90
_TAIL: Final = 99
_FAR_TAIL: Final = 99.9


@dataclass(eq=False)
class BadHistogram(Exception):
    """An encoded histogram that can't be read."""

    reason: str


@dataclass(frozen=True, slots=True)
class Summary:
    """Figures of a histogram, in seconds or as ratios.

    Args:
        count: Values recorded.
        mean: Their mean.
        p50: Their median.
        p90: The value that 90% don't exceed.
        p99: The value that 99% don't exceed.
        p999: The value that 99.9% don't exceed.
        largest: The largest.
    """

    count: int
    mean: float
    p50: float
    p90: float
    p99: float
    p999: float
    largest: float


class Histogram:
    """Values of one measure."""

    def __init__(self, measure: Measure, counts: Any = None) -> None:
        self._scale = _scale_of(measure)
        self._largest = _largest_of(measure)
        self._counts = counts or HdrHistogram(
            1,
            self._largest,
            _SIGNIFICANT_FIGURES,
            word_size=_COUNT_BYTES,
        )

    @classmethod
    def decode(cls, measure: Measure, encoded: str) -> 'Histogram':
        """Read what `encode` gave.

        Raises:
            BadHistogram: The text is something else.
        """
        # The library raises many types for a text that is no histogram.
        try:
            counts = HdrHistogram.decode(encoded)
        except Exception as error:
            raise BadHistogram(str(error)) from error
        return cls(measure, counts)

    def record(self, amount: float) -> None:
        """Count one value, in seconds or as a ratio."""
        scaled = int(amount * self._scale)
        self._counts.record_value(max(0, min(scaled, self._largest)))

    def add(self, other: 'Histogram') -> None:
        """Count all values of another histogram of the same measure."""
        self._counts.add(other._counts)

    def encode(self) -> str:
        """Give the counts as text in the HdrHistogram V2 encoding."""
        encoded: bytes = self._counts.encode()
        return encoded.decode('ascii')

    def summarise(self) -> Summary:
        """Give its figures."""
        return Summary(
            count=self._counts.get_total_count(),
            mean=self._counts.get_mean_value() / self._scale,
            p50=self._percentile(_MEDIAN),
            p90=self._percentile(_UPPER),
            p99=self._percentile(_TAIL),
            p999=self._percentile(_FAR_TAIL),
            largest=self._counts.get_max_value() / self._scale,
        )

    def _percentile(self, percent: float) -> float:
        found: int = self._counts.get_value_at_percentile(percent)
        return found / self._scale


def _scale_of(measure: Measure) -> int:
    if measure is Measure.response_ratio:
        return RATIO_SCALE
    return _MICROSECONDS


def _largest_of(measure: Measure) -> int:
    if measure is Measure.response_ratio:
        return _LARGEST_RATIO * RATIO_SCALE
    return LONGEST_SECONDS * _MICROSECONDS
