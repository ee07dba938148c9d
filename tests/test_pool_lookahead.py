"""Tests of placement under the loads of the release plan 26.2."""

from functools import partial

import pytest
from bench.pool import SERVICE, JobPlan, PoolWorld
from bench.pool._site_world import Served, SiteWorld
from bench.pool._sites import SITES

from cuminstack.core import InstanceId, JobKey
from cuminstack.pool import (
    JobRequest,
    QueueTerms,
    Resources,
    Step,
    Submission,
)
from cuminstack.pool._reservations import expected_ends
from cuminstack.pool._speed_classes import unit_slowness

_OTHER = InstanceId('other')


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
            plan = JobPlan(str(number), 2, 0.1, slack=9, patience=20)
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


class TestReservedTask:
    """Tasks for which an endpoint is reserved."""

    # Guards against a reserved task that is started although its entry
    # instance is silent, and may have handed the job to another dispatcher.
    @pytest.mark.parametrize('is_silent', [False, True])
    def test_job_of_silent_entry_is_not_started(
        self, *, is_silent: bool
    ) -> None:
        world = PoolWorld(workers=1, order='first-come')
        world.submit(JobPlan('half', 1, 0.6, millicores=8000))
        _submit_from(world, _OTHER)
        world.submit(JobPlan('first', 1, 0.03, millicores=4000))
        world.run_for(0.2)
        assert world.dispatcher.look_ahead['reservations'] == 1
        if not is_silent:
            world.every(0.1, partial(_record_contact, world))
        world.run_for(0.8)
        started = {span.run.task.job for span in world.spans}
        assert ('large' in started) == (not is_silent)

    # Guards against reservations that count on capacity at once because the
    # run that uses it is overdue.
    def test_overdue_run_is_expected_to_go_on(self) -> None:
        world = PoolWorld(workers=1)
        world.submit(JobPlan('late', 1, 1, declared=0.2))
        world.run_for(0.1)
        endpoint = world.dispatcher.endpoints[0]
        run = next(iter(endpoint.runs.values()))
        begun_at = run.confirmed_at
        assert begun_at is not None
        for seconds, expected in ((0.1, 0.2), (0.5, 0.8)):
            now = begun_at + seconds
            ends = expected_ends(endpoint, unit_slowness, now=now)
            assert ends[0][0] == pytest.approx(begun_at + expected)
            assert ends[0][1] == run.needs


def _record_contact(world: PoolWorld) -> None:
    world.dispatcher.record_entry_contact(_OTHER, world.now)


def _submit_from(world: PoolWorld, entry: InstanceId) -> None:
    """Submit a job with one large task from an entry instance."""
    plan = JobPlan('large', 1, 0.1, millicores=11000)
    key = JobKey(plan.key)
    world.plans[key] = plan
    step = Step(1, Resources(plan.millicores, 64), plan.seconds)
    submission = Submission(
        request=JobRequest(key, 'queue', 'payload', (step,)),
        terms=QueueTerms('queue', SERVICE, slack=1),
        entry=entry,
        arrived_at=world.now,
        deadline=world.now + 5,
    )
    world.dispatcher.record_entry_contact(entry, world.now)
    world.perform(world.dispatcher.submit(submission, now=world.now))
