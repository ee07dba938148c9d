"""Open-loop load on a deployment of its own, beside the central queue.

`python -m bench.load --zones 3 --instances 3 --endpoints 2 --tasks 1,50
--load 0.7 --seconds 20 --seeds 1,2 --json figures.json` prints a table;
the exit code is 1 if a promise was broken.
"""

import argparse
import asyncio
import itertools
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Final

from bench._report import Figures, as_json, figures, table
from bench._run import run_jobs
from bench.arrivals import Stream, generate
from bench.deployment import Deployment, DeploymentOptions

_SERVICES: Final = MappingProxyType(
    {'tkemali': 'order-desk', 'haslinger': 'bestell-dienst'},
)
_ZONES: Final = ('telavi', 'gurjaani', 'sighnaghi')


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadOptions:
    """What to measure.

    Args:
        deployment: What to start.
        loads: Load of each member, as a share of all slots.
        tasks: Job sizes; a run for each.
        seconds: How long jobs arrive in each run.
        seeds: A run for each.
    """

    deployment: DeploymentOptions
    loads: tuple[tuple[str, float], ...]
    tasks: tuple[int, ...] = (1,)
    seconds: float = 10
    seeds: tuple[int, ...] = (1,)

    @property
    def slots(self) -> int:
        """Give the slots of the whole deployment."""
        options = self.deployment
        return len(options.zones) * options.endpoints * options.slots


async def measure(options: LoadOptions) -> list[Figures]:
    """Run each job size with each seed, on one deployment each."""
    runs = itertools.product(options.tasks, options.seeds)
    return [
        row
        for tasks, seed in runs
        for row in await _measure_one(options, tasks, seed)
    ]


async def _measure_one(
    options: LoadOptions,
    tasks: int,
    seed: int,
) -> list[Figures]:
    streams = tuple(
        Stream(member, _SERVICES[member], load, tasks)
        for member, load in options.loads
    )
    jobs = generate(
        streams,
        slots=options.slots,
        seconds=options.seconds,
        seed=seed,
    )
    async with Deployment(options.deployment) as deployment:
        run = await run_jobs(deployment, jobs, seed=seed)
    members = [''] if len(streams) == 1 else [one.member for one in streams]
    return [
        figures(
            _name(options, tasks, member),
            run,
            slots=options.slots,
            seed=seed,
            member=member,
        )
        for member in members
    ]


def _name(options: LoadOptions, tasks: int, member: str) -> str:
    load = sum(load for _, load in options.loads)
    percent = round(100 * load)
    words = (f'{tasks} tasks', f'load {percent}%', member)
    return ', '.join(filter(None, words))


def _load_of(text: str) -> tuple[tuple[str, float], ...]:
    pairs = (part.split('=') for part in text.split(','))
    return tuple((member, float(load)) for member, load in pairs)


def _numbers(text: str) -> tuple[int, ...]:
    return tuple(map(int, text.split(',')))


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='python -m bench.load')
    parser.add_argument('--zones', type=int, default=3)
    parser.add_argument('--instances', type=int, default=3)
    parser.add_argument('--endpoints', type=int, default=2)
    parser.add_argument('--processes', type=int, default=2)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--loads', type=_load_of, default='tkemali=0.7')
    parser.add_argument('--tasks', type=_numbers, default='1,50')
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument('--seeds', type=_numbers, default='1')
    parser.add_argument('--policy', default='')
    parser.add_argument('--json', type=Path, default=None)
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Measure as the arguments say, and print the figures."""
    given = _parse(arguments)
    policy = {'dispatch': {'policy': given.policy}} if given.policy else {}
    options = LoadOptions(
        deployment=DeploymentOptions(
            zones=_ZONES[: given.zones],
            instances=given.instances,
            endpoints=given.endpoints,
            endpoint_processes=given.processes,
            slots=given.slots,
            settings=policy,
        ),
        loads=given.loads,
        tasks=given.tasks,
        seconds=given.seconds,
        seeds=given.seeds,
    )
    rows = asyncio.run(measure(options))
    sys.stdout.write(f'{table(rows)}\n')
    if given.json is not None:
        given.json.write_text(as_json(rows))
    return int(any(row.violations for row in rows))


if __name__ == '__main__':
    sys.exit(main())
