"""The dispatcher stands still for a while; does a task run twice at once?

Clients send again what got no clear answer.  With TROUBLE=0 no process is
paused.
"""

import asyncio
import os
import random
import secrets
import signal
import sys
from pathlib import Path

import aiohttp
from standins.callers import SERVICE, Client, Operator
from standins.deployment import Deployment, Record
from standins.worker import Worker, concurrent_runs

FOLDER = Path(__file__).resolve().parent
#: Time for which the process stands still; the site file has 4 s.
PAUSE_SECONDS = (0.5, 0.6, 0.8, 1.0)
ROUNDS = 17
#: Longer than `catchUpS`, so that one machine is lost at a time.
SECONDS_BETWEEN = 4.2
JOBS_PER_SECOND = 4
PATIENCE_SECONDS = 9
#: The longest task of a cooking plan in the site file takes 3.6 s.
TASK_SECONDS = 2.5
#: From the settings: `retransmitMs`.
RESEND_SECONDS = 1.3
FINAL_STATUSES = (200, 429, 503, 404)


async def submit(client, deployment):
    """Submit a job, and send it again after no clear answer."""
    step = {'count': 4, 'cpu': 3000, 'memMb': 64, 'estRuntimeMs': 2500}
    key = secrets.token_hex(8)
    for _ in range(2):
        entry = random.choice(deployment.entries)
        status, _ = await client.submit(
            entry, [step], key=key, patience=PATIENCE_SECONDS
        )
        if status in FINAL_STATUSES:
            return
        await asyncio.sleep(RESEND_SECONDS)


async def send_traffic(client, deployment, stop):
    """Submit jobs until `stop` is set."""
    jobs = []
    while not stop.is_set():
        jobs.append(asyncio.create_task(submit(client, deployment)))
        await asyncio.sleep(random.expovariate(JOBS_PER_SECOND))
    await asyncio.gather(*jobs)


async def pause_dispatcher(http, record, deployment):
    """Stop the process that dispatches, and continue it after a while."""
    machine = await deployment.find_dispatcher(http)
    seconds = random.choice(PAUSE_SECONDS)
    record.add('process_stopped', machine=machine.name, seconds=seconds)
    machine.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    machine.signal(signal.SIGCONT)
    record.add('process_continued', machine=machine.name)


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
        for number in range(12)
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
            stop = asyncio.Event()
            traffic = asyncio.create_task(
                send_traffic(client, deployment, stop)
            )
            for _ in range(ROUNDS):
                await asyncio.sleep(SECONDS_BETWEEN)
                if trouble:
                    await pause_dispatcher(http, record, deployment)
            stop.set()
            await traffic
            completed = sum('completed' in text for _, _, text in client.answers)
            record.add('completed', jobs=completed, sent=len(client.answers))
            pairs = concurrent_runs(workers)
            for first, second in pairs:
                record.add(
                    'ran_twice_at_once',
                    task=first.task,
                    first=f'{first.worker.name}#{first.number}',
                    second=f'{second.worker.name}#{second.number}',
                    first_began=round(first.began_at, 3),
                    first_ended=round(first.ended_at or 0, 3),
                    second_began=round(second.began_at, 3),
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
    deployment = Deployment(record, entries=8)
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
