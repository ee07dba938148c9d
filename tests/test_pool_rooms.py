"""Tests of placement and capacity against a full scan of all endpoints."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from copy import deepcopy

import pytest
from bench.pool import JobPlan, PoolWorld

from cuminstack.core import EndpointId, JobKey
from cuminstack.pool import (
    Phase,
    Resources,
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
from fakes_pool import (
    SERVICES,
    RandomPool,
    expected_candidates,
    expected_endpoint,
)


def _place_all(pool: RandomPool, jobs: Sequence[Job], service: str) -> None:
    """Place tasks, and check each against a ranking of all endpoints."""
    candidates = StartCandidates(pool.capacity_index, service, now=pool.now)
    for job in jobs:
        if job.terms.service == service:
            _place(pool, job, candidates)


def _place(pool: RandomPool, job: Job, candidates: StartCandidates) -> None:
    for task in job.ready_tasks:
        expected = expected_endpoint(pool.endpoints, job, task, pool.now)
        assert find_endpoint(candidates, job, task) is expected
        if expected is None:
            candidates.record_miss()
            continue
        assert candidates.may_fit(job)
        run = job.begin(task, expected.report.endpoint)
        expected.add(Run(run, job.steps[0].needs, sent_at=pool.now))
        candidates.refresh()
        remaining = expected_candidates(
            pool.endpoints, job.terms.service, pool.now
        )
        # One run on probation fills an endpoint.
        max_millicores = max(
            (
                each.free.millicores
                for each in remaining
                if not (each.health.is_on_probation and each.runs)
            ),
            default=-1,
        )
        assert candidates.max_millicores == max_millicores


def _expected_starts(pool: RandomPool) -> tuple[StartRun, ...]:
    """Return the starts of a full ranking of all jobs and all endpoints."""
    assigner = pool.assigner
    now = pool.now
    order = find_order(pool.order)
    waiting = [job for job in pool.table.live if job.ready_tasks]
    waiting.sort(key=lambda job: order(job, now).key)
    started = []
    for job in waiting:
        for task in job.ready_tasks:
            endpoint = expected_endpoint(pool.endpoints, job, task, now)
            if endpoint is None:
                break
            started.append(assigner._start(endpoint, job, task, now))
    return tuple(started)


class TestPlacement:
    """Endpoints of all kinds, some of them failing, lost or gone."""

    # Guards against starts on endpoints that just failed, were lost or were
    # taken over, and against capacity that is left unused.
    @pytest.mark.parametrize('seed', range(8))
    def test_placement_matches_full_ranking(self, seed: int) -> None:
        pool = RandomPool(seed)
        placed = 0
        for _ in range(600):
            pool.change()
            jobs = [pool.create_job() for _ in range(4)]
            for service in SERVICES:
                _place_all(pool, jobs, service)
            placed += sum(len(job.tasks) - len(job.ready_tasks) for job in jobs)
        # Some tasks found capacity, and others did not.
        assert 600 < placed < 6000


class TestAssignmentOrder:
    """Jobs that wait for capacity, and capacity that becomes free."""

    # Guards against jobs that are skipped, or that go before others, in a
    # backlog of jobs of unequal size.
    @pytest.mark.parametrize('order', order_names())
    @pytest.mark.parametrize('seed', range(3))
    def test_backlog_is_assigned_in_order(self, order: str, seed: int) -> None:
        pool = RandomPool(seed, order=order)
        twin = RandomPool(seed, order=order)
        started = 0
        for _ in range(300):
            for each in (pool, twin):
                each.change()
                each.submit_job()
            found = pool.assigner.assign(now=pool.now)
            assert found == _expected_starts(twin)
            started += len(found)
        assert started > 300
        assert len(pool.queue.waiting(now=pool.now)) > 20

    # Guards against reservations that change what is decided while none is in
    # force, exceed their bound, or start more than an endpoint has room for.
    @pytest.mark.parametrize('seed', range(3))
    def test_order_holds_while_nothing_is_reserved(self, seed: int) -> None:
        pool = RandomPool(seed, max_reservations=2)
        look_ahead = pool.assigner._look_ahead
        compared = 0
        for _ in range(300):
            pool.change()
            pool.submit_job()
            before = len(look_ahead.reservations)
            twin = deepcopy(pool)
            found = pool.assigner.assign(now=pool.now)
            reserved = len(look_ahead.reservations)
            if not (before or reserved):
                assert found == _expected_starts(twin)
                compared += 1
            assert reserved <= 2
            starts = [each for each in found if isinstance(each, StartRun)]
            for start in starts:
                endpoint = pool.endpoints[int(start.endpoint)]
                assert endpoint.free.can_fit(Resources())
        assert compared > 50
        assert look_ahead.counts.reservations > 0


class TestCapacity:
    """Endpoints that recover, leave or change their service."""

    # Guards against refusals under load though there is capacity, and against
    # jobs that are admitted on capacity that is lost.
    @pytest.mark.parametrize('seed', range(4))
    def test_capacity_matches_full_sum(self, seed: int) -> None:
        pool = RandomPool(seed)
        for number in range(400):
            pool.change()
            if not number % 100:
                pool.endpoints.pop().phase = Phase.gone
            for service in SERVICES:
                members = [
                    each
                    for each in pool.endpoints
                    if each.report.service == service
                ]
                assert set(pool.capacity_index.members(service)) == set(members)
                capacity = pool.capacity_index.capacity(service, now=pool.now)
                assert capacity == sum(
                    each.report.room.millicores
                    for each in members
                    if each.phase is not Phase.silent
                    and not each.report.draining
                    and not each.health.is_quarantined(now=pool.now)
                )


class TestLargePool:
    """A pool of many endpoints, most of them alike."""

    # Guards against a number of endpoints that saturates the dispatcher's
    # processor at normal load.
    def test_start_checks_few_endpoints(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        checked: list[Endpoint] = []

        def count_check(endpoint: Endpoint, task: Task, step: Step) -> bool:
            checked.append(endpoint)
            return fits(endpoint, task, step)

        monkeypatch.setattr('cuminstack.pool._placement._fits', count_check)
        world = PoolWorld(workers=150)
        for number in range(30):
            world.submit(JobPlan(str(number), 4, 0.1))
        world.run_for(0.05)
        assert len(world.spans) == 120
        assert len(checked) == 120

    # Guards against a dispatcher that checks all endpoints for runs of each
    # arriving job, and against one that loses track of foreign runs.
    def test_claim_checks_only_hosts_of_foreign_runs(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        accessed: list[EndpointId] = []

        def count_access(endpoint: Endpoint) -> AbstractSet[RunKey]:
            accessed.append(endpoint.report.endpoint)
            return endpoint._foreign_runs

        world = PoolWorld(workers=150)
        for number in range(2):
            world.submit(JobPlan(str(number), 1, 0.4))
        world.run_for(0.05)
        hosts = {span.worker for span in world.spans}
        world.lead(term=2)
        world.run_for(0.02)
        monkeypatch.setattr(Endpoint, 'foreign_runs', property(count_access))
        world.submit(world.plans[JobKey('0')], held=1)
        assert set(accessed) == hosts
        world.submit(world.plans[JobKey('1')], held=1)
        accessed.clear()
        world.submit(JobPlan('other', 1, 0.1))
        world.submit(JobPlan('another', 1, 0.1))
        assert set(accessed) <= hosts
        world.run_for(1)
        world.check()
        assert len(world.spans) == 4
