"""Tests of admission control."""

import random
from dataclasses import replace

import pytest

from cuminstack.admission import (
    Admission,
    AdmissionRequest,
    Admit,
    DeadlineTooSoon,
    MemberBound,
    NoEndpoint,
    OverClaim,
    Overloaded,
    QueueFull,
    Refuse,
    RetryBudgetSpent,
    RunTimes,
    UnknownMember,
    Unrunnable,
)
from cuminstack.core import Needs
from slots_fixtures import BESTELL_DIENST, ORDER_DESK, endpoint


def _admission(seed: int = 1) -> Admission:
    admission = Admission(chance=random.Random(seed))
    offers = Needs(processors=16, memory_mb=32_768)
    admission.observe_endpoint(replace(endpoint('e1'), offers=offers))
    admission.apply_sheet(
        {'tkemali': MemberBound(max_queued=100)},
        {ORDER_DESK: Needs(processors=8, memory_mb=65_536)},
    )
    return admission


def _request(tasks: int = 1, **changes: object) -> AdmissionRequest:
    request = AdmissionRequest(ORDER_DESK, tasks)
    return replace(request, **changes)  # type: ignore[arg-type]


def _refusal(admission: Admission, request: AdmissionRequest) -> Refuse:
    verdict = admission.admit(request, now=0)
    assert isinstance(verdict, Refuse)
    return verdict


class TestPermanentRefusal:
    """Jobs that could not run at a later time either."""

    def test_task_larger_than_any_endpoint(self) -> None:
        needs = Needs(memory_mb=40_000)
        refusal = _refusal(_admission(), _request(needs=(Needs(), needs)))
        assert refusal == Refuse(Unrunnable(needs))

    def test_task_larger_than_its_claim(self) -> None:
        refusal = _refusal(
            _admission(),
            _request(needs=(Needs(processors=12),)),
        )
        assert isinstance(refusal.reason, OverClaim)
        assert refusal.retry_after is None

    def test_unknown_member(self) -> None:
        refusal = _refusal(_admission(), _request(service=BESTELL_DIENST))
        assert refusal == Refuse(UnknownMember(BESTELL_DIENST.member))

    def test_job_larger_than_the_whole_queue(self) -> None:
        refusal = _refusal(_admission(), _request(101))
        assert refusal == Refuse(QueueFull(0, 100))

    def test_deadline_below_the_run_time(self) -> None:
        admission = _admission()
        for _ in range(50):
            admission.record_run(ORDER_DESK, 2)
        refusal = _refusal(admission, _request(deadline=1))
        assert isinstance(refusal.reason, DeadlineTooSoon)
        assert refusal.retry_after is None


class TestTemporaryRefusal:
    """Jobs that may be admitted after a retry."""

    def test_no_endpoint(self) -> None:
        admission = _admission()
        admission.forget_endpoint(endpoint('e1').endpoint)
        refusal = _refusal(admission, _request())
        assert refusal.reason == NoEndpoint(ORDER_DESK)
        assert refusal.retry_after is not None

    def test_queue_is_limited_until_settled(self) -> None:
        admission = _admission()
        assert admission.admit(_request(60), now=0) == Admit()
        assert _refusal(admission, _request(60)).reason == QueueFull(60, 100)
        admission.settled(ORDER_DESK, 60, succeeded=True, now=1)
        assert admission.queued('tkemali') == 0
        assert admission.admit(_request(60), now=1) == Admit()

    def test_refused_jobs_are_not_queued(self) -> None:
        admission = _admission()
        _refusal(admission, _request(101))
        assert admission.queued('tkemali') == 0

    def test_deadline_behind_a_queue(self) -> None:
        admission = _admission()
        for _ in range(50):
            admission.record_run(ORDER_DESK, 1)
        assert admission.admit(_request(80), now=0) == Admit()
        refusal = _refusal(admission, _request(deadline=5))
        assert isinstance(refusal.reason, DeadlineTooSoon)
        assert refusal.reason.likely == pytest.approx(11, abs=1)
        assert admission.admit(_request(deadline=20), now=0) == Admit()

    def test_successes_allow_retries(self) -> None:
        admission = _admission()
        resend = _request(retry=True)
        for _ in range(10):
            assert admission.admit(resend, now=0) == Admit()
        assert _refusal(admission, resend).reason == RetryBudgetSpent()
        assert admission.admit(_request(), now=0) == Admit()
        for _ in range(11):
            admission.settled(ORDER_DESK, 1, succeeded=True, now=0)
        assert admission.admit(resend, now=0) == Admit()

    def test_failures_allow_no_retries(self) -> None:
        admission = _admission()
        resend = _request(retry=True)
        for _ in range(10):
            admission.admit(resend, now=0)
            admission.settled(ORDER_DESK, 1, succeeded=False, now=0)
        assert _refusal(admission, resend).reason == RetryBudgetSpent()


class TestShedding:
    """Jobs are refused while the event loop lags."""

    @pytest.mark.parametrize(
        ('lag', 'least', 'most'),
        [(0.01, 0, 0), (0.07, 300, 700), (0.2, 1000, 1000)],
    )
    def test_share_refused_grows_with_lag(
        self,
        lag: float,
        least: int,
        most: int,
    ) -> None:
        admission = _admission()
        for _ in range(4):
            admission.observe_lag(lag)
        refused = 0
        for _ in range(1000):
            verdict = admission.admit(_request(), now=0)
            if isinstance(verdict, Refuse):
                assert isinstance(verdict.reason, Overloaded)
                refused += 1
            else:
                admission.settled(ORDER_DESK, 1, succeeded=True, now=0)
        assert least <= refused <= most

    def test_shedding_ends_with_lag(self) -> None:
        admission = _admission()
        for _ in range(4):
            admission.observe_lag(1)
        _refusal(admission, _request())
        admission.observe_lag(0)
        assert admission.admit(_request(), now=0) == Admit()

    def test_short_pause_does_not_shed(self) -> None:
        admission = _admission()
        for _ in range(3):
            admission.observe_lag(5)
        assert admission.admit(_request(), now=0) == Admit()


class TestRetryAfter:
    """Jitter spreads the retries of callers that are refused together."""

    def test_jitter_is_seeded_and_bounded(self) -> None:
        def retry_delays(seed: int) -> list[float]:
            admission = _admission(seed)
            admission.admit(_request(100), now=0)
            return [
                _refusal(admission, _request(50)).retry_after or 0
                for _ in range(50)
            ]

        assert retry_delays(3) == retry_delays(3)
        assert retry_delays(3) != retry_delays(4)
        assert len(set(retry_delays(3))) == 50
        assert 10 * min(retry_delays(3)) >= 1
        assert max(retry_delays(3)) <= 3


class TestRunTimes:
    """A declared run time is only an initial estimate."""

    def test_declared_loses_weight(self) -> None:
        run_times = RunTimes()
        initial = run_times.mean(ORDER_DESK, declared=5)
        assert initial == pytest.approx(5)
        for _ in range(200):
            run_times.record(ORDER_DESK, 0.2)
        mean = run_times.mean(ORDER_DESK, declared=5)
        assert mean == pytest.approx(0.3, abs=0.05)

    def test_adapts_to_a_change(self) -> None:
        run_times = RunTimes()
        for seconds in (1, 3):
            for _ in range(300):
                run_times.record(ORDER_DESK, seconds)
        assert run_times.mean(ORDER_DESK) == pytest.approx(3, abs=0.1)
        assert run_times.short(ORDER_DESK) == 3
