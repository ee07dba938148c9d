"""A deployment under test, checked by an oracle at the end of each test."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any

from bench._polling import until
from bench.caller import Caller, Reply, Submission
from bench.deployment import (
    DeployedEndpoint,
    DeployedInstance,
    Deployment,
    DeploymentOptions,
)
from bench.oracle import Oracle, OutcomeKind, Told

#: Timeout of every wait, in seconds.
TIMEOUT_SECONDS = 20

#: Settings with timeouts short enough for tests.
SETTINGS: Mapping[str, Mapping[str, str]] = MappingProxyType(
    {
        'timeouts': {
            'heartbeat_ms': '100',
            'suspect_ms': '500',
            'gone_ms': '1500',
            'announce_ms': '200',
            'endpoint_lease_ms': '1000',
            'silent_factor': '2',
            'silent_floor_ms': '1000',
        },
    },
)


class DeploymentHarness:
    """A running deployment, with a record of all replies to callers."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.http = deployment.http
        self.caller = Caller(deployment.http)
        self.observations: list[Told] = []

    @property
    def instances(self) -> list[DeployedInstance]:
        return self.deployment.instances

    @property
    def endpoints(self) -> list[DeployedEndpoint]:
        return self.deployment.endpoints

    def oracle(self) -> Oracle:
        return Oracle(self.deployment.start_logs())

    def url(self, instance: int) -> str:
        return self.instances[instance].callers_url

    async def submit(self, job: Submission, instance: int = 0) -> Reply:
        """Submit a job and record the reply to the caller."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            reply = await self.caller.submit(self.url(instance), job)
        self.observations.append(job.told(reply))
        return reply

    def submit_soon(
        self,
        job: Submission,
        instance: int = 0,
    ) -> asyncio.Task[Reply]:
        return asyncio.create_task(self.submit(job, instance))

    async def wait_settled(self, job: Submission, instance: int = 0) -> Reply:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            reply = await self.caller.settled(self.url(instance), job)
        self.observations.append(job.told(reply))
        return reply

    def count_starts(self, job: Submission) -> int:
        return self.oracle().starts_of(job.member, job.key)

    async def wait_started(self, job: Submission, count: int) -> None:
        """Wait until at least `count` tasks of a job have started."""
        await wait_until(lambda: self.count_starts(job) >= count)

    async def wait_endpoints_known(self, count: int) -> None:
        """Wait until every running instance knows `count` endpoints."""

        async def known() -> bool:
            running = [
                instance
                for instance in self.instances
                if instance.child.running
            ]
            lists = await asyncio.gather(
                *(instance.knows(self.http) for instance in running),
            )
            return all(len(names) == count for names in lists)

        await until(known, seconds=TIMEOUT_SECONDS)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition until it holds."""

    async def holds() -> bool:
        return condition()

    await until(holds, seconds=TIMEOUT_SECONDS)


@asynccontextmanager
async def run_deployment(
    *,
    zones: int = 1,
    instances: int = 1,
    settings: Mapping[str, Mapping[str, str]] | None = None,
    **options: Any,
) -> AsyncIterator[DeploymentHarness]:
    """Run a deployment, and check all guarantees at the end."""
    deployment_options = DeploymentOptions(
        zones=('telavi', 'gurjaani', 'sighnaghi')[:zones],
        instances=instances,
        settings={**SETTINGS, **(settings or {})},
        linger_ms=options.pop('linger_ms', 1000),
        **options,
    )
    async with Deployment(deployment_options) as deployment:
        harness = DeploymentHarness(deployment)
        yield harness
        violations = harness.oracle().check(harness.observations)
        assert not violations, '\n'.join(map(str, violations))


def outcome_kinds(replies: list[Reply]) -> set[OutcomeKind]:
    """Return the set of outcome kinds that occur in some replies."""
    return {reply.kind for reply in replies}
