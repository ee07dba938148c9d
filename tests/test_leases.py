"""Tests of leases on idempotent jobs."""

import pytest

from cuminstack.claims import (
    AlreadyClaimed,
    ClaimView,
    Leased,
    LeaseLost,
    LeaseTiming,
)
from fakes_claims import ClaimDeployment, holder_of, is_given_up, make_job
from fakes_network import make_instances

VIEW = ClaimView(1, make_instances(3, 2))
TIMING = LeaseTiming()
JOB = make_job('j')


@pytest.fixture
def six() -> ClaimDeployment:
    return ClaimDeployment(VIEW)


def acquire_lease(deployment: ClaimDeployment, name: str) -> None:
    service = deployment.services[name]
    effects = service.lease(JOB, b'body', now=deployment.now)
    deployment.apply(name, effects, deployment.now)


def is_holder(deployment: ClaimDeployment, name: str) -> bool:
    return deployment.services[name].holds_lease(JOB, now=deployment.now)


class TestLease:
    """Grant, renewal, expiry and loss of a lease."""

    def test_granted_and_renewed(self, six: ClaimDeployment) -> None:
        acquire_lease(six, 'a1')
        six.run(0.01)
        assert six.last_result('a1') == Leased(JOB, 1)
        six.run(TIMING.duration * 3, step=0.25)
        assert is_holder(six, 'a1')
        acquire_lease(six, 'b1')
        six.run(0.01)
        assert holder_of(six.last_result('b1')) == 'a1'

    def test_expired_lease_is_granted_to_another(
        self,
        six: ClaimDeployment,
    ) -> None:
        acquire_lease(six, 'a1')
        six.run(0.01)
        six.kill('a1')
        six.run(TIMING.duration / 2, step=0.25)
        acquire_lease(six, 'b1')
        six.run(0.01)
        assert holder_of(six.last_result('b1')) == 'a1'
        six.run(TIMING.duration, step=0.25)
        acquire_lease(six, 'b1')
        six.run(0.01)
        assert six.last_result('b1') == Leased(JOB, 2)

    def test_partitioned_holder_loses_the_lease(
        self,
        six: ClaimDeployment,
    ) -> None:
        acquire_lease(six, 'a1')
        six.run(0.01)
        six.network.partition('a1', 'a2 b1 b2 c1 c2')
        six.run(TIMING.duration + 1, step=0.25)
        assert six.last_result('a1') == LeaseLost(JOB)
        assert not is_holder(six, 'a1')

    def test_paused_holder_sees_the_expiry(
        self,
        six: ClaimDeployment,
    ) -> None:
        acquire_lease(six, 'a1')
        six.run(0.01)
        later = six.now + TIMING.duration
        assert not six.services['a1'].holds_lease(JOB, now=later)

    def test_recorded_outcome_is_returned(self, six: ClaimDeployment) -> None:
        acquire_lease(six, 'a1')
        six.run(0.01)
        six.finish('a1', 'j')
        six.run(0.1)
        six.kill('a1')
        six.run(TIMING.duration * 2, step=0.25)
        acquire_lease(six, 'c1')
        six.run(0.01)
        expected = AlreadyClaimed(
            JOB, VIEW.instances[0].instance, 1, b'body', b'done'
        )
        assert six.last_result('c1') == expected

    @pytest.mark.parametrize('seed', range(10))
    def test_race_has_one_holder(self, seed: int) -> None:
        racers = ClaimDeployment(VIEW, seed=seed)
        racers.network.jitter = 0.01
        for racer in ('a1', 'b1', 'c1'):
            acquire_lease(racers, racer)
        racers.run(1)
        holders = [name for name in racers.services if is_holder(racers, name)]
        assert len(holders) == 1
        assert len(racers.results) == 3

    def test_request_times_out_without_answers(
        self,
        six: ClaimDeployment,
    ) -> None:
        six.network.partition('a1', 'a2 b1 b2 c1 c2')
        acquire_lease(six, 'a1')
        six.run(TIMING.request_timeout + 0.1)
        assert is_given_up(six.last_result('a1'))

    def test_released_lease_is_not_renewed(self, six: ClaimDeployment) -> None:
        acquire_lease(six, 'a1')
        six.run(0.01)
        six.services['a1'].release_lease(JOB)
        frames = six.network.frames
        six.run(TIMING.duration, step=0.25)
        assert six.network.frames == frames
