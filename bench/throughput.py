"""Starts a second of one entry process, beside what aiohttp alone costs.

`python -m bench.throughput` keeps one daemon busy with small tasks and prints
starts a second of its processor time, the same for one bare hop of aiohttp
client and server, and the functions where the daemon's time goes.
"""

import argparse
import asyncio
import itertools
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from aiohttp import ClientSession, web

from bench._children import program
from bench._profile import describe_profile
from bench.caller import Caller, Submission
from bench.deployment import Deployment, DeploymentOptions
from bench.oracle import Oracle, OutcomeKind

#: Endpoints that answer at once; more than one process, so that they don't
#: hold the daemon back.
_ENDPOINTS: Final = 4

#: As many as an endpoint takes connections, so that none of them waits.
_SLOTS: Final = 64

_EXIT_SECONDS: Final = 30
_MICROSECONDS: Final = 1_000_000

_OVERLOADED: Final = 'overloaded'
_BACK_OFF_SECONDS: Final = 0.05

_HOP_BODY: Final = b'{"payload": {"run_ms": 0}, "start_within_ms": 2000}'
_HEAD: Final = (
    '| what | count | a second of a core | µs of a core | busy |\n'
    '|---|---|---|---|---|\n'
)


@dataclass(eq=False)
class NotComplete(Exception):
    """A job of the measurement got no answers."""

    key: str
    problem: str


@dataclass(frozen=True, slots=True)
class Cost:
    """What work cost one process.

    Args:
        count: Starts, or hops.
        wall: Seconds on the clock.
        processor: Seconds of processor time.
    """

    count: int
    wall: float
    processor: float

    @property
    def per_core(self) -> float:
        """Give the count a second of processor time."""
        return self.count / self.processor

    @property
    def microseconds(self) -> float:
        """Give the processor time of one, in microseconds."""
        return self.processor / self.count * _MICROSECONDS


async def measure_daemon(
    *,
    tasks: int,
    callers: int,
    seconds: float,
    policy: str,
    profile: Path | None,
) -> Cost:
    """Keep one daemon busy by callers that each wait for their outcome.

    Args:
        tasks: Tasks of a job.
        callers: Jobs in progress at once.
        seconds: How long jobs are submitted.
        policy: The dispatch policy.
        profile: File for a profile of the daemon, which slows it.
    """
    wrapper: tuple[str, ...] = ()
    if profile is not None:
        wrapper = (program('python'), '-m', 'cProfile', '-o', str(profile))
    options = DeploymentOptions(
        endpoints=_ENDPOINTS,
        slots=_SLOTS,
        settings={'dispatch': {'policy': policy}} if policy else {},
        wrapper=wrapper,
    )
    async with Deployment(options) as deployment:
        child = deployment.instances[0].child
        used, began = child.cpu_seconds, time.monotonic()
        end = began + seconds
        numbers = itertools.count()
        await asyncio.gather(
            *(_call(deployment, numbers, tasks, end) for _ in range(callers)),
        )
        cost = Cost(
            count=Oracle(deployment.start_logs()).starts,
            wall=time.monotonic() - began,
            processor=child.cpu_seconds - used,
        )
        child.terminate()
        await child.wait(seconds=_EXIT_SECONDS)
    return cost


async def measure_hop(*, seconds: float, callers: int) -> Cost:
    """Measure bare aiohttp: client and server in this one process.

    Each hop is one request and its response, so the cost covers both sides.
    """
    app = web.Application()
    app.router.add_post('/', _echo)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    port = runner.addresses[0][1]
    url = f'http://127.0.0.1:{port}/'
    used, began = time.process_time(), time.monotonic()
    async with ClientSession() as http:
        counts = await asyncio.gather(
            *(_hops(http, url, began + seconds) for _ in range(callers)),
        )
    cost = Cost(
        count=sum(counts),
        wall=time.monotonic() - began,
        processor=time.process_time() - used,
    )
    await runner.cleanup()
    return cost


async def _call(
    deployment: Deployment,
    numbers: 'itertools.count[int]',
    tasks: int,
    end: float,
) -> None:
    caller = Caller(deployment.http)
    url = deployment.instances[0].callers_url
    while time.monotonic() < end:
        key = f'small-{next(numbers)}'
        job = Submission(key=key, run_ms=(0,) * tasks)
        reply = await caller.submit(url, job)
        if reply.problem == _OVERLOADED:
            # The daemon sheds load; a caller would wait far longer.
            await asyncio.sleep(_BACK_OFF_SECONDS)
        elif reply.kind is not OutcomeKind.complete:
            raise NotComplete(job.key, reply.problem)


async def _hops(http: ClientSession, url: str, end: float) -> int:
    count = 0
    while time.monotonic() < end:
        async with http.post(url, data=_HOP_BODY) as response:
            await response.read()
        count += 1
    return count


async def _echo(request: web.Request) -> web.Response:
    return web.Response(body=await request.read())


async def _measure(given: argparse.Namespace) -> None:
    hop = await measure_hop(seconds=given.seconds, callers=given.callers)
    _print_row('aiohttp alone, a hop (both sides)', hop)
    for tasks in given.tasks:
        cost = await measure_daemon(  # noqa: WPS476
            tasks=tasks,
            callers=max(1, given.callers // tasks),
            seconds=given.seconds,
            policy=given.policy,
            profile=None,
        )
        _print_row(f'one daemon, a start, jobs of {tasks}', cost)


def _print_row(name: str, cost: Cost) -> None:
    busy = round(100 * cost.processor / cost.wall)
    cells = (
        name,
        str(cost.count),
        f'{cost.per_core:.0f}',
        f'{cost.microseconds:.0f}',
        f'{busy}%',
    )
    line = ' | '.join(cells)
    sys.stdout.write(f'| {line} |\n')
    sys.stdout.flush()


async def _profile(given: argparse.Namespace) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'daemon.prof'
        await measure_daemon(
            tasks=given.tasks[0],
            callers=max(1, given.callers // given.tasks[0]),
            seconds=given.seconds,
            policy=given.policy,
            profile=path,
        )
        sys.stdout.write(describe_profile(path))


def main(arguments: Sequence[str] | None = None) -> None:
    """Measure as the arguments say, and print the figures."""
    parser = argparse.ArgumentParser(prog='python -m bench.throughput')
    parser.add_argument('--tasks', type=_numbers, default='1,50')
    parser.add_argument('--callers', type=int, default=50)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--policy', default='')
    parser.add_argument('--profile', action='store_true')
    given = parser.parse_args(arguments)
    sys.stdout.write(_HEAD)
    asyncio.run(_measure(given))
    if given.profile:
        asyncio.run(_profile(given))


def _numbers(text: str) -> tuple[int, ...]:
    return tuple(map(int, text.split(',')))


if __name__ == '__main__':
    main()
