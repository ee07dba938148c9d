"""Tests for instances that are killed, paused or shut down under load."""

import asyncio
import time

import pytest
from bench.caller import Submission
from bench.oracle import OutcomeKind

from processes.support import TIMEOUT_SECONDS, outcome_kinds, run_deployment

COMPLETE = OutcomeKind.complete
FAILED = OutcomeKind.failed
REFUSED = OutcomeKind.refused


class TestDeath:
    """An instance is killed while its job runs."""

    async def test_resend_of_a_lost_job(self) -> None:
        job = Submission(key='lost', run_ms=(800,) * 4, idempotent=False)
        other = Submission(key='other', run_ms=(800,) * 4)
        async with run_deployment(zones=3, slots=8) as harness:
            lost = harness.submit_soon(job, 0)
            running = harness.submit_soon(other, 1)
            await harness.wait_started(job, 4)
            await harness.instances[0].child.kill()
            assert (await lost).kind is OutcomeKind.unanswered
            resent = await harness.submit(job, 1)
            again = await harness.submit(job, 2)
            assert outcome_kinds([resent, again]) == {FAILED}
            assert harness.count_starts(job) == 4
            assert (await running).kind is COMPLETE

    async def test_others_go_on(self) -> None:
        jobs = [
            Submission(key=f'job-{number}', run_ms=(20,) * 4)
            for number in range(20)
        ]
        async with run_deployment(zones=3, slots=8) as harness:
            await harness.instances[0].child.kill()
            replies = await asyncio.gather(
                *(
                    harness.submit(job, 1 + number % 2)
                    for number, job in enumerate(jobs)
                ),
            )
            assert outcome_kinds(replies) == {COMPLETE}

    async def test_restart(self) -> None:
        before = Submission(key='before', run_ms=(5,) * 4)
        after = Submission(key='after', run_ms=(5,) * 4)
        async with run_deployment(zones=3, slots=8) as harness:
            assert (await harness.submit(before, 0)).kind is COMPLETE
            await harness.instances[0].child.kill()
            await harness.deployment.restart(harness.instances[0])
            await harness.wait_endpoints_known(3)
            assert (await harness.submit(after, 0)).kind is COMPLETE


class TestPause:
    """An instance is paused, and resumes with outdated state."""

    async def test_sleeper_starts_nothing_twice(self) -> None:
        queued = Submission(key='queued', run_ms=(150,) * 30)
        others = [
            Submission(key=f'other-{number}', run_ms=(30,) * 4)
            for number in range(10)
        ]
        async with run_deployment(zones=3, slots=2) as harness:
            sleeping = harness.submit_soon(queued, 0)
            await harness.wait_started(queued, 2)
            harness.instances[0].child.pause()
            replies = await asyncio.gather(
                *(harness.submit(job, 1) for job in others),
            )
            await asyncio.sleep(2)
            harness.instances[0].child.resume()
            assert outcome_kinds(replies) == {COMPLETE}
            assert (await sleeping).kind in {COMPLETE, FAILED}

    async def test_resend_while_asleep(self) -> None:
        job = Submission(key='asleep', run_ms=(100,) * 4, idempotent=False)
        async with run_deployment(zones=3, slots=4) as harness:
            first = harness.submit_soon(job, 0)
            await harness.wait_started(job, 4)
            harness.instances[0].child.pause()
            resent = harness.submit_soon(job, 1)
            await asyncio.sleep(2)
            harness.instances[0].child.resume()
            assert (await first).kind in {COMPLETE, FAILED}
            assert (await resent).kind in {COMPLETE, FAILED}
            assert harness.count_starts(job) == 4


class TestShutdown:
    """SIGTERM under load does not interrupt jobs in progress."""

    @pytest.mark.parametrize('instances', [1, 3])
    async def test_jobs_in_progress_end(self, instances: int) -> None:
        jobs = [
            Submission(key=f'job-{number}', run_ms=(400, 10, 700))
            for number in range(16)
        ]
        late = Submission(key='late', run_ms=(5,))
        async with run_deployment(instances=instances, endpoints=2) as harness:
            running = [harness.submit_soon(job, 0) for job in jobs]
            await harness.wait_started(jobs[-1], 1)
            leaving = harness.instances[0]
            leaving.child.terminate()
            await asyncio.sleep(0.1)
            assert not await leaving.is_ready(harness.http)
            refused = await harness.submit(late, 0)
            assert refused.kind in {REFUSED, OutcomeKind.unanswered}
            assert outcome_kinds(await asyncio.gather(*running)) == {COMPLETE}
            assert await leaving.child.wait(seconds=10) == 0
            assert not harness.count_starts(late)

    # Guards against a caller that gets no reply, and a process that keeps
    # running for a minute, when a job takes longer than `drain_seconds`.
    async def test_job_longer_than_the_drain_is_answered(self) -> None:
        job = Submission(key='long', run_ms=(TIMEOUT_SECONDS * 4000,))
        limits = {'limits': {'drain_seconds': '1'}}
        async with run_deployment(settings=limits) as harness:
            running = harness.submit_soon(job, 0)
            await harness.wait_started(job, 1)
            harness.instances[0].child.terminate()
            assert await harness.instances[0].child.wait(seconds=10) == 0
            assert (await running).kind is FAILED

    async def test_others_take_its_endpoints(self) -> None:
        job = Submission(key='moved', run_ms=(20,) * 12)
        async with run_deployment(instances=2, endpoints=2, slots=4) as harness:
            harness.instances[0].child.terminate()
            assert await harness.instances[0].child.wait(seconds=10) == 0
            assert (await harness.submit(job, 1)).kind is COMPLETE

    async def test_idle_instance_exits_at_once(self) -> None:
        async with run_deployment() as harness:
            child = harness.instances[0].child
            began = time.monotonic()
            child.terminate()
            assert await child.wait(seconds=10) == 0
            assert time.monotonic() - began < 10
