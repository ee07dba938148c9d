"""Tests of what a dispatcher learns from the run times of tasks."""

from collections import Counter
from functools import partial
from itertools import count, cycle

import pytest
from bench.pool import ENTRY, SERVICE, FakeWorker, JobPlan, PoolWorld

from cuminstack.core import EndpointId, JobKey
from cuminstack.pool import (
    Dispatcher,
    Effects,
    EndKind,
    EndpointView,
    Hold,
    JobEnded,
    JobRequest,
    JobState,
    QueueTerms,
    Resources,
    RunEnd,
    RunKey,
    RunProgress,
    Step,
    Submission,
    TaskKey,
    find_order,
)
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._health import MAX_SLOWDOWN
from cuminstack.pool._run_times import RunTimeEstimator
from cuminstack.pool._speeds import EndpointSpeeds
from fakes_pool import make_endpoint

_NOW = 1000.0


def _hold_of(effects: Effects) -> Hold:
    return next(effect for effect in effects if isinstance(effect, Hold))


class TestShortRuns:
    """Runs whose measured time is 0."""

    # A successor that claims a run and hears of its end at the same clock
    # reading divided by the run time of 0, and the rest of the batch of
    # answers was lost.
    def test_claimed_run_ends_at_once(self) -> None:
        dispatcher = Dispatcher(
            term=2, instance=2, order=find_order('useful-first')
        )
        step = Step(1, Resources(6800, 64), estimate=0.2)
        request = JobRequest(JobKey('a'), 'queue', 'payload', (step,))
        run = RunKey(TaskKey(request.key, 0, 0), 1)
        dispatcher.record_entry_contact(ENTRY, _NOW)
        hold = _hold_of(
            dispatcher.observe(make_endpoint('w0').report, now=_NOW)
        )
        listed = EndpointView(1, 1, (RunProgress(run, 90),), ())
        hold = _hold_of(
            dispatcher.hold_answered(hold, listed, asked_at=_NOW, now=_NOW)
        )
        submission = Submission(
            request=request,
            terms=QueueTerms('queue', SERVICE),
            entry=ENTRY,
            arrived_at=_NOW,
            deadline=_NOW + 5,
            held_until=_NOW + 1,
            is_resumed=True,
        )
        dispatcher.submit(submission, now=_NOW)
        ended = EndpointView(1, 2, (), (RunEnd(1, run, EndKind.done),))
        effects = dispatcher.hold_answered(hold, ended, asked_at=_NOW, now=_NOW)
        assert JobEnded(request.key, ENTRY, JobState.completed) in effects


_SPEEDS = (0.6, 1.0, 1.6)


def _submit_mix(
    world: PoolWorld, *, seconds: float, jobs_per_second: float, long: float = 0
) -> None:
    """Submit jobs of three queues whose declared run times are off.

    Args:
        world: The pool.
        seconds: Seconds for which jobs arrive.
        jobs_per_second: Mean number of jobs in a second.
        long: Share of the jobs that take seven times as long.
    """
    shapes = (
        (8, 0.055, 'urgent', 0.6),
        (2, 0.185, 'small', 1.0),
        (4, 0.83, 'long', 1.4),
    )
    weights = (34, 100, 6)
    at: float = 0
    for number in count():
        at += world.chance.expovariate(jobs_per_second)
        if at > seconds:
            return
        width, run_seconds, queue, off = world.chance.choices(shapes, weights)[
            0
        ]
        length = 7 if world.chance.random() < long else 1
        plan = JobPlan(
            f'job{number}',
            width,
            run_seconds * length,
            millicores=27_000,
            declared=run_seconds * off,
            patience=60,
            slack=20,
            queue=queue,
            spread=0.15,
        )
        world.after(at, partial(world.submit, plan))


def _make_world(
    speeds: tuple[float, ...], *, workers: int = 24, seed: int = 1
) -> PoolWorld:
    """Return a pool of endpoints whose speeds take turns."""
    world = PoolWorld(workers=workers, millicores=64_000, seed=seed)
    for worker, speed in zip(world.workers.values(), cycle(speeds)):
        worker.slowness = speed
    return world


def _count_moves(world: PoolWorld) -> int:
    return sum(span.kind is EndKind.stopped for span in world.spans)


def _count_ends(worker: FakeWorker, begun: float) -> int:
    """Count the runs that have begun since a time and ended."""
    return sum(bool(span.ended) and span.begun > begun for span in worker.spans)


def _find_endpoint(world: PoolWorld, name: str) -> Endpoint:
    return next(
        endpoint
        for endpoint in world.dispatcher.endpoints
        if endpoint.report.endpoint == name
    )


def _slownesses(world: PoolWorld) -> set[float]:
    speeds = world.dispatcher.speeds
    return {speeds.slowness(EndpointId(name)) for name in world.workers}


class TestDifferentSpeeds:
    """Endpoints with the speeds 0.6, 1 and 1.6."""

    # Pattern of the load: 3% of the jobs take seven times as long, and each
    # queue's declared run times are off.  The rule that compares runs with
    # siblings at other speeds moved one of 33 to 60 runs, and quarantined the
    # endpoint each time.
    @pytest.mark.parametrize('seed', range(1, 4))
    def test_healthy_runs_are_not_moved(self, seed: int) -> None:
        world = _make_world(_SPEEDS, seed=seed)
        _submit_mix(world, seconds=10, jobs_per_second=50, long=0.03)
        world.run_for(10)
        assert len(world.spans) > 1000
        assert _count_moves(world) * 300 < len(world.spans)
        for worker in world.workers.values():
            slowness = world.dispatcher.speeds.slowness(EndpointId(worker.name))
            assert slowness == pytest.approx(worker.slowness, rel=0.2)

    # Guards against speeds that hide a fault: without speeds, an endpoint that
    # becomes eight times as slow is quarantined, or counts as slow, before
    # three of the runs have ended that begin there.
    @pytest.mark.parametrize('speeds', [_SPEEDS, (1.0,)])
    @pytest.mark.parametrize('name', ['w3', 'w4', 'w5'])
    @pytest.mark.parametrize('seed', range(1, 4))
    def test_fault_is_found(
        self, speeds: tuple[float, ...], name: str, seed: int
    ) -> None:
        world = _make_world(speeds, seed=seed)
        _submit_mix(world, seconds=8, jobs_per_second=50)
        world.run_for(4)
        begun = world.now
        worker = world.workers[name]
        worker.faults.slow = 8
        health = _find_endpoint(world, name).health
        is_found = False
        while not is_found:
            world.run_for(0.01)
            assert world.now < begun + 4
            assert _count_ends(worker, begun) < 3
            is_slow = health.slowdown > MAX_SLOWDOWN
            is_found = is_slow or health.is_quarantined(now=world.now)

    # Guards against an endpoint that stays slow and is quarantined for ever:
    # the rule without speeds moved 14 and 13 runs.
    @pytest.mark.parametrize('seed', range(1, 3))
    def test_lasting_change_is_learned(self, seed: int) -> None:
        world = _make_world(_SPEEDS, seed=seed)
        _submit_mix(world, seconds=24, jobs_per_second=60)
        world.run_for(4)
        worker = world.workers['w4']
        worker.faults.slow = 3
        world.run_for(20)
        kinds = Counter(span.kind for span in worker.spans)
        assert kinds[EndKind.stopped] < 7
        slowness = world.dispatcher.speeds.slowness(EndpointId('w4'))
        assert slowness == pytest.approx(3, rel=0.2)


class TestLikeEndpoints:
    """Endpoints that are all alike count as 1.0."""

    @pytest.mark.parametrize('long', [0, 0.03])
    def test_noise_is_not_speed(self, long: float) -> None:
        world = _make_world((1.0,))
        _submit_mix(world, seconds=10, jobs_per_second=50, long=long)
        for _ in range(10):
            world.run_for(1)
            assert _slownesses(world) == {1.0}

    # Guards against a long job that makes its endpoints slow, and all others
    # fast, whether its tasks are on several endpoints or on one.
    @pytest.mark.parametrize('millicores', [27_000, 6800])
    def test_long_job(self, millicores: int) -> None:
        world = _make_world((1.0,))
        _submit_mix(world, seconds=6, jobs_per_second=50)
        world.run_for(3)
        for number in range(3):
            plan = JobPlan(
                f'long{number}',
                8,
                0.385,
                millicores=millicores,
                declared=0.033,
                queue='urgent',
            )
            world.submit(plan)
        for _ in range(30):
            world.run_for(0.1)
            assert _slownesses(world) == {1.0}


class TestClaimedRuns:
    """Runs that another dispatcher started."""

    # A claimed run was measured from its claim, so that it seemed five times as
    # fast as its siblings, and a healthy one was stopped as lagging.
    def test_siblings_are_not_moved(self) -> None:
        world = PoolWorld(workers=4)
        world.submit(JobPlan('a', 9, 0.5))
        world.run_for(0.4)
        world.lead(term=2)
        world.submit(world.plans[JobKey('a')], held=1)
        world.run_for(2)
        world.check()
        assert world.results['a'].state is JobState.completed
        assert len(world.spans) == 9


class _Speeds:
    """Speeds of fast and slow endpoints in racks of two, half of each kind."""

    def __init__(self) -> None:
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.speeds = EndpointSpeeds(self.endpoints)
        for number in range(20):
            label, seconds = (('a', 0.1), ('b', 0.2))[number % 2]
            rack = number // 2
            endpoint = self.add(f'w{number}', label, f'r{rack}')
            for _ in range(20):
                self.speeds.record(endpoint, 0.14, seconds, now=_NOW)

    def add(self, name: str, *labels: str) -> Endpoint:
        endpoint = make_endpoint(name, *labels)
        self.endpoints[endpoint.report.endpoint] = endpoint
        return endpoint

    def slowness(self, name: str) -> float:
        return self.speeds.slowness(EndpointId(name))

    def uncertainty(self, name: str) -> float:
        return self.speeds.uncertainty(EndpointId(name))


class TestKinds:
    """What an endpoint is expected to be like before it has run anything."""

    def test_new_endpoint_is_like_its_kind(self) -> None:
        known = _Speeds()
        known.add('new', 'r0', 'b')
        assert known.slowness('new') == pytest.approx(2**0.5, rel=0.05)
        assert known.uncertainty('new') * 5 < 1

    def test_new_kind_is_unknown(self) -> None:
        known = _Speeds()
        known.add('new', 'c')
        assert known.slowness('new') == pytest.approx(1)
        assert known.uncertainty('new') * 3 > 1

    # A restarted endpoint may be on another machine of its kind.
    def test_new_lifetime_keeps_the_kind_only(self) -> None:
        known = _Speeds()
        odd = known.add('odd', 'a')
        for _ in range(60):
            known.speeds.record(odd, 0.14, 0.6, now=_NOW)
        assert known.slowness('odd') > 3
        odd.begin_lifetime(2, now=_NOW)
        assert known.slowness('odd') < 2

    def test_removed_endpoints_are_forgotten(self) -> None:
        known = _Speeds()
        for number in range(0, 20, 2):
            known.speeds.forget(EndpointId(f'w{number}'))
        assert known.slowness('w1') == pytest.approx(1)


class TestRunTimes:
    """The factor of a queue's declared run times."""

    # A long job of eight tasks tripled what was expected of its queue.
    def test_long_job(self) -> None:
        run_times = RunTimeEstimator()
        run_times.learn('queue', 0.1, 0.1)
        for index in range(8):
            run_times.learn('queue', 0.1, 0.7, is_first=not index)
        assert run_times.expect('queue', 0.1) * 9 < 1

    # A bound on samples must not hide that a queue has changed, or that its
    # declared run times are wrong by more than the bound.
    @pytest.mark.parametrize('before', [0, 100])
    def test_wrong_declarations_are_learned(self, before: int) -> None:
        run_times = RunTimeEstimator()
        for _ in range(before):
            run_times.learn('queue', 0.1, 0.1)
        for _ in range(80):
            run_times.learn('queue', 0.1, 0.7)
        assert run_times.expect('queue', 0.1) == pytest.approx(0.7, rel=0.05)
