"""Callers that hang up, send again, change their mind, or reuse a key."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest
import pytest_asyncio
from bench.caller import Submission
from bench.oracle import OutcomeKind

from processes.support import Scene, kinds, scene

COMPLETE = OutcomeKind.complete

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def act() -> AsyncIterator[Scene]:
    """One deployment for all; every test has keys of its own."""
    async with scene(zones=3, slots=4) as running:
        yield running


class TestHangUp:
    """The connection of a caller breaks while its job runs."""

    async def test_resend_attaches(self, act: Scene) -> None:
        job = Submission(key='hung-up', run_ms=(600,) * 4, idempotent=False)
        gone = act.submit_soon(job)
        await act.started(job, 4)
        gone.cancel()
        reply = await act.submit(job)
        assert reply.kind is COMPLETE
        assert act.starts(job) == 4

    async def test_outcome_by_key(self, act: Scene) -> None:
        job = Submission(key='hung-up-again', run_ms=(300,) * 4)
        gone = act.submit_soon(job)
        await act.started(job, 4)
        gone.cancel()
        assert (await act.settled(job)).kind is COMPLETE


@pytest.mark.parametrize('idempotent', [True, False])
class TestResend:
    """The same submission comes again, at any instance."""

    async def test_during_and_after(
        self, act: Scene, *, idempotent: bool
    ) -> None:
        job = Submission(
            key=f'again-{idempotent}',
            run_ms=(700, 20, 20, 300),
            idempotent=idempotent,
        )
        first = act.submit_soon(job, 0)
        await act.started(job, 4)
        during = await asyncio.gather(
            *(act.submit(job, instance) for instance in range(3)),
        )
        after = await asyncio.gather(
            *(act.submit(job, instance) for instance in range(3)),
        )
        replies = [await first, *during, *after]
        assert kinds(replies) == {COMPLETE}
        assert act.starts(job) == 4


@pytest.mark.parametrize('idempotent', [True, False])
class TestRace:
    """The same submission comes to all instances at once."""

    async def test_at_once(self, *, idempotent: bool) -> None:
        jobs = [
            Submission(
                key=f'race-{number}',
                run_ms=(20,) * 4,
                idempotent=idempotent,
            )
            for number in range(12)
        ]
        async with scene(zones=3, slots=16) as own:
            replies = await asyncio.gather(
                *(
                    own.submit(job, instance)
                    for job in jobs
                    for instance in range(3)
                ),
            )
            # What each caller was told shows in a failure.
            failures = [reply for reply in replies if reply.failed]
            assert not failures
            assert {own.starts(job) for job in jobs} == {4}


class TestKeyConflict:
    """A key comes again with another body."""

    @pytest.mark.parametrize('instance', [0, 1])
    async def test_conflict(self, act: Scene, instance: int) -> None:
        job = Submission(
            key=f'taken-{instance}', run_ms=(400,) * 2, idempotent=False
        )
        other = replace(job, run_ms=(400,) * 3)
        first = act.submit_soon(job, 0)
        await act.started(job, 2)
        # What a conflict says is of the second submission only, so the
        # oracle, which knows jobs by their keys, is not told of it.
        url = act.url(instance)
        during = await act.caller.submit(url, other)
        assert (await first).kind is COMPLETE
        after = await act.caller.submit(url, other)
        assert [during.status, after.status] == [409, 409]
        assert during.problem == after.problem == 'key-conflict'
        assert act.starts(job) == 2


class TestCancellation:
    """Cancelled jobs start nothing more."""

    async def test_queued_tasks_never_start(self, act: Scene) -> None:
        job = Submission(key='cancelled', run_ms=(300,) * 60)
        after = Submission(key='after-one', run_ms=(5,) * 4)
        running = act.submit_soon(job)
        # Starts in all slots are sent at once; later ones are queued.
        slots = 12
        await act.started(job, slots)
        await act.caller.cancel(act.url(0), job)
        assert (await running).kind is OutcomeKind.failed
        assert (await act.submit(after)).kind is COMPLETE
        assert act.starts(job) == slots

    async def test_wave(self, act: Scene) -> None:
        jobs = [
            Submission(key=f'wave-{number}', run_ms=(200,) * 10)
            for number in range(20)
        ]
        after = Submission(key='after-wave', run_ms=(5,) * 4)
        running = [act.submit_soon(job) for job in jobs]
        await act.started(jobs[0], 1)
        await asyncio.gather(
            *(act.caller.cancel(act.url(0), job) for job in jobs),
        )
        replies = await asyncio.gather(*running)
        assert COMPLETE not in kinds(replies)
        assert (await act.submit(after)).kind is COMPLETE
