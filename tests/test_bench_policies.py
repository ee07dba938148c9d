"""The bench of policies itself."""

import pytest
from bench.policies._bound import central_responses
from bench.policies._cluster import HOP_SECONDS, Cluster
from bench.policies._load import Arrival, Stream, arrivals
from bench.policies._measure import percentile

from cuminstack.slots import policy_names


def _jobs(seed: int = 1) -> tuple[Arrival, ...]:
    return arrivals(
        [Stream('tkemali', 20, 0.6)],
        slots=192,
        instances=9,
        seconds=1,
        seed=seed,
    )


class TestBound:
    """The central queue."""

    def test_waits_for_the_first_free_slot(self) -> None:
        jobs = [Arrival(0, 'a', 0, (1, 3)), Arrival(0.5, 'a', 0, (1,))]
        first, second = central_responses(jobs, slots=2, hop=0)
        assert first == pytest.approx(1)
        assert second == pytest.approx(1.5)

    def test_hops_are_part_of_the_ideal(self) -> None:
        jobs = [Arrival(0, 'a', 0, (1,))]
        assert central_responses(jobs, slots=1, hop=0.1) == pytest.approx((1,))


class TestLoad:
    """Seeded arrivals."""

    def test_seeds(self) -> None:
        assert _jobs(1) == _jobs(1)
        assert _jobs(1) != _jobs(2)

    def test_load_is_what_was_asked_for(self) -> None:
        jobs = arrivals(
            [Stream('tkemali', 1, 0.5)],
            slots=192,
            instances=9,
            seconds=60,
            seed=1,
        )
        work = sum(run for job in jobs for run in job.runs)
        assert work / (60 * 192) == pytest.approx(0.5, rel=0.05)


@pytest.mark.parametrize('name', policy_names())
class TestCluster:
    """Each policy ends each job, the same way each time."""

    def test_every_task_once(self, name: str) -> None:
        cluster = Cluster(name, seed=1, terms={})
        cluster.run(_jobs(), 60)
        for job in cluster.jobs.values():
            assert job.ratio is not None
            assert job.ratio >= 1 - HOP_SECONDS
            assert set(job.started.values()) == {1}
            assert len(job.started) == len(job.arrival.runs)

    def test_reproducible(self, name: str) -> None:
        responses = []
        for _ in range(2):
            cluster = Cluster(name, seed=1, terms={})
            cluster.run(_jobs(), 60)
            responses.append([job.done_at for job in cluster.jobs.values()])
        assert responses[0] == responses[1]


class TestPercentile:
    """Of few and of none."""

    def test_values(self) -> None:
        assert percentile([3, 1, 2], 0.5) == 2
        assert percentile([1], 0.99) == 1
