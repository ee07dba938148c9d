"""Shows the whole path on loopback: `make demo`.

Starts 3 zones of 3 daemons and 2 stand-in endpoints each, submits a sheet,
runs jobs of 1 and 50 tasks for two members through every daemon, kills one
daemon, drains one endpoint, and prints what came back.  The exit code is 1
if anything was not as promised.
"""

import asyncio
import itertools
import signal
import sys
from collections.abc import Sequence
from typing import Any, Final

from bench._children import Child, program
from bench._report import Ratios, figures
from bench._run import Run, run_jobs
from bench.arrivals import Job, Stream
from bench.caller import Caller, Submission
from bench.deployment import (
    SHEET,
    DeployedInstance,
    Deployment,
    DeploymentOptions,
)
from bench.oracle import OutcomeKind

#: The demo ends itself after this many seconds.
_LONGEST_SECONDS: Final = 55.0

_OPTIONS: Final = DeploymentOptions(
    zones=('telavi', 'gurjaani', 'sighnaghi'),
    instances=3,
    endpoints=2,
    sheet='',
    linger_ms=2000,
)
_SLOTS: Final = 48
_STREAMS: Final = (
    Stream('tkemali', 'order-desk', 0, 1),
    Stream('tkemali', 'order-desk', 0, 50),
    Stream('haslinger', 'bestell-dienst', 0, 1),
    Stream('haslinger', 'bestell-dienst', 0, 50),
)

#: Jobs of each stream in a round, and the pause between two jobs in seconds.
_ROUND_JOBS: Final = 4
_PAUSE_SECONDS: Final = 0.12

#: Run times in turn, in seconds.
_RUN_TIMES: Final = (0.25, 0.1, 0.4, 0.06, 0.15)

#: How long the rest may need to notice a killed daemon, in seconds.
_SETTLE_SECONDS: Final = 2.0
_TOOL_SECONDS: Final = 10.0

#: Run time of the tasks whose answers are printed, in milliseconds.
_SHOWN_MS: Final = 60


class DemoFailed(Exception):
    """Something was not as promised."""


async def demo() -> None:
    """Run the demo.

    Raises:
        DemoFailed: Something was not as promised.
    """
    _say('Starting 9 daemons and 6 endpoints in 3 availability zones.')
    async with Deployment(_OPTIONS) as deployment:
        await _submit_sheet(deployment)
        await _show_answers(deployment)
        await _round(deployment, 'all is well', 1)
        await _kill_one(deployment)
        await _round(deployment, 'one daemon killed', 2)
        await _drain_one(deployment)
        await _round(deployment, 'one endpoint drained', 3)
    _say('Every process has ended.')


async def _submit_sheet(deployment: Deployment) -> None:
    path = deployment.folder / 'sheet.csv'
    path.write_text(SHEET)
    operators = deployment.instances[-1].endpoints_url
    tool = await Child.spawn(
        'submit',
        [program('cuminstack'), 'submit', str(path), f'--instance={operators}'],
        folder=deployment.folder,
    )
    code = await tool.wait(seconds=_TOOL_SECONDS)
    said = tool.log.strip()
    _say(f'cuminstack submit sheet.csv: {said}')
    _expect(code == 0, 'the sheet is accepted')


async def _show_answers(deployment: Deployment) -> None:
    caller = Caller(deployment.http)
    entries = deployment.instances[::2]
    await asyncio.gather(
        *(
            _show_answer(caller, entry, stream)
            for entry, stream in zip(entries, _STREAMS, strict=False)
        ),
    )


async def _show_answer(
    caller: Caller,
    entry: DeployedInstance,
    stream: Stream,
) -> None:
    job = Submission(
        member=stream.member,
        service=stream.service,
        key=f'answers-{stream.tasks}',
        run_ms=(_SHOWN_MS,) * stream.tasks,
    )
    reply = await caller.submit(entry.callers_url, job)
    _expect(job.told(reply).whole, 'an answer is whole')
    _expect(reply.kind is OutcomeKind.complete, 'a job is complete')
    name = entry.plan.name
    first, last = reply.answers[0], reply.answers[-1]
    count = len(reply.answers)
    _say(f'{stream.member} through {name}: {count} answers, {first} … {last}')


async def _round(deployment: Deployment, name: str, number: int) -> None:
    run = await run_jobs(deployment, _jobs(number), seed=number)
    _say(f'\n{name}:')
    for stream in _STREAMS:
        _say(_line(run, stream))
    found = figures(name, run, slots=_SLOTS, seed=number)
    messages = f'{found.messages_per_task:.2f} messages a task'
    waste = f'{found.waste_percent:.2f}% wasted'
    _say(f'  {messages}, {waste}')
    for violation in run.violations:
        _say(f'  {violation}')
    _expect(not run.violations, 'every promise is kept')
    _expect(
        all(sample.complete for sample in run.samples),
        'every job is answered whole',
    )


def _jobs(number: int) -> tuple[Job, ...]:
    streams = _STREAMS * _ROUND_JOBS
    run_times = itertools.cycle(_RUN_TIMES)
    return tuple(
        Job(
            arrival=position * _PAUSE_SECONDS,
            stream=stream,
            key=f'demo-{number}-{position}',
            run_times=tuple(itertools.islice(run_times, stream.tasks)),
        )
        for position, stream in enumerate(streams)
    )


def _line(run: Run, stream: Stream) -> str:
    samples = [one for one in run.samples if one.job.stream == stream]
    complete = sum(one.complete for one in samples)
    ratios = Ratios.of([one.ratio for one in samples])
    jobs = f'{len(samples)} jobs of {stream.tasks}'
    return (
        f'  {stream.member}, {jobs}: {complete} complete, '
        f'response/ideal p50·p90·p99 {ratios}'
    )


async def _kill_one(deployment: Deployment) -> None:
    victim = deployment.instances[1]
    await victim.child.kill()
    name = victim.plan.name
    _say(f'\nKilled {name}.')
    await asyncio.sleep(_SETTLE_SECONDS)


async def _drain_one(deployment: Deployment) -> None:
    leaving = deployment.endpoints[0]
    leaving.child.terminate()
    _say(f'\nAsked {leaving.name} to leave.')
    code = await leaving.child.wait(seconds=_TOOL_SECONDS)
    _expect(code == 0, 'a leaving endpoint ends')


def _expect(holds: Any, promise: str) -> None:
    if not holds:
        raise DemoFailed(promise)


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def _bounded() -> None:
    task = asyncio.current_task()
    assert task is not None
    # Without this a SIGTERM would leave the children behind.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(_LONGEST_SECONDS):
        await demo()


def main(arguments: Sequence[str] = ()) -> int:
    """Run the demo within a minute and give its exit code."""
    try:
        asyncio.run(_bounded())
    except DemoFailed as failure:
        _say(f'\nNot as promised: {failure}')
        return 1
    _say('All as promised.')
    return 0


if __name__ == '__main__':
    sys.exit(main())
