"""Slopes of the whole daemon: per task, per endpoint, per instance."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Final

from bench._deployed import DeployedInstance
from bench._slope import Slope, measure
from bench.caller import Caller, Submission
from bench.deployment import Deployment, DeploymentOptions
from bench.oracle import OutcomeKind

_TASKS: Final = (1, 10, 50)
#: Tasks of one measurement, so that each job size runs about as long.
_TASKS_IN_ALL: Final = 3000
_CALLERS: Final = 2
#: Pause after a refusal, in seconds.
_AGAIN_SECONDS: Final = 0.2
_RUN_MS: Final = 5.0
_ENDPOINTS: Final = (8, 32, 64)
_INSTANCES: Final = (1, 2, 3)
_ZONES: Final = ('telavi', 'gurjaani', 'sighnaghi')
_SETTLE_SECONDS: Final = 2.0
_REST_SECONDS: Final = 4.0
_MICROSECONDS: Final = 1_000_000
_PERCENT: Final = 100
_MEBIBYTE: Final = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Rest:
    """One daemon without any job, averaged over the deployment.

    Args:
        percent: Processor time, in percent of a core.
        memory_mb: Resident memory, in mebibytes.
        sent: Bytes of the peer frames that it sent in a second.
    """

    percent: float
    memory_mb: float
    sent: float


class JobFailed(Exception):
    """A job of a measurement was not answered whole."""


@measure('task')
def task_slopes() -> tuple[Slope, ...]:
    """Measure the processor time of jobs of several sizes."""
    return asyncio.run(_task_slopes())


@measure('rest')
def rest_slopes() -> tuple[Slope, ...]:
    """Measure daemons at rest, by instances and by endpoints."""
    return asyncio.run(_rest_slopes())


async def _task_slopes() -> tuple[Slope, ...]:
    options = DeploymentOptions(endpoints=4, endpoint_processes=2, slots=64)
    async with Deployment(options) as deployment:
        await _job_cost(deployment, _TASKS[-1])
        points = [
            (tasks, await _job_cost(deployment, tasks)) for tasks in _TASKS
        ]
    return (Slope('a job, whole daemon', 'task', 'us', tuple(points)),)


async def _job_cost(deployment: Deployment, tasks: int) -> float:
    """Give the microseconds of one job in a daemon's process."""
    jobs = _TASKS_IN_ALL // tasks
    left = iter(range(jobs))
    caller = Caller(deployment.http)
    daemon = deployment.instances[0]
    job = Submission(run_ms=(_RUN_MS,) * tasks)

    async def submit_some() -> None:  # noqa: WPS430
        for _ in left:
            await _complete(caller, daemon.callers_url, job)

    began = daemon.child.cpu_seconds
    await asyncio.gather(*(submit_some() for _ in range(_CALLERS)))
    return (daemon.child.cpu_seconds - began) / jobs * _MICROSECONDS


async def _complete(caller: Caller, url: str, job: Submission) -> None:
    """Submit a job, again if the instance sheds load, until it is answered."""
    reply = await caller.submit(url, job)
    while reply.kind is OutcomeKind.refused:
        await asyncio.sleep(_AGAIN_SECONDS)
        reply = await caller.submit(url, job)
    if reply.kind is not OutcomeKind.complete:
        raise JobFailed(reply.problem)


async def _rest_slopes() -> tuple[Slope, ...]:
    by_instances = [
        DeploymentOptions(zones=_ZONES, instances=each, endpoints=0)
        for each in _INSTANCES
    ]
    by_endpoints = [
        DeploymentOptions(endpoints=count, endpoint_processes=1)
        for count in _ENDPOINTS
    ]
    return (
        *await _lines('instance', by_instances, _instance_count),
        *await _lines('endpoint', by_endpoints, _endpoint_count),
    )


def _instance_count(options: DeploymentOptions) -> int:
    return len(options.zones) * options.instances


def _endpoint_count(options: DeploymentOptions) -> int:
    return len(options.zones) * options.endpoints


async def _lines(
    per: str,
    options: Sequence[DeploymentOptions],
    count: Callable[[DeploymentOptions], int],
) -> tuple[Slope, ...]:
    found = [(count(each), await _at_rest(each)) for each in options]
    percents = tuple((size, rest.percent) for size, rest in found)
    memory = tuple((size, rest.memory_mb) for size, rest in found)
    sent = tuple((size, rest.sent) for size, rest in found)
    return (
        Slope('daemon at rest', per, '% core', percents),
        Slope('daemon at rest', per, 'MB', memory),
        Slope('daemon at rest, peer frames', per, 'B/s', sent),
    )


async def _at_rest(options: DeploymentOptions) -> Rest:
    async with Deployment(options) as deployment:
        await asyncio.sleep(_SETTLE_SECONDS)
        used = await _spent(deployment, _processor_seconds)
        sent = await _spent(deployment, _sent_by(deployment))
        memory = [one.child.memory_mb for one in deployment.instances]
    share = _REST_SECONDS * len(memory)
    return Rest(
        used / share * _PERCENT, sum(memory) / len(memory), sent / share
    )


_Gauge = Callable[[DeployedInstance], Awaitable[float]]


async def _spent(deployment: Deployment, gauge: _Gauge) -> float:
    """Give how much a sum over all instances grows while nothing happens."""
    before = [await gauge(one) for one in deployment.instances]
    await asyncio.sleep(_REST_SECONDS)
    after = [await gauge(one) for one in deployment.instances]
    return sum(after) - sum(before)


async def _processor_seconds(instance: DeployedInstance) -> float:
    return instance.child.cpu_seconds


def _sent_by(deployment: Deployment) -> _Gauge:
    async def sent(instance: DeployedInstance) -> float:  # noqa: WPS430
        url = f'{instance.endpoints_url}/v1/histograms'
        async with deployment.http.get(url) as response:
            body = await response.json()
        sizes: list[int] = [
            entry['size']
            for entry in body['messages']
            if entry['direction'] == 'sent'
        ]
        return sum(sizes)

    return sent
