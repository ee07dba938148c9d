"""Where tasks go: the same place as if all endpoints were ranked anew."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet

import pytest
from bench.pool import JobPlan, PoolWorld

from cuminstack.core import EndpointId, JobKey
from cuminstack.pool import (
    Phase,
    RunKey,
    StartRun,
    Step,
    find_order,
    order_names,
)
from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._placement import _fits as fits
from cuminstack.pool._placement import find_endpoint
from cuminstack.pool._rooms import StartCandidates
from fakes_pool import SERVICES, RandomPool, find_anew, starters_anew


def _place_all(pool: RandomPool, jobs: Sequence[Job], service: str) -> None:
    """Place tasks, each where ranking all anew puts it, too."""
    candidates = StartCandidates(pool.capacity_index, service, now=pool.now)
    for job in jobs:
        if job.terms.service == service:
            _place(pool, job, candidates)


def _place(pool: RandomPool, job: Job, candidates: StartCandidates) -> None:
    for task in job.ready_tasks:
        wanted = find_anew(pool.endpoints, job, task, pool.now)
        assert find_endpoint(candidates, job, task) is wanted
        if wanted is None:
            candidates.record_miss()
            continue
        assert candidates.may_fit(job)
        run = job.begin(task, wanted.report.endpoint)
        wanted.add(Run(run, job.steps[0].needs, sent_at=pool.now))
        candidates.refresh()
        anew = starters_anew(pool.endpoints, job.terms.service, pool.now)
        most = max(each.free.millicores for each in anew)
        assert candidates.max_millicores == most


def _assign_anew(pool: RandomPool) -> tuple[StartRun, ...]:
    """Rank all jobs, and all endpoints for each of their tasks."""
    assigner = pool.assigner
    now = pool.now
    order = find_order(pool.order)
    waiting = [job for job in pool.table.live if job.ready_tasks]
    waiting.sort(key=lambda job: order(job, now).key)
    started = []
    for job in waiting:
        for task in job.ready_tasks:
            endpoint = find_anew(pool.endpoints, job, task, now)
            if endpoint is None:
                break
            started.append(assigner._start(endpoint, job, task, now))
    return tuple(started)


class TestPlace:
    """Endpoints of all kinds, some of them failing, lost or left."""

    # Guards against tasks on endpoints that just failed, were lost or were
    # taken over, and against room that is left unused.
    @pytest.mark.parametrize('seed', range(8))
    def test_changed_endpoint_is_seen_as_it_is(self, seed: int) -> None:
        pool = RandomPool(seed)
        placed = 0
        for _ in range(600):
            pool.change()
            jobs = [pool.job() for _ in range(4)]
            for service in SERVICES:
                _place_all(pool, jobs, service)
            placed += sum(len(job.tasks) - len(job.ready_tasks) for job in jobs)
        # So there was room for some, and none for others.
        assert 600 < placed < 6000


class TestTurn:
    """Jobs that wait for room, and rooms that become free."""

    # Guards against jobs that are passed over, or that go before others,
    # in a backlog of jobs of unequal size.
    @pytest.mark.parametrize('order', order_names())
    @pytest.mark.parametrize('seed', range(3))
    def test_backlog_gets_room_in_order(self, order: str, seed: int) -> None:
        pool = RandomPool(seed, order=order)
        twin = RandomPool(seed, order=order)
        started = 0
        for _ in range(300):
            for each in (pool, twin):
                each.change()
                each.come()
            found = pool.assigner.assign(now=pool.now)
            assert found == _assign_anew(twin)
            started += len(found)
        assert started > 300
        assert len(pool.queue.waiting(now=pool.now)) > 20


class TestCapacity:
    """Endpoints that come back, leave or change their service."""

    # Guards against refusals, under load, by room that is lost, and against
    # jobs taken for it.
    @pytest.mark.parametrize('seed', range(4))
    def test_load_counts_what_is_left(self, seed: int) -> None:
        pool = RandomPool(seed)
        for number in range(400):
            pool.change()
            if not number % 100:
                pool.endpoints.pop().phase = Phase.gone
            for service in SERVICES:
                mine = [
                    each
                    for each in pool.endpoints
                    if each.report.service == service
                ]
                assert set(pool.capacity_index.members(service)) == set(mine)
                capacity = pool.capacity_index.capacity(service, now=pool.now)
                assert capacity == sum(
                    each.report.room.millicores
                    for each in mine
                    if each.phase is not Phase.silent
                    and not each.report.draining
                    and not each.health.is_quarantined(now=pool.now)
                )


class TestLargePool:
    """Many endpoints, most of them alike."""

    # Guards against a dispatcher whose processor is taken up by the number
    # of endpoints, at normal load.
    def test_start_looks_at_few_endpoints(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        looked_at: list[Endpoint] = []

        def look(endpoint: Endpoint, task: Task, step: Step) -> bool:
            looked_at.append(endpoint)
            return fits(endpoint, task, step)

        monkeypatch.setattr('cuminstack.pool._placement._fits', look)
        world = PoolWorld(workers=150)
        for number in range(30):
            world.submit(JobPlan(str(number), 4, 0.1))
        world.run_for(0.05)
        assert len(world.spans) == 120
        assert len(looked_at) == 120

    # Guards against a dispatcher that asks all endpoints for runs of each
    # job that comes, and against one that forgets where it has met some.
    def test_claim_asks_only_hosts_of_strangers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        asked: list[EndpointId] = []

        def ask(endpoint: Endpoint) -> AbstractSet[RunKey]:
            asked.append(endpoint.report.endpoint)
            return endpoint._foreign_runs

        world = PoolWorld(workers=150)
        for number in range(2):
            world.submit(JobPlan(str(number), 1, 0.4))
        world.run_for(0.05)
        hosts = {span.worker for span in world.spans}
        world.lead(term=2)
        world.run_for(0.02)
        monkeypatch.setattr(Endpoint, 'foreign_runs', property(ask))
        world.submit(world.plans[JobKey('0')], held=1)
        assert set(asked) == hosts
        world.submit(world.plans[JobKey('1')], held=1)
        asked.clear()
        world.submit(JobPlan('other', 1, 0.1))
        world.submit(JobPlan('another', 1, 0.1))
        assert set(asked) <= hosts
        world.run_for(1)
        world.check()
        assert len(world.spans) == 4
