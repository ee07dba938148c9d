"""Tests of histograms, counters and their exposition."""

from itertools import count

import msgspec
import pytest
from prometheus_client.parser import text_string_to_metric_families

from cuminstack import metrics as subject
from cuminstack.core import InstanceId, MemberName, ServiceName, ServiceRef
from cuminstack.metrics import (
    Direction,
    Exposition,
    HistogramSnapshot,
    Measure,
    MessageKind,
    Metrics,
    MetricsSnapshot,
    Tally,
    WasteCause,
    message_kind,
)

TKEMALI = MemberName('tkemali')
ORDERS = ServiceRef(TKEMALI, ServiceName('order-desk'))
BOOKING = ServiceRef(MemberName('haslinger'), ServiceName('bestell-dienst'))


def make_metrics(name: str, *, waits: tuple[float, ...]) -> Metrics:
    metrics = Metrics(InstanceId(name))
    for seconds in waits:
        metrics.record_wait(ORDERS, seconds)
    return metrics


def summary_of(
    snapshot: MetricsSnapshot,
    measure: Measure,
) -> subject.HistogramSummary:
    histograms = [
        each for each in snapshot.histograms if each.measure is measure
    ]
    assert len(histograms) == 1
    return subject.summarise(histograms[0])


class TestHistograms:
    """Statistics are within the precision of the histograms."""

    def test_times(self) -> None:
        waits = tuple(step / 1000 for step in range(1, 1001))
        summary = summary_of(
            make_metrics('a', waits=waits).snapshot(),
            Measure.wait,
        )
        assert summary.count == 1000
        assert summary.p50 == pytest.approx(0.5, rel=0.01)
        assert summary.p99 == pytest.approx(0.99, rel=0.01)
        assert summary.largest == pytest.approx(1, rel=0.01)

    def test_ratio(self) -> None:
        metrics = make_metrics('a', waits=())
        metrics.record_response(ORDERS, 0.3, ideal=0.2)
        metrics.record_response(ORDERS, 0.3, ideal=0)
        snapshot = metrics.snapshot()
        ratios = summary_of(snapshot, Measure.response_ratio)
        assert ratios.count == 1
        assert ratios.p50 == pytest.approx(1.5, rel=0.01)
        assert summary_of(snapshot, Measure.response).count == 2

    def test_value_out_of_range_is_counted(self) -> None:
        waits = (-1, 0, 1e9)
        summary = summary_of(
            make_metrics('a', waits=waits).snapshot(),
            Measure.wait,
        )
        assert summary.count == 3
        assert summary.largest >= subject.MAX_SECONDS * 0.99

    @pytest.mark.parametrize('encoded', ['', 'nonsense', 'HISTFAAA'])
    def test_invalid_encoding(self, encoded: str) -> None:
        with pytest.raises(subject.BadHistogram):
            subject.summarise(HistogramSnapshot(ORDERS, Measure.run, encoded))


class TestSnapshot:
    """Snapshots can be encoded as JSON and merged."""

    def test_json_round_trip(self) -> None:
        metrics = make_metrics('a', waits=(0.1, 0.2))
        metrics.record_tally(BOOKING, Tally.jobs_complete)
        metrics.record_message(MessageKind.start, Direction.sent, size=9)
        metrics.record_waste(WasteCause.resend, member=TKEMALI)
        snapshot = metrics.snapshot()
        body = msgspec.json.encode(snapshot)
        assert msgspec.json.decode(body, type=MetricsSnapshot) == snapshot

    def test_merge(self) -> None:
        one = make_metrics('a', waits=(0.1, 0.2))
        two = make_metrics('b', waits=(0.3,))
        for metrics in (one, two):
            metrics.record_run(ORDERS, 0.5)
            metrics.record_tally(ORDERS, Tally.tasks_started, count=2)
            metrics.record_message(MessageKind.start, Direction.sent, size=9)
            metrics.record_waste(WasteCause.probe, member=TKEMALI)
        two.record_waste(WasteCause.probe)
        merged = subject.merge_snapshots((one.snapshot(), two.snapshot()))
        assert merged.instances == ('a', 'b')
        assert summary_of(merged, Measure.wait).count == 3
        assert summary_of(merged, Measure.wait).largest == pytest.approx(
            0.3,
            rel=0.01,
        )
        assert [each.count for each in merged.tallies] == [4]
        assert [(each.count, each.size) for each in merged.messages] == [
            (2, 18),
        ]
        assert [each.count for each in merged.waste] == [2, 1]


class TestKinds:
    """Peer messages are counted by their component."""

    @pytest.mark.parametrize(
        ('wire_kind', 'kind'),
        [
            ('slots.grant', MessageKind.slots),
            ('register.accept', MessageKind.sheet),
            ('no_component.kind', MessageKind.other),
        ],
    )
    def test_kind_of_component(self, wire_kind: str, kind: MessageKind) -> None:
        assert message_kind(wire_kind) is kind


Samples = dict[tuple[str, frozenset[tuple[str, str]]], float]


def samples_of(exposition: Exposition) -> Samples:
    """Parse an exposition as Prometheus does."""
    text = exposition.render().decode()
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


class TestExposition:
    """The metrics in the text format of Prometheus."""

    def test_jobs(self) -> None:
        exposition = Exposition()
        for milliseconds in range(1, 101):
            exposition.record_answer(
                'q', 'completed', seconds=milliseconds / 1000
            )
        exposition.record_answer('q', 'not_run_overload', seconds=0.001)
        samples = samples_of(exposition)
        completed = frozenset((('queue', 'q'), ('outcome', 'completed')))
        refused = frozenset((('queue', 'q'), ('outcome', 'not_run_overload')))
        assert samples['cuminstack_jobs_total', completed] == 100
        assert samples['cuminstack_jobs_total', refused] == 1
        queue = frozenset((('queue', 'q'),))
        assert samples['cuminstack_job_response_seconds_count', queue] == 101
        median = queue | {('quantile', '0.5')}
        assert samples[
            'cuminstack_job_response_quantile_seconds', median
        ] == pytest.approx(0.05, rel=0.02)

    def test_gauge_is_read_at_each_scrape(self) -> None:
        exposition = Exposition()
        scrapes = count(1)
        exposition.add_gauge(
            'cuminstack_dispatcher_term',
            'Term.',
            label='instance',
            read=lambda: {'a"\n': next(scrapes)},
        )
        # Registration also reads the values once, for the names of the samples.
        before = samples_of(exposition)
        after = samples_of(exposition)
        name = (
            'cuminstack_dispatcher_term',
            frozenset((('instance', 'a"\n'),)),
        )
        assert after[name] == before[name] + 1
