"""All processes are killed; is traffic served `recoveryS` after they are back?

With TROUBLE=0 nothing is killed.
"""

import asyncio
import os
import sys
from pathlib import Path

import aiohttp
from standins.callers import SERVICE, Client, Operator
from standins.deployment import Deployment, Record
from standins.worker import Worker

FOLDER = Path(__file__).resolve().parent
#: From the settings of the deployment.
RECOVERY_SECONDS = 12
DOWN_SECONDS = 1
TRAFFIC_SECONDS = 8
JOBS_PER_SECOND = 5
STEPS = [{'count': 2, 'cpu': 6800, 'memMb': 64, 'estRuntimeMs': 200}]


async def send_traffic(client, deployment, seconds):
    """Send jobs to the entries in turn; return how many were served."""
    jobs = []
    for number in range(int(seconds * JOBS_PER_SECOND)):
        entry = deployment.entries[number % len(deployment.entries)]
        jobs.append(asyncio.create_task(client.submit(entry, STEPS)))
        await asyncio.sleep(1 / JOBS_PER_SECOND)
    answers = await asyncio.gather(*jobs)
    served = sum(
        status == 200 and 'completed' in body for status, body in answers
    )
    return served, len(answers)


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
        for number in range(6)
    ]
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
            await operator.submit(2)
            await operator.read()
            before, sent = await send_traffic(client, deployment, 4)
            record.add('served_before', served=before, sent=sent)
            if before * 4 < sent:
                return None
            await operator.submit(3)
            if trouble:
                deployment.kill_all()
                await asyncio.sleep(DOWN_SECONDS)
                deployment.start_all(first_start=False)
            # Traffic goes on, but counts only once the time is over.
            await send_traffic(client, deployment, RECOVERY_SECONDS)
            after, sent = await send_traffic(
                client, deployment, TRAFFIC_SECONDS
            )
            record.add('served_after', served=after, sent=sent)
            # The operator reads back at the end of the day.
            version = await operator.read()
            await asyncio.sleep(3)
            later, later_sent = await send_traffic(client, deployment, 4)
            record.add(
                'served_after_the_read',
                version=version,
                served=later,
                sent=later_sent,
            )
            return after * 4 >= sent
        finally:
            for worker in workers:
                await worker.crash()


def main():
    """Run the case, and exit with its result."""
    record = Record(FOLDER / 'record.txt')
    deployment = Deployment(record, entries=3)
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
