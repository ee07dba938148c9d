"""Whole nodes that get one submission at once, while some are paused."""

import pytest

from cuminstack.core import InstanceId, JobId, JobKey
from cuminstack.jobs import Complete, Outcome
from fakes_deployment import SERVICE, TICK, TIMING, Deployment

JOB = JobId(SERVICE.member, JobKey('race'))

#: Time in which a claim is taken and the others forward, in seconds.
SETTLED = 0.1

#: Of an observer, so short that its silence is no more than the eager one.
SHORT_PAUSE = TIMING.eager - TICK - 0.01


def race(deployment: Deployment, *, idempotent: bool) -> InstanceId:
    """Submit one job at all instances; give the one that holds it."""
    deployment.put_sheet()
    for instance in deployment.processes:
        deployment.submit(JOB.key, instance, idempotent=idempotent)
    deployment.run(SETTLED)
    holders = [
        name
        for name, member in deployment.processes.items()
        if member.node.book.find(JOB) is not None
    ]
    assert len(holders) == 1
    return holders[0]


def told(deployment: Deployment) -> list[Outcome]:
    """Give what the callers of the job were told."""
    return [outcome for job, outcome in deployment.ended if job == JOB]


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('seed', range(12))
class TestPausedHolder:
    """The holder sleeps for less than the patient time-out.

    It is less by two intervals: one for the age of its last heartbeat, one
    that an observer may count of a pause of its own.
    """

    # A caller was told `failed` by an instance that woke, and counted its own
    # pause before it read that the holder lives; the others got the answers.
    def test_observer_wakes_before_it_reads(
        self,
        seed: int,
        *,
        idempotent: bool,
    ) -> None:
        deployment = Deployment(seed, failure_rate=0)
        holder = race(deployment, idempotent=idempotent)
        observer = next(name for name in deployment.processes if name != holder)
        deployment.pause(holder)
        deployment.run(TIMING.patient - 2 * TIMING.interval - TICK)
        deployment.pause(observer)
        deployment.run(TICK)
        deployment.resume(holder)
        deployment.run(SHORT_PAUSE - TICK)
        deployment.wake(observer)
        deployment.run(10)
        outcomes = told(deployment)
        assert len(outcomes) == 3
        assert all(isinstance(each, Complete) for each in outcomes), outcomes
        assert set(deployment.starts.values()) == {1}
