"""Tests of placement under the loads of the release plan 26.2."""

from functools import partial

import pytest
from bench.pool import JobPlan, PoolWorld
from bench.pool._site_world import Served, SiteWorld
from bench.pool._sites import SITES


def _play(name: str, *, load: float, seed: int) -> list[Served]:
    site = next(site for site in SITES if site.name == name)
    world = SiteWorld(site, endpoints=60, seed=seed)
    world.play(load=load, seconds=3, seed=seed)
    return list(world.served.values())


class TestSpeeds:
    """Endpoints of unequal speed."""

    # Guards against small jobs that are late at low load because they run on
    # slow endpoints while fast ones are idle: 5 to 10% of them were.
    @pytest.mark.parametrize('seed', range(1, 4))
    def test_small_jobs_at_low_load_are_in_time(self, seed: int) -> None:
        served = _play('uneven', load=0.3, seed=seed)
        small = [job for job in served if job.job.kind.priority == 1]
        in_time = sum(job.lateness <= 1 for job in small)
        assert in_time * 100 > 97 * len(small)


class TestPassedOver:
    """A task of more than half an endpoint among smaller ones."""

    # Guards against large tasks that wait for as long as small ones arrive,
    # since these fill each gap before it is large enough: 1.8 s at 90 tasks a
    # second, and 4.7 s at 100.
    @pytest.mark.parametrize('rate', [90, 100])
    def test_large_task_starts_under_steady_load(self, rate: int) -> None:
        world = PoolWorld(workers=6, order='first-come')
        for number in range(4 * rate):
            seconds = 0.1 + number * 7 % 11 / 100
            plan = JobPlan(str(number), 1, seconds, patience=20)
            world.after(number / rate, partial(world.submit, plan))
        large = JobPlan('large', 1, 0.1, millicores=11000, patience=20)
        world.after(0.5, partial(world.submit, large))
        world.run_for(6)
        world.check()
        assert world.took_ms('large') < 1000

    # Guards against reservations where every task fits in its turn, as on a
    # site of equal tasks: they would only leave capacity idle.
    def test_nothing_is_reserved_for_equal_tasks(self) -> None:
        world = PoolWorld(workers=6)
        for number in range(200):
            plan = JobPlan(str(number), 2, 0.1)
            world.after(number / 100, partial(world.submit, plan))
        world.run_for(3)
        assert world.dispatcher.waiting['queue']
        assert not world.dispatcher.look_ahead['reservations']


class TestBackfill:
    """Tasks that use an endpoint reserved for another task."""

    # Guards against reserved capacity that is idle although a short task would
    # end in time, and against backfill that delays the reserved task.
    @pytest.mark.parametrize(
        ('seconds', 'is_started'), [(0.05, True), (0.5, False)]
    )
    def test_only_short_tasks_are_backfilled(
        self, *, seconds: float, is_started: bool
    ) -> None:
        world = PoolWorld(workers=1, order='first-come')
        world.submit(JobPlan('half', 1, 0.4, millicores=8000))
        world.submit(JobPlan('large', 1, 0.1, millicores=11000, slack=1))
        world.submit(JobPlan('first', 1, 0.03, millicores=4000))
        world.run_for(0.1)
        world.submit(JobPlan('last', 1, seconds, millicores=6000))
        world.run_for(0.1)
        started = {span.run.task.job for span in world.spans}
        assert ('last' in started) == is_started
        world.run_for(1)
        world.check()
        assert world.took_ms('large') < 600
