"""Workers restart under their ids behind a cut; does a task run twice at once?

With TROUBLE=0 no worker is cut off or restarted.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

import aiohttp
from standins.callers import SERVICE, Client, Operator
from standins.deployment import Deployment, Record
from standins.worker import Worker, concurrent_runs

FOLDER = Path(__file__).resolve().parent
WORKERS = 24
#: Share of the workers that are cut off at a time, as in the site file.
CUT_SHARE = 0.17
CUT_SECONDS = 1.4
ROUNDS = 8
ROUND_SECONDS = 3.0
#: Time from a wide job until the cut.
CUT_AFTER_SECONDS = 1.2
TASK_SECONDS = 0.9
STEP = {'count': 32, 'cpu': 6800, 'memMb': 64, 'estRuntimeMs': 900}


async def cut_and_restart(worker):
    """Cut a worker off; it crashes behind the cut and starts again at once."""
    crash_after = random.uniform(0, CUT_SECONDS - 0.1)
    worker.cut()
    await asyncio.sleep(crash_after)
    await worker.crash()
    await worker.start()
    await asyncio.sleep(CUT_SECONDS - crash_after)
    worker.heal()


async def play_rounds(client, deployment, workers, *, trouble):
    """Send a wide job in each round, and cut workers off between them."""
    jobs = []
    for number in range(ROUNDS):
        entry = deployment.entries[number % len(deployment.entries)]
        sent = client.submit(entry, [STEP], patience=3)
        jobs.append(asyncio.create_task(sent))
        ends = asyncio.create_task(asyncio.sleep(ROUND_SECONDS))
        await asyncio.sleep(CUT_AFTER_SECONDS)
        if trouble:
            chosen = random.sample(workers, int(CUT_SHARE * len(workers)))
            await asyncio.gather(*map(cut_and_restart, chosen))
        await ends
    await asyncio.gather(*jobs)


async def play(record, deployment, *, trouble):
    """Play the case; return whether the rule held."""
    workers = [
        Worker(
            f'i-{number:08x}',
            record=record,
            ip=f'{deployment.network}.{200 + number}',
            port=deployment.ports['front'],
            service=SERVICE,
            zone=f'zone-{1 + number % 3}',
            cpu=16000,
            controls=[each.address('control') for each in deployment.controls],
        )
        for number in range(WORKERS)
    ]
    for worker in workers:
        worker.work_seconds = lambda spec: TASK_SECONDS
    async with aiohttp.ClientSession() as http:
        operator = Operator(http, record, deployment)
        client = Client(http, record)
        deployment.start_all(first_start=True)
        for worker in workers:
            await worker.start()
        try:
            await operator.submit(1)
            if not await deployment.wait_until_ready(http):
                return None
            await asyncio.sleep(3)
            await play_rounds(client, deployment, workers, trouble=trouble)
            completed = sum('completed' in text for _, _, text in client.answers)
            record.add('completed', jobs=completed, sent=len(client.answers))
            pairs = concurrent_runs(workers)
            for first, second in pairs:
                record.add(
                    'ran_twice_at_once',
                    task=first.task,
                    first=f'{first.worker.name}#{first.number}',
                    second=f'{second.worker.name}#{second.number}',
                    first_began=first.began_at,
                    first_ended=first.ended_at,
                    second_began=second.began_at,
                )
            if completed * 2 < len(client.answers):
                return None
            return not pairs
        finally:
            for worker in workers:
                await worker.crash()


def main():
    """Run the case, and exit with its result."""
    record = Record(FOLDER / 'record.txt')
    deployment = Deployment(record, entries=2)
    keep = os.environ.get('KEEP_LOGS')
    try:
        held = asyncio.run(
            play(record, deployment, trouble=os.environ.get('TROUBLE') != '0')
        )
    finally:
        deployment.close(keep_logs_in=Path(keep) if keep else None)
    record.add('result', rule_held=held)
    sys.exit({True: 0, False: 1, None: 2}[held])


main()
