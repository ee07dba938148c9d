"""Quarantine of endpoints."""

from dataclasses import replace

from cuminstack.core import EndpointId
from cuminstack.health import (
    EndpointHealth,
    Failing,
    LimitEndpoint,
    Outcome,
    Slow,
)
from slots_fixtures import ORDER_DESK, endpoint

_BAD = EndpointId('e0')


class _Bench:
    """Endpoints `e0` to `e5`, and jobs with running numbers."""

    def __init__(self, count: int = 6) -> None:
        self.health = EndpointHealth()
        self.now: float = 0
        self.jobs = 0
        self.endpoints = [endpoint(f'e{number}') for number in range(count)]
        for record in self.endpoints:
            self.health.observe_endpoint(record)

    def run(
        self,
        place: EndpointId,
        outcome: Outcome,
        seconds: float = 0.25,
        job: object = None,
    ) -> None:
        """End a task, of a new job if none is named."""
        self.jobs += 1
        self.now += 0.01
        self.health.record(
            place,
            job or self.jobs,
            ORDER_DESK,
            outcome,
            seconds,
            now=self.now,
        )

    def fail(self, place: EndpointId = _BAD, times: int = 10) -> None:
        """Fail tasks of different jobs."""
        for _ in range(times):
            self.run(place, Outcome.failed)

    def names(self) -> list[EndpointId]:
        """Name the endpoints in quarantine."""
        return [each.endpoint for each in self.health.quarantined]

    def probe(self, outcome: Outcome, seconds: float = 0.25) -> None:
        """Wait until a probe is allowed, and end it."""
        self.now = self.health.quarantined[0].probe_at
        assert self.health.limit(_BAD, now=self.now) == 1
        self.run(_BAD, outcome, seconds)


class TestFailing:
    """Endpoints that fail all they start."""

    def test_is_quarantined(self) -> None:
        bench = _Bench()
        bench.fail()
        assert bench.names() == [_BAD]
        assert isinstance(bench.health.quarantined[0].symptom, Failing)
        assert not bench.health.usable(_BAD, now=bench.now)
        assert bench.health.usable(EndpointId('e1'), now=bench.now)

    def test_few_samples_tell_nothing(self) -> None:
        bench = _Bench()
        bench.fail(times=7)
        assert not bench.names()

    def test_one_bad_job_condemns_no_endpoint(self) -> None:
        bench = _Bench()
        for _ in range(200):
            for record in bench.endpoints:
                bench.run(record.endpoint, Outcome.failed, job='bad')
        assert not bench.names()

    def test_bad_job_alone_on_one_endpoint(self) -> None:
        bench = _Bench()
        for _ in range(50):
            bench.run(_BAD, Outcome.failed, job='bad')
        assert not bench.names()

    def test_many_bad_jobs_everywhere(self) -> None:
        bench = _Bench()
        for number in range(50):
            for record in bench.endpoints:
                bench.run(record.endpoint, Outcome.failed, job=f'j{number}')
        assert len(bench.names()) <= 1

    def test_few_failures_among_answers(self) -> None:
        bench = _Bench()
        for number in range(200):
            failed = number % 4 == 0
            outcome = Outcome.failed if failed else Outcome.answered
            bench.run(_BAD, outcome)
        assert not bench.names()

    def test_refused_starts_tell_nothing(self) -> None:
        bench = _Bench()
        for _ in range(50):
            bench.run(_BAD, Outcome.not_started)
        assert not bench.names()

    def test_half_of_the_service_is_kept(self) -> None:
        bench = _Bench()
        for record in bench.endpoints:
            bench.fail(record.endpoint, times=20)
        assert len(bench.names()) == 3

    def test_only_endpoint_is_kept(self) -> None:
        bench = _Bench(count=1)
        bench.fail(times=100)
        assert not bench.names()


class TestSlow:
    """Stragglers."""

    def _run_all(self, bench: _Bench, slow: float) -> None:
        for _ in range(20):
            for record in bench.endpoints:
                seconds = slow if record.endpoint == _BAD else 0.25
                bench.run(record.endpoint, Outcome.answered, seconds)

    def test_slow_against_peers(self) -> None:
        bench = _Bench()
        self._run_all(bench, 2)
        assert bench.names() == [_BAD]
        assert isinstance(bench.health.quarantined[0].symptom, Slow)

    def test_slow_probe_fails(self) -> None:
        bench = _Bench()
        self._run_all(bench, 2)
        bench.probe(Outcome.answered, seconds=2)
        assert bench.health.limit(_BAD, now=bench.now) == 0

    def test_not_so_slow(self) -> None:
        bench = _Bench()
        self._run_all(bench, 0.6)
        assert not bench.names()


class TestProbes:
    """The way back."""

    def test_three_answers_release(self) -> None:
        bench = _Bench()
        bench.fail()
        for _ in range(3):
            assert bench.names()
            bench.probe(Outcome.answered)
        assert not bench.names()
        assert bench.health.limit(_BAD, now=bench.now) is None

    def test_failed_probe_doubles_the_pause(self) -> None:
        bench = _Bench()
        bench.fail()
        pauses = []
        for _ in range(8):
            before = bench.now
            bench.probe(Outcome.failed)
            pauses.append(bench.now - before)
        assert pauses[1] > 1.9 * pauses[0]
        assert max(pauses) <= 61

    def test_late_answers_are_no_probes(self) -> None:
        bench = _Bench()
        bench.fail()
        for _ in range(5):
            bench.run(_BAD, Outcome.answered)
        assert bench.names()

    def test_flapping_waits_longer(self) -> None:
        bench = _Bench()
        pauses = []
        for _ in range(3):
            bench.fail()
            state = bench.health.quarantined[0]
            pauses.append(state.probe_at - state.since)
            for _ in range(3):
                bench.probe(Outcome.answered)
        assert pauses[0] < pauses[1] < pauses[2]

    def test_changes_are_told_once(self) -> None:
        bench = _Bench()
        assert not bench.health.changes(now=0)
        bench.fail()
        stop = (LimitEndpoint(_BAD, 0),)
        assert bench.health.changes(now=bench.now) == stop
        assert not bench.health.changes(now=bench.now)
        probe_at = bench.health.quarantined[0].probe_at
        probe = (LimitEndpoint(_BAD, 1),)
        assert bench.health.changes(now=probe_at) == probe
        for _ in range(3):
            bench.probe(Outcome.answered)
        lifted = (LimitEndpoint(_BAD, None),)
        assert bench.health.changes(now=bench.now) == lifted

    def test_new_incarnation_has_no_past(self) -> None:
        bench = _Bench()
        bench.fail(times=7)
        bench.health.observe_endpoint(
            replace(bench.endpoints[0], incarnation=2),
        )
        bench.fail(times=7)
        assert not bench.names()

    def test_gone_endpoint_is_forgotten(self) -> None:
        bench = _Bench()
        bench.fail()
        bench.health.forget_endpoint(_BAD)
        assert not bench.names()
