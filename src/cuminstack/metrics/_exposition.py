"""The page of counters and response times that a monitor fetches."""

from collections.abc import Callable, Iterable, Mapping
from operator import attrgetter
from types import MappingProxyType
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    generate_latest,
)
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from cuminstack.metrics._histograms import Histogram
from cuminstack.metrics._kinds import Measure

#: Type of the page, for the header of the same name.
CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'

Readings = Mapping[str, float]

_QUANTILES: Final = MappingProxyType(
    {
        '0.5': attrgetter('p50'),
        '0.9': attrgetter('p90'),
        '0.99': attrgetter('p99'),
        '0.999': attrgetter('p999'),
    },
)


class Exposition:
    """What one process shows to a monitor, in the text format of Prometheus.

    Its counters start at zero with the process.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._jobs = Counter(
            'cuminstack_jobs',
            'Jobs that were answered, by queue and outcome.',
            ('queue', 'outcome'),
            registry=self._registry,
        )
        self._responses = _ResponseTimes()
        self._registry.register(self._responses)

    def job_answered(self, queue: str, outcome: str, *, seconds: float) -> None:
        """Take the answer of a job.

        Args:
            queue: Where it was submitted.
            outcome: What its caller was told, as a word.
            seconds: From its submission to its answer.
        """
        self._jobs.labels(queue, outcome).inc()
        self._responses.record(queue, seconds)

    def show_gauge(
        self,
        name: str,
        text: str,
        *,
        label: str,
        read: Callable[[], Readings],
    ) -> None:
        """Show values that may fall, read each time the page is fetched.

        Args:
            name: Of the metric.
            text: What it says.
            label: Name of what tells its values apart.
            read: Gives the value of each.
        """
        family = _Family(name, text, label=label, read=read, counts=False)
        self._registry.register(family)

    def show_counter(
        self,
        name: str,
        text: str,
        *,
        label: str,
        read: Callable[[], Readings],
    ) -> None:
        """Show counts that others keep, as `show_gauge` does."""
        family = _Family(name, text, label=label, read=read, counts=True)
        self._registry.register(family)

    def render(self) -> bytes:
        """Give the page."""
        return generate_latest(self._registry)


class _Family(Collector):
    """Values of one metric, read when they are asked for."""

    def __init__(
        self,
        name: str,
        text: str,
        *,
        label: str,
        read: Callable[[], Readings],
        counts: bool,
    ) -> None:
        self._name = name
        self._text = text
        self._label = label
        self._read = read
        self._kind = CounterMetricFamily if counts else GaugeMetricFamily

    def collect(self) -> Iterable[Metric]:
        """Give the metric as it is now."""
        family = self._kind(self._name, self._text, labels=(self._label,))
        for key, reading in self._read().items():
            family.add_metric((key,), reading)
        yield family


class _ResponseTimes(Collector):
    """Response times of jobs, by queue."""

    def __init__(self) -> None:
        self._histograms: dict[str, Histogram] = {}

    def record(self, queue: str, seconds: float) -> None:
        """Take the response time of a job."""
        found = self._histograms.get(queue)
        if found is None:
            found = Histogram(Measure.response)
            self._histograms[queue] = found
        found.record(seconds)

    def collect(self) -> Iterable[Metric]:
        """Give count and sum, and the quantiles beside them."""
        totals = SummaryMetricFamily(
            'cuminstack_job_response_seconds',
            'From the submission of a job to its answer.',
            labels=('queue',),
        )
        quantiles = GaugeMetricFamily(
            'cuminstack_job_response_quantile_seconds',
            'Response times that a share of the jobs of a queue kept.',
            labels=('queue', 'quantile'),
        )
        for queue, histogram in self._histograms.items():
            found = histogram.summarise()
            total = found.mean * found.count
            totals.add_metric((queue,), found.count, total)
            for name, read in _QUANTILES.items():
                quantiles.add_metric((queue, name), read(found))
        yield totals
        yield quantiles
