"""Tests of the quarantine of unhealthy endpoints."""

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

_UNHEALTHY = EndpointId('e0')


class _Harness:
    """Feeds an `EndpointHealth` with attempts of consecutively numbered jobs.

    The endpoints are `e0` to `e5` by default.
    """

    def __init__(self, count: int = 6) -> None:
        self.health = EndpointHealth()
        self.now: float = 0
        self.jobs = 0
        self.endpoints = [endpoint(f'e{number}') for number in range(count)]
        for record in self.endpoints:
            self.health.observe_endpoint(record)

    def run(
        self,
        endpoint_id: EndpointId,
        outcome: Outcome,
        seconds: float = 0.25,
        job: object = None,
    ) -> None:
        """Record the end of a task, of a new job unless one is given."""
        self.jobs += 1
        self.now += 0.01
        self.health.record(
            endpoint_id,
            job or self.jobs,
            ORDER_DESK,
            outcome,
            seconds,
            now=self.now,
        )

    def fail(
        self,
        endpoint_id: EndpointId = _UNHEALTHY,
        times: int = 10,
    ) -> None:
        """Record failed tasks of different jobs."""
        for _ in range(times):
            self.run(endpoint_id, Outcome.failed)

    def quarantined(self) -> list[EndpointId]:
        """Return the endpoints in quarantine."""
        return [each.endpoint for each in self.health.quarantined]

    def probe(self, outcome: Outcome, seconds: float = 0.25) -> None:
        """Advance the time until a probe is allowed, and record its end."""
        self.now = self.health.quarantined[0].probe_at
        assert self.health.limit(_UNHEALTHY, now=self.now) == 1
        self.run(_UNHEALTHY, outcome, seconds)


class TestFailing:
    """Quarantine of endpoints that fail tasks."""

    def test_failing_endpoint_is_quarantined(self) -> None:
        harness = _Harness()
        harness.fail()
        assert harness.quarantined() == [_UNHEALTHY]
        assert isinstance(harness.health.quarantined[0].symptom, Failing)
        assert not harness.health.usable(_UNHEALTHY, now=harness.now)
        assert harness.health.usable(EndpointId('e1'), now=harness.now)

    def test_too_few_samples(self) -> None:
        harness = _Harness()
        harness.fail(times=7)
        assert not harness.quarantined()

    def test_faulty_job_at_all_endpoints(self) -> None:
        harness = _Harness()
        for _ in range(200):
            for record in harness.endpoints:
                harness.run(record.endpoint, Outcome.failed, job='bad')
        assert not harness.quarantined()

    def test_faulty_job_at_one_endpoint(self) -> None:
        harness = _Harness()
        for _ in range(50):
            harness.run(_UNHEALTHY, Outcome.failed, job='bad')
        assert not harness.quarantined()

    def test_many_faulty_jobs_at_all_endpoints(self) -> None:
        harness = _Harness()
        for number in range(50):
            for record in harness.endpoints:
                harness.run(record.endpoint, Outcome.failed, job=f'j{number}')
        assert len(harness.quarantined()) <= 1

    def test_low_failure_rate(self) -> None:
        harness = _Harness()
        for number in range(200):
            failed = number % 4 == 0
            outcome = Outcome.failed if failed else Outcome.answered
            harness.run(_UNHEALTHY, outcome)
        assert not harness.quarantined()

    def test_not_started_is_ignored(self) -> None:
        harness = _Harness()
        for _ in range(50):
            harness.run(_UNHEALTHY, Outcome.not_started)
        assert not harness.quarantined()

    def test_half_of_the_slots_stay_in_use(self) -> None:
        harness = _Harness()
        for record in harness.endpoints:
            harness.fail(record.endpoint, times=20)
        assert len(harness.quarantined()) == 3

    def test_only_endpoint_stays_in_use(self) -> None:
        harness = _Harness(count=1)
        harness.fail(times=100)
        assert not harness.quarantined()


class TestSlow:
    """Quarantine of endpoints that are slower than their peers."""

    def _run_all(self, harness: _Harness, slow: float) -> None:
        for _ in range(20):
            for record in harness.endpoints:
                seconds = slow if record.endpoint == _UNHEALTHY else 0.25
                harness.run(record.endpoint, Outcome.answered, seconds)

    def test_slow_endpoint_is_quarantined(self) -> None:
        harness = _Harness()
        self._run_all(harness, 2)
        assert harness.quarantined() == [_UNHEALTHY]
        assert isinstance(harness.health.quarantined[0].symptom, Slow)

    def test_slow_probe_fails(self) -> None:
        harness = _Harness()
        self._run_all(harness, 2)
        harness.probe(Outcome.answered, seconds=2)
        assert harness.health.limit(_UNHEALTHY, now=harness.now) == 0

    def test_moderately_slow_endpoint(self) -> None:
        harness = _Harness()
        self._run_all(harness, 0.6)
        assert not harness.quarantined()


class TestProbes:
    """Probes of quarantined endpoints and their release."""

    def test_three_successful_probes_release(self) -> None:
        harness = _Harness()
        harness.fail()
        for _ in range(3):
            assert harness.quarantined()
            harness.probe(Outcome.answered)
        assert not harness.quarantined()
        assert harness.health.limit(_UNHEALTHY, now=harness.now) is None

    def test_failed_probe_doubles_backoff(self) -> None:
        harness = _Harness()
        harness.fail()
        backoffs = []
        for _ in range(8):
            before = harness.now
            harness.probe(Outcome.failed)
            backoffs.append(harness.now - before)
        assert backoffs[1] > 1.9 * backoffs[0]
        assert max(backoffs) <= 61

    def test_answers_before_probe_time_are_ignored(self) -> None:
        harness = _Harness()
        harness.fail()
        for _ in range(5):
            harness.run(_UNHEALTHY, Outcome.answered)
        assert harness.quarantined()

    def test_flapping_increases_backoff(self) -> None:
        harness = _Harness()
        backoffs = []
        for _ in range(3):
            harness.fail()
            quarantine = harness.health.quarantined[0]
            backoffs.append(quarantine.probe_at - quarantine.since)
            for _ in range(3):
                harness.probe(Outcome.answered)
        assert backoffs[0] < backoffs[1] < backoffs[2]

    def test_changes_are_reported_once(self) -> None:
        harness = _Harness()
        assert not harness.health.changes(now=0)
        harness.fail()
        stop = (LimitEndpoint(_UNHEALTHY, 0),)
        assert harness.health.changes(now=harness.now) == stop
        assert not harness.health.changes(now=harness.now)
        probe_at = harness.health.quarantined[0].probe_at
        probe = (LimitEndpoint(_UNHEALTHY, 1),)
        assert harness.health.changes(now=probe_at) == probe
        for _ in range(3):
            harness.probe(Outcome.answered)
        lifted = (LimitEndpoint(_UNHEALTHY, None),)
        assert harness.health.changes(now=harness.now) == lifted

    def test_new_incarnation_has_no_samples(self) -> None:
        harness = _Harness()
        harness.fail(times=7)
        harness.health.observe_endpoint(
            replace(harness.endpoints[0], incarnation=2),
        )
        harness.fail(times=7)
        assert not harness.quarantined()

    def test_gone_endpoint_is_forgotten(self) -> None:
        harness = _Harness()
        harness.fail()
        harness.health.forget_endpoint(_UNHEALTHY)
        assert not harness.quarantined()
