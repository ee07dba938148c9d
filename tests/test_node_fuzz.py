"""Invariants of complete nodes under random faults."""

import random

import pytest

from cuminstack.core import InstanceId, JobId, JobKey
from cuminstack.jobs import Complete, Failed, Outcome, Refused
from fakes_deployment import SERVICE, Deployment

SEEDS = range(12)
STEPS = 60
TASKS = 3
ANSWERS = (b'"0"', b'"1"', b'"2"')


class FaultInjector:
    """Performs random submissions and faults on a deployment, from a seed."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._jobs = 0
        self.idempotent: dict[JobId, bool] = {}

    def step(self) -> None:
        """Perform one random action, then run for 0.01 to 0.8 seconds."""
        action = self._random.choice(
            (
                self._submit,
                self._submit,
                self._submit,
                self._resend,
                self._resend,
                self._kill_or_restart,
                self._pause_or_resume,
                self._toggle_partition,
                self._set_message_loss,
                self._toggle_endpoint,
                self._cancel,
            ),
        )
        action()
        self._deployment.run(self._random.uniform(0.01, 0.8))

    def recover_all(self) -> None:
        """End all faults."""
        self._deployment.cuts.clear()
        self._deployment.loss = 0
        for endpoint in self._deployment.endpoints:
            endpoint.alive = True
        for name, member in self._deployment.processes.items():
            self._deployment.resume(name)
            if not member.up:
                self._deployment.restart(name)

    def _submit(self) -> None:
        self._jobs += 1
        key = f'job-{self._jobs}'
        idempotent = self._random.choice((True, False))
        job = JobId(SERVICE.member, JobKey(key))
        self.idempotent[job] = idempotent
        self._deployment.submit(key, self._instance(), idempotent=idempotent)

    def _resend(self) -> None:
        if not self.idempotent:
            return
        job = self._random.choice(list(self.idempotent))
        self._deployment.submit(
            job.key,
            self._instance(),
            idempotent=self.idempotent[job],
        )

    def _kill_or_restart(self) -> None:
        name = self._instance()
        if self._deployment.processes[name].up:
            self._deployment.kill(name)
        else:
            self._deployment.restart(name)

    def _pause_or_resume(self) -> None:
        name = self._instance()
        if self._deployment.processes[name].paused:
            self._deployment.resume(name)
        else:
            self._deployment.pause(name)

    def _toggle_partition(self) -> None:
        first, second = self._random.sample(list(self._deployment.processes), 2)
        self._deployment.cuts ^= {frozenset((first, second))}

    def _toggle_endpoint(self) -> None:
        endpoint = self._random.choice(self._deployment.endpoints)
        endpoint.alive = not endpoint.alive

    def _cancel(self) -> None:
        if self.idempotent:
            job = self._random.choice(list(self.idempotent))
            self._deployment.cancel(job.key, self._instance())

    def _set_message_loss(self) -> None:
        self._deployment.loss = self._random.choice((0, 0, 0.05, 0.3))

    def _instance(self) -> InstanceId:
        return self._random.choice(list(self._deployment.processes))


def outcomes_of(deployment: Deployment, job: JobId) -> list[Outcome]:
    return [outcome for ended, outcome in deployment.ended if ended == job]


def check_outcomes(
    deployment: Deployment,
    job: JobId,
    *,
    idempotent: bool,
) -> None:
    """Check the outcomes of a job against the starts at its endpoints.

    A task starts at most once if the job is not idempotent or was submitted
    only once.  In the latter case no task of a refused job starts.  Every task
    of a complete job has started, and the answers are correct.
    """
    starts = [deployment.starts[job, index] for index in range(TASKS)]
    outcomes = outcomes_of(deployment, job)
    if not idempotent:
        assert max(starts) <= 1, (job, starts)
    if deployment.submissions[job] == 1:
        assert max(starts) <= 1, (job, starts)
        if any(isinstance(each, Refused) for each in outcomes):
            assert max(starts) == 0, (job, outcomes)
    for outcome in outcomes:
        if isinstance(outcome, Complete):
            assert outcome.answers == ANSWERS
            assert min(starts) >= 1, (job, starts)


@pytest.mark.parametrize('seed', SEEDS)
class TestFaults:
    """Kills, pauses, partitions, message loss and resends in random order."""

    def test_outcomes_match_starts(self, seed: int) -> None:
        deployment = Deployment(seed)
        deployment.put_sheet()
        faults = FaultInjector(deployment, seed)
        for _ in range(STEPS):
            faults.step()
        faults.recover_all()
        deployment.run(30)
        for job, idempotent in faults.idempotent.items():
            check_outcomes(deployment, job, idempotent=idempotent)

    def test_jobs_end_after_faults_stop(self, seed: int) -> None:
        deployment = Deployment(seed)
        deployment.put_sheet()
        faults = FaultInjector(deployment, seed)
        for _ in range(STEPS // 2):
            faults.step()
        faults.recover_all()
        deployment.run(70)
        for name in deployment.processes:
            key = f'after-{name}'
            deployment.submit(key, name, idempotent=False)
            deployment.run(10)
            job = JobId(SERVICE.member, JobKey(key))
            outcomes = outcomes_of(deployment, job)
            assert len(outcomes) == 1
            assert isinstance(outcomes[0], (Complete, Failed))
