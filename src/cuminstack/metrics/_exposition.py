"""Metrics in the text format of Prometheus."""

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

#: Content type of the exposition.
CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'

#: Values of a metric, by the value of its label.
LabelledValues = Mapping[str, float]

_QUANTILE_READERS: Final = MappingProxyType(
    {
        '0.5': attrgetter('p50'),
        '0.9': attrgetter('p90'),
        '0.99': attrgetter('p99'),
        '0.999': attrgetter('p999'),
    },
)


class Exposition:
    """Metrics of one process, in the text format of Prometheus.

    All counters start at zero when the process starts.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._jobs = Counter(
            'cuminstack_jobs',
            'Jobs that were answered, by queue and outcome.',
            ('queue', 'outcome'),
            registry=self._registry,
        )
        self._response_times = _ResponseTimeCollector()
        self._registry.register(self._response_times)

    def record_answer(
        self, queue: str, outcome: str, *, seconds: float
    ) -> None:
        """Count a job that was answered, and record its response time.

        Args:
            queue: Queue of the job.
            outcome: Outcome in the answer, as the value of the label.
            seconds: Time from the submission of the job to its answer.
        """
        self._jobs.labels(queue, outcome).inc()
        self._response_times.record(queue, seconds)

    def add_gauge(
        self,
        name: str,
        help_text: str,
        *,
        label: str,
        read: Callable[[], LabelledValues],
    ) -> None:
        """Add a gauge whose values are read at each scrape.

        Args:
            name: Name of the metric.
            help_text: Help text of the metric.
            label: Name of the label that distinguishes the values.
            read: Returns the values, by the value of the label.
        """
        family = _CallbackMetric(
            name, help_text, label=label, read=read, is_counter=False
        )
        self._registry.register(family)

    def add_counter(
        self,
        name: str,
        help_text: str,
        *,
        label: str,
        read: Callable[[], LabelledValues],
    ) -> None:
        """Add a counter whose counts are read at each scrape.

        Args:
            name: Name of the metric.
            help_text: Help text of the metric.
            label: Name of the label that distinguishes the values.
            read: Returns the values, by the value of the label.
        """
        family = _CallbackMetric(
            name, help_text, label=label, read=read, is_counter=True
        )
        self._registry.register(family)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)


class _CallbackMetric(Collector):
    """A metric with one label, whose values are read at each scrape."""

    def __init__(
        self,
        name: str,
        help_text: str,
        *,
        label: str,
        read: Callable[[], LabelledValues],
        is_counter: bool,
    ) -> None:
        self._name = name
        self._help_text = help_text
        self._label = label
        self._read = read
        self._family_type = (
            CounterMetricFamily if is_counter else GaugeMetricFamily
        )

    def collect(self) -> Iterable[Metric]:
        """Yield the metric with its current values."""
        family = self._family_type(
            self._name, self._help_text, labels=(self._label,)
        )
        for key, value in self._read().items():
            family.add_metric((key,), value)
        yield family


class _ResponseTimeCollector(Collector):
    """Histograms of the response times of jobs, by queue."""

    def __init__(self) -> None:
        self._histograms: dict[str, Histogram] = {}

    def record(self, queue: str, seconds: float) -> None:
        """Record the response time of a job."""
        histogram = self._histograms.get(queue)
        if histogram is None:
            histogram = Histogram(Measure.response)
            self._histograms[queue] = histogram
        histogram.record(seconds)

    def collect(self) -> Iterable[Metric]:
        """Yield a summary of count and sum, and a gauge of quantiles."""
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
            summary = histogram.summarise()
            total = summary.mean * summary.count
            totals.add_metric((queue,), summary.count, total)
            for name, read in _QUANTILE_READERS.items():
                quantiles.add_metric((queue, name), read(summary))
        yield totals
        yield quantiles
