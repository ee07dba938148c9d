"""Tests of jobs that can't be useful to their callers any more."""

from dataclasses import dataclass

import msgspec
from bench.pool import JobPlan, PoolWorld

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.fleet import (
    Answered,
    DispatcherClient,
    Ended,
    Failure,
    LeaderBeat,
    MayHaveRun,
)
from cuminstack.fleet._messages import make_ended
from cuminstack.pool import (
    JobRequest,
    JobState,
    QueueTerms,
    Resources,
    Step,
    Submission,
    find_order,
)
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._usefulness import should_be_ended, should_be_refused

KEY = JobKey('job')
CONTROL = InstanceId('control')
OBJECTIVE = QueueTerms('queue', 'desk', stretch=1.6, slack=0.06)


@dataclass(frozen=True)
class _EarlierEnded:
    """Final answer of a job as earlier versions know it."""

    job: JobKey
    state: JobState


def _make_job(
    *, estimate: float = 0.2, terms: QueueTerms = OBJECTIVE, held: float = 0
) -> Job:
    """Return a job of three tasks whose caller waits for 30 s from time 0."""
    step = Step(3, Resources(6800, 64), estimate)
    submission = Submission(
        request=JobRequest(KEY, 'queue', '', (step,)),
        terms=terms,
        entry=InstanceId('entry'),
        arrived_at=0,
        deadline=30,
        held_until=held,
        is_resumed=held > 0,
    )
    table = JobTable(JobQueue(find_order('useful-first')), term=1)
    return table.create(submission)


def _finish_task(job: Job, *, ratio: float) -> None:
    """Have a task run that takes `ratio` times the expected time."""
    task = job.ready_tasks[0]
    job.begin(task, EndpointId('endpoint'))
    job.record_ratio(task.key, EndpointId('endpoint'), ratio)
    job.finish(task)


def _fill(world: PoolWorld) -> None:
    """Submit two jobs that fill the only endpoint for 3 s, and a third."""
    for number in range(3):
        world.submit(
            JobPlan(f'long{number}', 1, 3, declared=0.1, slack=9, patience=60)
        )


def _lose_runs(job: JobPlan) -> PoolWorld:
    """Return a pool whose only endpoint failed while it ran a job."""
    world = PoolWorld(workers=1)
    world.submit(job)
    world.run_for(0.1)
    world.workers['w0'].faults.dark = True
    _fill(world)
    world.run_for(2.5)
    return world


class TestRefusal:
    """Jobs that have not run."""

    # Pattern of the load: callers wait for many seconds, while an answer is
    # useless to them after one.  Guards against requests that are held until
    # their deadline.
    def test_useless_job_is_refused_while_waiting(self) -> None:
        world = PoolWorld(workers=1)
        _fill(world)
        world.submit(JobPlan('job', 2, 0.2, patience=30))
        world.run_for(1.2)
        assert world.results['job'].state is None

    # Guards against refusals in deployments whose queues have no objective,
    # or whose callers declare no run times.
    def test_without_objective_the_deadline_counts(self) -> None:
        plain = _make_job(terms=QueueTerms('queue', 'desk'))
        undeclared = _make_job(estimate=0)
        for job in (plain, undeclared):
            assert not should_be_refused(job, now=29)
            assert should_be_refused(job, now=29.9)


class TestEnd:
    """Jobs of which tasks may have run."""

    # Pattern of the load: an endpoint fails with the tasks of a job on it, and
    # many jobs wait for the capacity that is left.  Guards against requests
    # that are held until their deadline.
    def test_partly_run_job_is_ended(self) -> None:
        world = _lose_runs(JobPlan('job', 2, 0.2, patience=30))
        world.check()
        assert world.results['job'].state is JobState.useless

    # Guards against a second start of a job that has had its final answer.
    def test_ended_job_keeps_its_answer(self) -> None:
        job = JobPlan('job', 2, 0.2, patience=30)
        world = _lose_runs(job)
        world.results.pop('job')
        world.submit(job)
        assert world.results['job'].state is JobState.useless
        assert not world.dispatcher.has_active_job(KEY)

    # Guards against useless ends where nothing competes for the capacity, as
    # after the restart of the only endpoint.
    def test_lone_job_is_not_ended(self) -> None:
        world = PoolWorld(workers=1)
        world.submit(JobPlan('job', 2, 0.3))
        world.run_for(0.1)
        world.workers['w0'].crash(world.now)
        world.run_for(4)
        assert world.results['job'].state is JobState.completed

    # Pattern of the load: 3% of the jobs take seven times as long.  Guards
    # against the end of a job that runs as long as it has to.
    def test_long_job_is_not_ended_early(self) -> None:
        job = _make_job()
        _finish_task(job, ratio=7)
        assert not should_be_ended(job, now=2)
        assert should_be_ended(job, now=6)

    def test_running_job_is_not_ended(self) -> None:
        job = _make_job()
        _finish_task(job, ratio=1)
        assert should_be_ended(job, now=2)
        job.begin(job.ready_tasks[0], EndpointId('endpoint'))
        assert not should_be_ended(job, now=29)

    # Guards against the end of a job whose runs an earlier dispatcher started
    # and this one has not found yet.
    def test_job_that_may_run_elsewhere_is_not_ended(self) -> None:
        job = _make_job(held=3)
        assert not should_be_ended(job, now=2.9)
        assert should_be_ended(job, now=3)


class TestOrder:
    """Ranks of jobs with tasks that have started."""

    # Pattern of the load: shorter jobs arrive all the time.  Guards against
    # jobs that are ended as useless after most of their work was done.
    def test_started_job_comes_before_new_ones(self) -> None:
        order = find_order('useful-first')
        new, started = _make_job(estimate=0.1), _make_job()
        started.begin(started.ready_tasks[0], EndpointId('endpoint'))
        assert order(started, 0).key < order(new, 0).key

    # Guards against a late job that is held for its last task.
    def test_last_task_of_a_late_job_is_not_held(self) -> None:
        order = find_order('useful-first')
        late, new = _make_job(), _make_job(estimate=0.6)
        _finish_task(late, ratio=1)
        assert order(late, 0.3).key > order(new, 0.3).key
        _finish_task(late, ratio=1)
        assert order(late, 0.3).key < order(new, 0.3).key


class TestAnswer:
    """The answer of an entry to a job that was ended as useless."""

    def test_job_may_have_run(self) -> None:
        client = DispatcherClient(now=0)
        client.receive_leader_beat(CONTROL, LeaderBeat(1, 5, (), {}), now=0)
        request = JobRequest(KEY, 'queue', '', (Step(1, Resources(1000, 64)),))
        client.submit(request, OBJECTIVE, deadline=30, now=0)
        ended = make_ended(KEY, JobState.useless)
        effects = client.receive(CONTROL, ended, now=2)
        assert effects == (Answered(KEY, MayHaveRun(Failure.useless)),)

    # Guards against links that an entry of an earlier version closes because
    # of a state that it doesn't know.
    def test_earlier_versions_read_a_known_state(self) -> None:
        sent = msgspec.to_builtins(make_ended(KEY, JobState.useless))
        received = msgspec.convert(sent, _EarlierEnded)
        assert received.state is JobState.failed
        plain = make_ended(KEY, JobState.completed)
        assert plain == Ended(KEY, JobState.completed)
