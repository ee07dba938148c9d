"""A deployment under test, with the oracle that every test ends by."""

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

#: Longest wait for anything, in seconds.
PATIENCE = 20

#: Time-outs short enough for tests.
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


class Scene:
    """A running deployment, and all that callers were told."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.http = deployment.http
        self.caller = Caller(deployment.http)
        self.told: list[Told] = []

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
        """Submit a job and note what the caller was told."""
        async with asyncio.timeout(PATIENCE):
            reply = await self.caller.submit(self.url(instance), job)
        self.told.append(job.told(reply))
        return reply

    def submit_soon(
        self,
        job: Submission,
        instance: int = 0,
    ) -> asyncio.Task[Reply]:
        return asyncio.create_task(self.submit(job, instance))

    async def settled(self, job: Submission, instance: int = 0) -> Reply:
        async with asyncio.timeout(PATIENCE):
            reply = await self.caller.settled(self.url(instance), job)
        self.told.append(job.told(reply))
        return reply

    def starts(self, job: Submission) -> int:
        return self.oracle().starts_of(job.member, job.key)

    async def started(self, job: Submission, count: int) -> None:
        """Wait until so many tasks of a job have started."""
        await eventually(lambda: self.starts(job) >= count)

    async def known_endpoints(self, count: int) -> None:
        """Wait until every running instance knows so many endpoints."""

        async def known() -> bool:
            running = [one for one in self.instances if one.child.running]
            lists = await asyncio.gather(
                *(one.knows(self.http) for one in running),
            )
            return all(len(names) == count for names in lists)

        await until(known, seconds=PATIENCE)


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until something that can be looked up holds."""

    async def holds() -> bool:
        return condition()

    await until(holds, seconds=PATIENCE)


@asynccontextmanager
async def scene(
    *,
    zones: int = 1,
    instances: int = 1,
    settings: Mapping[str, Mapping[str, str]] | None = None,
    **options: Any,
) -> AsyncIterator[Scene]:
    """Run a deployment, and check every promise at the end."""
    chosen = DeploymentOptions(
        zones=('telavi', 'gurjaani', 'sighnaghi')[:zones],
        instances=instances,
        settings={**SETTINGS, **(settings or {})},
        linger_ms=options.pop('linger_ms', 1000),
        **options,
    )
    async with Deployment(chosen) as deployment:
        act = Scene(deployment)
        yield act
        broken = act.oracle().check(act.told)
        assert not broken, '\n'.join(map(str, broken))


def kinds(replies: list[Reply]) -> set[OutcomeKind]:
    """Give the kinds of outcome that occur."""
    return {reply.kind for reply in replies}
