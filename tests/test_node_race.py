"""Concurrent submissions of one job while some instances are paused."""

import pytest

from cuminstack.core import InstanceId, JobId, JobKey
from cuminstack.jobs import Complete, Outcome
from fakes_deployment import SERVICE, TICK, TIMING, Deployment

JOB = JobId(SERVICE.member, JobKey('race'))

#: Time in which one instance takes the claim and the others forward the job.
CLAIM_SECONDS = 0.1

#: Pause of an observer, in seconds, shorter than the suspect time-out.
OBSERVER_PAUSE = TIMING.suspect_timeout - TICK - 0.01


def submit_everywhere(
    deployment: Deployment,
    *,
    idempotent: bool,
) -> InstanceId:
    """Submit the job at all instances, and return its holder."""
    deployment.put_sheet()
    for instance in deployment.processes:
        deployment.submit(JOB.key, instance, idempotent=idempotent)
    deployment.run(CLAIM_SECONDS)
    holders = [
        name
        for name, member in deployment.processes.items()
        if member.node.jobs.find(JOB) is not None
    ]
    assert len(holders) == 1
    return holders[0]


def outcomes_for_callers(deployment: Deployment) -> list[Outcome]:
    """Return the outcomes that the callers of the job received."""
    return [outcome for job, outcome in deployment.ended if job == JOB]


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('seed', range(12))
class TestPausedHolder:
    """The holder is paused for less than the gone time-out.

    The pause is shorter by two heartbeat intervals: one for the age of the
    holder's last heartbeat, and one that an observer may count of a pause of
    its own.
    """

    # An observer that resumed counted its own pause as silence of the holder,
    # before it read the waiting messages that showed that the holder was
    # alive.  Its caller got `failed` while the others got the answers.
    def test_observer_ticks_before_it_reads(
        self,
        seed: int,
        *,
        idempotent: bool,
    ) -> None:
        deployment = Deployment(seed, failure_rate=0)
        holder = submit_everywhere(deployment, idempotent=idempotent)
        observer = next(name for name in deployment.processes if name != holder)
        deployment.pause(holder)
        deployment.run(TIMING.gone_timeout - 2 * TIMING.interval - TICK)
        deployment.pause(observer)
        deployment.run(TICK)
        deployment.resume(holder)
        deployment.run(OBSERVER_PAUSE - TICK)
        deployment.wake(observer)
        deployment.run(10)
        outcomes = outcomes_for_callers(deployment)
        assert len(outcomes) == 3
        assert all(isinstance(each, Complete) for each in outcomes), outcomes
        assert set(deployment.starts.values()) == {1}
