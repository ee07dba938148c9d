"""Tests of the dispatcher on a simulated pool: invariants and load."""

from collections import Counter
from functools import partial

import pytest
from bench.pool import ENTRY, JobPlan, PoolWorld

from cuminstack.core import EndpointId, JobKey
from cuminstack.pool import (
    Fenced,
    Hold,
    JobState,
    Refusal,
    TokensLow,
    _assignment,
    order_names,
)
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._placement import find_endpoint
from cuminstack.pool._queue import WaitingJob
from cuminstack.pool._rooms import StartCandidates
from cuminstack.pool._tokens import TokenSource


def _submit_mix(world: PoolWorld, jobs: int, *, gap: float = 0.03) -> None:
    """Submit a mix of wide short jobs, long jobs and narrow jobs."""
    shapes = ((8, 0.06), (4, 0.9), (2, 0.2), (2, 0.2), (2, 0.2))
    for number in range(jobs):
        width, seconds = world.chance.choice(shapes)
        plan = JobPlan(
            str(number),
            width,
            seconds * world.chance.uniform(0.6, 1.6),
            declared=seconds,
            patience=60,
            slack=20,
        )
        world.after(number * gap, partial(world.submit, plan))


def _count_completed(world: PoolWorld) -> int:
    return sum(
        result.state is JobState.completed for result in world.results.values()
    )


def _spans_of(world: PoolWorld, key: str) -> list[object]:
    return [span for span in world.spans if span.run.task.job == key]


class TestWithoutFaults:
    """Behaviour without faults."""

    def test_job_starts_immediately(self) -> None:
        world = PoolWorld()
        world.submit(JobPlan('a', 6, 0.1))
        world.run_for(1)
        world.check()
        assert world.took_ms('a') < 120

    def test_capacity_is_never_exceeded(self) -> None:
        world = PoolWorld(workers=2)
        world.submit(JobPlan('a', 20, 0.1))
        world.run_for(2)
        world.check()
        assert world.results['a'].state is JobState.completed
        assert len(world.spans) == 20

    def test_too_large_is_refused_at_once(self) -> None:
        world = PoolWorld()
        world.submit(JobPlan('a', 1, 0.1, millicores=17000))
        assert world.results['a'].state is None

    def test_idle_endpoints_get_no_orders(self) -> None:
        world = PoolWorld()
        world.submit(JobPlan('a', 3, 0.1))
        world.run_for(2)
        before = world.orders
        world.run_for(5)
        assert world.orders == before

    def test_dropped_job_is_stopped(self) -> None:
        world = PoolWorld()
        world.submit(JobPlan('a', 9, 2))
        world.run_for(0.1)
        world.perform(world.dispatcher.drop(JobKey('a'), now=world.now))
        world.run_for(0.2)
        assert all(span.ended is not None for span in world.spans)
        world.submit(JobPlan('b', 6, 0.1))
        world.run_for(1)
        world.check()
        assert world.took_ms('b') < 120

    def test_dropped_job_is_resubmitted(self) -> None:
        world = PoolWorld()
        world.submit(JobPlan('a', 6, 0.3))
        world.run_for(0.1)
        world.perform(world.dispatcher.drop(JobKey('a'), now=world.now))
        world.submit(JobPlan('a', 6, 0.3))
        world.run_for(2)
        world.check()
        assert world.results['a'].state is JobState.completed


class TestUnansweredOrders:
    """Orders whose answers are lost, or that are carried out late."""

    def test_lost_answers_cause_short_delays(self) -> None:
        world = PoolWorld(seed=2)
        for worker in world.workers.values():
            worker.faults.lose_answers = 0.2
        world.submit(JobPlan('a', 6, 0.1))
        world.run_for(3)
        world.check()
        assert world.took_ms('a') < 600

    @pytest.mark.parametrize('seed', range(6))
    def test_late_orders_never_run_concurrently(self, seed: int) -> None:
        world = PoolWorld(seed=seed, workers=6)
        for worker in world.workers.values():
            worker.faults.late_orders = 0.1
        _submit_mix(world, 60)
        world.run_for(12)
        world.check()
        assert _count_completed(world) == 60


class TestSilentEndpoints:
    """Endpoints that are partitioned, crash, or recover."""

    def test_tasks_restart_after_lease_expiry(self) -> None:
        world = PoolWorld(workers=4)
        world.submit(JobPlan('a', 4, 0.5))
        world.run_for(0.1)
        lost = world.workers[world.spans[0].worker]
        lost.faults.dark = True
        world.run_for(3)
        world.check()
        assert world.took_ms('a') < 1500

    def test_partitioned_endpoint_recovers(self) -> None:
        world = PoolWorld(workers=1)
        world.workers['w0'].faults.dark = True
        world.submit(JobPlan('a', 2, 0.1))
        world.run_for(3)
        world.workers['w0'].faults.dark = False
        world.run_for(3)
        world.check()
        assert world.results['a'].state is JobState.completed

    def test_crashed_endpoint_recovers(self) -> None:
        world = PoolWorld(workers=1)
        world.submit(JobPlan('a', 2, 0.3))
        world.run_for(0.1)
        world.workers['w0'].crash(world.now)
        world.run_for(4)
        world.check()
        assert world.results['a'].state is JobState.completed


class TestRestartedEndpoints:
    """Endpoints that restart under their ids, before their next heartbeat."""

    def _restart(self, world: PoolWorld, *names: str) -> None:
        for name in names:
            world.workers[name].crash(world.now)

    # Guards against tasks that run twice: a start that was sent before the
    # restart was known is obeyed by the new lifetime, and was taken for lost.
    def test_orders_for_an_earlier_lifetime_count(self) -> None:
        world = PoolWorld(workers=4)
        world.submit(JobPlan('earlier', 8, 0.1))
        world.run_for(0.3)
        self._restart(world, 'w0', 'w1')
        world.submit(JobPlan('a', 4, 0.5))
        world.run_for(2)
        world.check()
        assert world.took_ms('a') < 600

    def test_tasks_of_the_earlier_lifetime_restart(self) -> None:
        world = PoolWorld(workers=4)
        world.submit(JobPlan('a', 4, 0.5))
        world.run_for(0.1)
        self._restart(world, 'w0', 'w1')
        world.run_for(2)
        world.check()
        assert world.took_ms('a') < 1000

    # Guards against tasks that run twice: an expiry on the clock of an earlier
    # lifetime says nothing of when a run in the new one ends.
    @pytest.mark.parametrize('seconds', [0.002, 0.02, 0.1, 0.3])
    def test_cut_after_a_restart(self, seconds: float) -> None:
        world = PoolWorld(workers=4)
        world.submit(JobPlan('earlier', 8, 0.1))
        world.run_for(0.3)
        self._restart(world, 'w0', 'w1')
        world.submit(JobPlan('a', 4, 2, patience=9))
        world.run_for(seconds)
        world.workers['w0'].faults.dark = True
        world.run_for(6)
        world.check()
        assert world.results['a'].state is JobState.completed

    # Guards against an endpoint that gets more than fits: it came back smaller,
    # and its runs were listed before its first heartbeat arrived.
    def test_smaller_endpoint_waits_for_its_heartbeat(self) -> None:
        world = PoolWorld(workers=1)
        world.submit(JobPlan('a', 2, 0.3))
        world.run_for(0.1)
        self._restart(world, 'w0')
        world.workers['w0'].millicores = 7000
        world.run_for(0.3)
        endpoint = world.dispatcher.endpoints[0]
        assert endpoint.lifetime.number == world.workers['w0'].born
        assert not endpoint.takes_starts
        world.run_for(3)
        world.check()
        assert world.results['a'].state is JobState.completed

    # Guards against tasks that run twice at an endpoint whose clock was set
    # back, so that its new lifetime has a lower number.
    @pytest.mark.parametrize('has_jobs', [True, False])
    def test_clock_set_back(self, *, has_jobs: bool) -> None:
        world = PoolWorld(workers=4)
        self._restart(world, 'w0', 'w1')
        world.run_for(3)
        self._restart(world, 'w0', 'w1')
        for name in ('w0', 'w1'):
            world.workers[name].born = 1
        if has_jobs:
            world.submit(JobPlan('a', 4, 0.5))
        world.run_for(4)
        world.check()
        assert all(each.takes_starts for each in world.dispatcher.endpoints)
        assert all(world.took_ms(name) < 600 for name in world.submitted)


class TestLeavingEndpoints:
    """Endpoints that deregister."""

    def test_running_tasks_are_not_duplicated(self) -> None:
        world = PoolWorld(workers=3)
        world.submit(JobPlan('a', 2, 0.3))
        world.run_for(0.1)
        name = world.spans[0].worker
        effects = world.dispatcher.leave(EndpointId(name), now=world.now)
        world.perform(effects)
        world.run_for(0.1)
        # Its runs may go on for a while after its last message.
        world.workers[name].faults.dark = True
        world.run_for(3)
        world.check()
        assert world.results['a'].state is JobState.completed


class TestTakeover:
    """Takeover by another dispatcher."""

    def test_running_tasks_are_claimed(self) -> None:
        world = PoolWorld()
        world.submit(JobPlan('a', 6, 0.4))
        world.run_for(0.1)
        world.lead(term=2)
        world.submit(world.plans[JobKey('a')], held=1)
        world.run_for(2)
        world.check()
        assert len(world.spans) == 6
        assert world.took_ms('a') < 450

    # Pattern of the load: the dispatcher is lost, and what was running ends
    # before another one leads.  Guards against work that is done a second time,
    # long after its caller's objective.
    def test_ended_tasks_are_not_run_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        world = PoolWorld(workers=8)
        names = [f'job{number}' for number in range(6)]
        for name in names:
            world.submit(JobPlan(name, 2, 0.2))
        world.run_for(0.1)
        with monkeypatch.context() as lost:
            lost.setattr(world, 'perform', lambda effects: None)
            world.run_for(0.45)
        world.lead(term=2)
        half = len(names) // 2
        for name in names[:half]:
            world.submit(world.plans[JobKey(name)], held=0.6)
        # Entries hand over some jobs only after the endpoints have answered.
        world.run_for(0.1)
        for name in names[half:]:
            world.submit(world.plans[JobKey(name)], held=0.5)
        world.run_for(2)
        world.check()
        assert len(world.spans) == 2 * len(names)
        assert all(world.took_ms(name) < 750 for name in names)

    # Pattern of the load: one availability zone was cut off, its dispatcher has
    # resigned, and the one of all others begins a later term.  Guards against
    # a term that interrupts the starts at all endpoints.
    def test_later_term_interrupts_nothing(self) -> None:
        world = PoolWorld(workers=30)
        _submit_mix(world, 40, gap=0.01)
        world.run_for(0.5)
        spans = len(world.spans)
        world.perform(world.dispatcher.begin_term(9, now=world.now))
        world.submit(JobPlan('new', 4, 0.1))
        world.run_for(0.01)
        assert len(world.spans) > spans
        world.run_for(5)
        world.check()
        assert world.took_ms('new') < 200
        # All tasks were started once: no run was lost.
        assert len(world.spans) == len({span.run for span in world.spans})
        assert _count_completed(world) == 41

    # Guards against endpoints that get more than fits: a dispatcher outranked
    # its rival and started tasks beside runs that the rival had started.
    def test_later_term_starts_after_listings(self) -> None:
        world = PoolWorld(workers=4)
        first = world.dispatcher
        world.lead(term=2)
        world.run_for(0.1)
        world.submit(JobPlan('rival', 8, 0.4))
        world.run_for(0.1)
        world.dispatcher = first
        world.perform(first.begin_term(3, now=world.now))
        world.submit(JobPlan('own', 8, 0.1))
        world.run_for(2)
        world.check()
        assert world.results['own'].state is JobState.completed

    def test_rival_is_fenced_by_a_later_term(self) -> None:
        world = PoolWorld(workers=2)
        rival = world.dispatcher
        world.submit(JobPlan('a', 2, 0.3))
        world.run_for(0.05)
        dispatcher = world.lead(term=2)
        world.run_for(0.1)
        effects = dispatcher.begin_term(4, now=world.now)
        tokens = [each.token for each in effects if isinstance(each, Hold)]
        assert len(tokens) == 2
        assert min(tokens) > max(each.token for each in rival.endpoints)
        # The job waits until both endpoints have listed their runs anew.
        assert not any(each.has_joined for each in dispatcher.endpoints)
        world.perform(effects)
        world.run_for(0.1)
        assert all(each.has_joined for each in dispatcher.endpoints)

    # Guards against terms that grow fast while a rival is out of reach, as it
    # is taken for a dispatcher whose term was lost.
    def test_fenced_dispatcher_was_obeyed(self) -> None:
        world = PoolWorld(workers=1)
        world.run_for(0.1)
        dispatcher = world.dispatcher
        endpoint = dispatcher.endpoints[0]
        hold = dispatcher._watch.request_listing(endpoint, now=world.now)
        effects = dispatcher.hold_refused(hold, Refusal.fenced, now=world.now)
        assert effects == (
            Fenced(
                endpoint.report.endpoint,
                term=1,
                has_obeyed=True,
            ),
        )

    def test_fenced_dispatcher_was_never_obeyed(self) -> None:
        world = PoolWorld(workers=1)
        world.run_for(0.1)
        dispatcher = world.dispatcher
        dispatcher.begin_term(2, now=world.now)
        endpoint = dispatcher.endpoints[0]
        assert endpoint.hold is not None
        effects = dispatcher.hold_refused(
            endpoint.hold, Refusal.fenced, now=world.now
        )
        assert effects == (
            Fenced(
                endpoint.report.endpoint,
                term=2,
                has_obeyed=False,
            ),
        )

    # Guards against a successor that the tokens of an earlier term fence: a
    # long term had issued so many that they reached those of the next one.
    def test_term_ends_before_its_tokens_do(self) -> None:
        world = PoolWorld(workers=1)
        dispatcher = world.dispatcher
        tokens = dispatcher._watch.tokens
        while TokensLow(1) not in dispatcher.tick(now=world.now):
            last = [tokens.issue() for _ in range(1000)][-1]
        assert last < TokenSource(term=2, instance=0).issue()
        dispatcher.begin_term(2, now=world.now)
        assert TokensLow(2) not in dispatcher.tick(now=world.now)

    def test_unclaimed_tasks_expire(self) -> None:
        world = PoolWorld(workers=1)
        world.submit(JobPlan('a', 2, 3))
        world.run_for(0.1)
        world.lead(term=2)
        world.run_for(0.6)
        assert all(span.ended is not None for span in world.spans)

    @pytest.mark.parametrize('seed', range(6))
    def test_old_orders_are_void(self, seed: int) -> None:
        world = PoolWorld(seed=seed, workers=6)
        for worker in world.workers.values():
            worker.faults.late_orders = 0.1
        _submit_mix(world, 40)
        world.run_for(0.6)
        world.lead(term=2)
        open_jobs = set(world.submitted) - set(world.results)
        for key in sorted(open_jobs):
            world.submit(world.plans[JobKey(key)], held=1)
        world.run_for(12)
        world.check()
        assert _count_completed(world) == 40

    def test_jobs_of_a_silent_entry_are_not_started(self) -> None:
        world = PoolWorld(workers=1)
        world.submit(JobPlan('a', 8, 0.2))
        world.run_for(0.1)
        begun = len(world.spans)
        world.dispatcher.record_entry_contact(ENTRY, world.now)
        # Time passes at the dispatcher without contact from the entry instance.
        for moment in range(1, 20):
            later = world.now + 0.3 + moment / 100
            orders = world.dispatcher.tick(now=later)
            assert not any('StartRun' in repr(each) for each in orders)
        assert begun == 2


class _QuietWorld(PoolWorld):
    """A pool whose endpoints may stop to send heartbeats."""

    is_quiet = False

    def _report(self) -> None:
        if not self.is_quiet:
            super()._report()


class TestSilentReports:
    """Endpoints that answer holds, while none of their heartbeats arrives.

    Guards against running tasks that are given up, or started again elsewhere,
    because heartbeats are late or lost on their way.
    """

    def test_running_tasks_go_on(self) -> None:
        world = _QuietWorld()
        world.submit(JobPlan('a', 6, 30, patience=60))
        world.run_for(1)
        world.is_quiet = True
        world.run_for(31)
        world.check()
        assert world.results['a'].state is JobState.completed
        assert len(world.spans) == 6


class TestGreyFailures:
    """Grey failures: endpoints that answer but fail, hang or are slow."""

    def test_failing_endpoint_is_quarantined(self) -> None:
        world = PoolWorld(workers=4)
        world.workers['w0'].faults.fails = True
        _submit_mix(world, 60)
        world.run_for(16)
        world.check()
        assert _count_completed(world) == 60
        failures = [span for span in world.spans if span.worker == 'w0']
        assert len(failures) < 20

    def test_poison_job_fails_without_quarantine(self) -> None:
        world = PoolWorld(workers=4)
        for number in range(6):
            world.submit(JobPlan(f'p{number}', 2, 0.05, poison=True))
        world.run_for(1)
        assert all(
            result.state is JobState.failed for result in world.results.values()
        )
        world.submit(JobPlan('a', 8, 0.1))
        world.run_for(1)
        assert world.took_ms('a') < 130

    def test_hanging_task_is_moved(self) -> None:
        world = PoolWorld(workers=4)
        world.workers['w0'].faults.hangs = True
        for number in range(4):
            world.submit(JobPlan(f'a{number}', 2, 0.2))
        world.run_for(3)
        world.check()
        assert all(world.took_ms(f'a{number}') < 1000 for number in range(4))

    def test_tasks_are_moved_off_a_slow_endpoint(self) -> None:
        world = PoolWorld(workers=4)
        world.workers['w0'].faults.slow = 7
        world.submit(JobPlan('a', 8, 0.5))
        world.run_for(6)
        world.check()
        assert world.took_ms('a') < 1600

    def test_long_job_is_not_moved(self) -> None:
        world = PoolWorld(workers=4)
        world.submit(JobPlan('a', 8, 1.5, declared=0.3))
        world.run_for(3)
        assert len(world.spans) == 8


class TestAdmission:
    """Refusal of jobs on arrival."""

    def test_burst_after_a_takeover_is_admitted(self) -> None:
        world = PoolWorld(workers=6)
        world.lead(term=2)
        for number in range(12):
            world.submit(JobPlan(str(number), 2, 0.2, patience=2))
        world.run_for(2)
        assert _count_completed(world) == 12

    def test_voiding_orders_causes_no_refusals(self) -> None:
        world = PoolWorld(workers=4)
        for worker in world.workers.values():
            worker.faults.lose_answers = 1
        world.submit(JobPlan('first', 8, 0.1))
        world.run_for(0.08)
        world.submit(JobPlan('wide', 8, 0.1, patience=2))
        world.submit(JobPlan('narrow', 1, 0.1, patience=2))
        assert not world.results

    def test_overload_is_refused_at_once(self) -> None:
        world = PoolWorld(workers=1)
        for number in range(10):
            world.submit(JobPlan(str(number), 2, 1, patience=3))
        refused = [
            result for result in world.results.values() if result.state is None
        ]
        assert len(refused) > 4
        world.run_for(4)
        assert _count_completed(world) >= 2


class TestTwoEntries:
    """A client that moved to another entry before the first one noticed."""

    def _full_pool(self) -> PoolWorld:
        world = PoolWorld(workers=1)
        for number in range(2):
            world.submit(JobPlan(f'long{number}', 1, 3, patience=60))
        return world

    def test_refused_job_never_runs(self) -> None:
        world = self._full_pool()
        job = JobPlan('job', 2, 0.2, patience=1)
        world.submit(job)
        world.run_for(2)
        assert world.results['job'].state is None
        # The first entry instance still has the job and hands it over again.
        world.run_for(3)
        world.submit(job, held=0.01)
        world.run_for(2)
        assert not _spans_of(world, 'job')

    def test_refused_job_may_be_resubmitted(self) -> None:
        world = self._full_pool()
        job = JobPlan('job', 2, 0.2, patience=1)
        world.submit(job)
        world.run_for(5)
        world.submitted.pop('job')
        world.submit(job)
        world.run_for(2)
        assert len(_spans_of(world, 'job')) == 2

    def test_job_that_may_run_is_not_refused(self) -> None:
        world = self._full_pool()
        job = JobPlan('job', 2, 0.2, patience=1)
        world.submit(job, held=0.5)
        world.submit(job)
        world.run_for(2)
        assert 'job' not in world.results


class TestFullPool:
    """A backlog causes no work per job while no capacity becomes free.

    The dispatcher is one process that handles some hundred events a second, so
    work for each waiting job at each event would saturate it.
    """

    @pytest.fixture
    def world(self) -> PoolWorld:
        world = PoolWorld(workers=2)
        for number in range(150):
            world.submit(JobPlan(str(number), 2, 1, patience=300))
        world.run_for(0.3)
        return world

    def test_full_pool_is_not_searched(
        self, world: PoolWorld, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        searched: list[JobKey] = []

        def search(
            candidates: StartCandidates, job: Job, task: Task
        ) -> Endpoint | None:
            searched.append(task.key.job)
            return find_endpoint(candidates, job, task)

        monkeypatch.setattr(_assignment, 'find_endpoint', search)
        world.run_for(0.2)
        assert not searched
        world.run_for(1)
        # Four tasks fit; all searches of a job but the last succeed.
        assert 4 <= len(searched) <= 8

    # Pattern of the load: the dispatcher is late, so that all entries seem
    # silent and no job may start.  Guards against looks at all waiting jobs at
    # each event, which kept it late.
    def test_waiting_jobs_of_silent_entries(
        self, world: PoolWorld, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        looked_at: list[WaitingJob] = []
        original = _assignment.Assigner._may_start

        def may_start(
            assigner: _assignment.Assigner,
            waiting: WaitingJob,
            candidates: StartCandidates,
            now: float,
        ) -> bool:
            looked_at.append(waiting)
            return original(assigner, waiting, candidates, now)

        monkeypatch.setattr(_assignment.Assigner, '_may_start', may_start)
        # The pool has room once its tasks are lost.
        for endpoint in world.dispatcher.endpoints:
            endpoint.clear()
        late = world.now + 0.3
        world.dispatcher.tick(now=late)
        assert not looked_at
        world.dispatcher.record_entry_contact(ENTRY, late)
        world.dispatcher.tick(now=late)
        assert looked_at

    # Pattern of the load: some endpoints fail all that they start, and are on
    # probation with one run and room for more, while hundreds of jobs wait.
    # Guards against a search of all endpoints for each job at each event, which
    # kept the dispatcher of 270 endpoints late for as long as jobs came.
    def test_probed_endpoints_are_not_searched(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        world = PoolWorld(workers=12)
        for worker in tuple(world.workers.values())[::3]:
            worker.faults.fails = True
        _submit_mix(world, 300, gap=0.005)
        world.run_for(1.7)
        searches = Counter[bool]()

        def search(
            candidates: StartCandidates, job: Job, task: Task
        ) -> Endpoint | None:
            endpoint = find_endpoint(candidates, job, task)
            searches[endpoint is not None] += 1
            return endpoint

        assert sum(world.dispatcher.waiting.values()) > 100
        monkeypatch.setattr(_assignment, 'find_endpoint', search)
        world.run_for(3)
        # Searches fail only for tasks that failed on all endpoints with room.
        assert searches[True] > 100
        assert searches[False] < searches[True]

    def test_unchanged_jobs_are_not_summarized_again(
        self, world: PoolWorld, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        summarized: list[JobKey] = []
        original = Job._summarize

        def summarize(job: Job) -> object:
            summarized.append(job.submission.request.key)
            return original(job)

        monkeypatch.setattr(Job, '_summarize', summarize)
        world.run_for(0.2)
        assert not summarized


class TestOrder:
    """Waiting order when demand exceeds capacity."""

    def test_orders_are_registered(self) -> None:
        assert 'useful-first' in order_names()

    def test_narrow_jobs_overtake_a_wide_job(self) -> None:
        world = PoolWorld(workers=2)
        world.submit(JobPlan('wide', 40, 0.2))
        world.run_for(0.05)
        for number in range(3):
            world.submit(JobPlan(f'n{number}', 1, 0.05))
        world.run_for(5)
        assert all(world.took_ms(f'n{number}') < 600 for number in range(3))

    def test_wide_job_does_not_starve(self) -> None:
        world = PoolWorld(workers=2)
        world.submit(JobPlan('wide', 12, 0.2))
        _submit_mix(world, 30, gap=0.4)
        world.run_for(14)
        assert world.took_ms('wide') < 5000
