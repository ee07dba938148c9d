"""Tests for callers that disconnect, resend, cancel, or reuse a key."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest
import pytest_asyncio
from bench.caller import Submission
from bench.oracle import OutcomeKind

from processes.support import DeploymentHarness, outcome_kinds, run_deployment

COMPLETE = OutcomeKind.complete

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def harness() -> AsyncIterator[DeploymentHarness]:
    """One deployment for all tests, each of which uses its own keys."""
    async with run_deployment(zones=3, slots=4) as running:
        yield running


class TestHangUp:
    """The connection of a caller closes while its job runs."""

    async def test_resend_attaches(self, harness: DeploymentHarness) -> None:
        job = Submission(key='hung-up', run_ms=(600,) * 4, idempotent=False)
        first = harness.submit_soon(job)
        await harness.wait_started(job, 4)
        first.cancel()
        reply = await harness.submit(job)
        assert reply.kind is COMPLETE
        assert harness.count_starts(job) == 4

    async def test_outcome_by_key(self, harness: DeploymentHarness) -> None:
        job = Submission(key='hung-up-again', run_ms=(300,) * 4)
        first = harness.submit_soon(job)
        await harness.wait_started(job, 4)
        first.cancel()
        assert (await harness.wait_settled(job)).kind is COMPLETE


@pytest.mark.parametrize('idempotent', [True, False])
class TestResend:
    """The same submission is sent again, to any instance."""

    async def test_during_and_after(
        self, harness: DeploymentHarness, *, idempotent: bool
    ) -> None:
        job = Submission(
            key=f'again-{idempotent}',
            run_ms=(700, 20, 20, 300),
            idempotent=idempotent,
        )
        first = harness.submit_soon(job, 0)
        await harness.wait_started(job, 4)
        during = await asyncio.gather(
            *(harness.submit(job, instance) for instance in range(3)),
        )
        after = await asyncio.gather(
            *(harness.submit(job, instance) for instance in range(3)),
        )
        replies = [await first, *during, *after]
        assert outcome_kinds(replies) == {COMPLETE}
        assert harness.count_starts(job) == 4


@pytest.mark.parametrize('idempotent', [True, False])
class TestRace:
    """The same submission is sent to all instances at once."""

    async def test_at_once(self, *, idempotent: bool) -> None:
        jobs = [
            Submission(
                key=f'race-{number}',
                run_ms=(20,) * 4,
                idempotent=idempotent,
            )
            for number in range(12)
        ]
        async with run_deployment(zones=3, slots=16) as own:
            replies = await asyncio.gather(
                *(
                    own.submit(job, instance)
                    for job in jobs
                    for instance in range(3)
                ),
            )
            # A failed assertion prints the replies.
            failures = [reply for reply in replies if reply.failed]
            assert not failures
            assert {own.count_starts(job) for job in jobs} == {4}


class TestKeyConflict:
    """A key is reused with a different body."""

    @pytest.mark.parametrize('instance', [0, 1])
    async def test_conflict(
        self, harness: DeploymentHarness, instance: int
    ) -> None:
        job = Submission(
            key=f'taken-{instance}', run_ms=(400,) * 2, idempotent=False
        )
        other = replace(job, run_ms=(400,) * 3)
        first = harness.submit_soon(job, 0)
        await harness.wait_started(job, 2)
        # The oracle identifies jobs by their keys, so the conflict, which
        # concerns only the second submission, is not recorded for it.
        url = harness.url(instance)
        during = await harness.caller.submit(url, other)
        assert (await first).kind is COMPLETE
        after = await harness.caller.submit(url, other)
        assert [during.status, after.status] == [409, 409]
        assert during.problem == after.problem == 'key-conflict'
        assert harness.count_starts(job) == 2


class TestCancellation:
    """No further task of a job starts after its cancellation."""

    async def test_queued_tasks_never_start(
        self, harness: DeploymentHarness
    ) -> None:
        job = Submission(key='cancelled', run_ms=(300,) * 60)
        after = Submission(key='after-one', run_ms=(5,) * 4)
        running = harness.submit_soon(job)
        # Tasks start in all slots at once; the remaining ones are queued.
        slots = 12
        await harness.wait_started(job, slots)
        await harness.caller.cancel(harness.url(0), job)
        assert (await running).kind is OutcomeKind.failed
        assert (await harness.submit(after)).kind is COMPLETE
        assert harness.count_starts(job) == slots

    async def test_wave(self, harness: DeploymentHarness) -> None:
        jobs = [
            # Far longer than it takes to cancel them, even on a busy machine.
            Submission(key=f'wave-{number}', run_ms=(9000,) * 10)
            for number in range(20)
        ]
        after = Submission(key='after-wave', run_ms=(5,) * 4)
        running = [harness.submit_soon(job) for job in jobs]
        await harness.wait_started(jobs[0], 1)
        await asyncio.gather(
            *(harness.caller.cancel(harness.url(0), job) for job in jobs),
        )
        replies = await asyncio.gather(*running)
        assert COMPLETE not in outcome_kinds(replies)
        assert (await harness.submit(after)).kind is COMPLETE
