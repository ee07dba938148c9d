"""Sends a workload to a deployment, open loop, and collects what came back."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bench._counters import Counters, fetch_counters
from bench._stand_in import MILLISECONDS
from bench.arrivals import Job
from bench.caller import Caller, Submission
from bench.deployment import Deployment
from bench.oracle import Oracle, OutcomeKind, Told, Violation


@dataclass(frozen=True, slots=True)
class Sample:
    """One job of a run.

    Args:
        job: As it was drawn.
        told: What its caller was told.
        response: From its planned arrival to its outcome, in seconds.
        lag: How late the generator sent it, in seconds.
        problem: Status and type of the problem that it got instead of
            answers; empty if none.
    """

    job: Job
    told: Told
    response: float
    lag: float
    problem: str = ''

    @property
    def ratio(self) -> float:
        """Give its response time against the ideal."""
        return self.response / self.job.ideal

    @property
    def complete(self) -> bool:
        """Tell whether it was answered whole."""
        return self.told.kind is OutcomeKind.complete and self.told.whole


@dataclass(frozen=True, slots=True)
class Run:
    """Everything that was seen of one workload.

    Args:
        samples: Of each job, in the order of arrival.
        counters: What the daemons counted meanwhile.
        violations: Broken promises.
    """

    samples: tuple[Sample, ...]
    counters: Counters
    violations: tuple[Violation, ...]


Choice = Callable[[], str]


async def run_jobs(
    deployment: Deployment,
    jobs: Sequence[Job],
    *,
    seed: int,
) -> Run:
    """Send each job at its time to an entry at random, as a balancer does.

    Args:
        deployment: Where to.
        jobs: What to send.
        seed: Seed of the choice of entries.
    """
    chance = random.Random(seed)
    before = await _counters(deployment)
    start = asyncio.get_running_loop().time()
    caller = Caller(deployment.http)

    def entry() -> str:  # noqa: WPS430
        return chance.choice(deployment.caller_urls)

    async with asyncio.TaskGroup() as group:
        sending = [
            group.create_task(_send(caller, job, start, entry)) for job in jobs
        ]
    samples = tuple(task.result() for task in sending)
    after = await _counters(deployment)
    oracle = Oracle(deployment.start_logs())
    violations = oracle.check([sample.told for sample in samples])
    return Run(samples, after - before, violations)


async def _send(
    caller: Caller,
    job: Job,
    start: float,
    choose: Choice,
) -> Sample:
    clock = asyncio.get_running_loop().time
    planned = start + job.arrival
    await asyncio.sleep(planned - clock())
    lag = clock() - planned
    submission = _submission(job)
    reply = await caller.submit(choose(), submission)
    response = clock() - planned
    problem = f'{reply.status} {reply.problem}' if reply.failed else ''
    return Sample(job, submission.told(reply), response, lag, problem)


def _submission(job: Job) -> Submission:
    return Submission(
        member=job.stream.member,
        service=job.stream.service,
        key=job.key,
        run_ms=tuple(run_time * MILLISECONDS for run_time in job.run_times),
    )


async def _counters(deployment: Deployment) -> Counters:
    urls = [
        entry.endpoints_url
        for entry in deployment.instances
        if entry.child.running
    ]
    return await fetch_counters(deployment.http, urls)
