"""HTTP API of an entry, on top of a fake role."""

import asyncio
import json
import random
from collections.abc import AsyncIterator
from typing import Any, cast

import pytest
import pytest_asyncio
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from cuminstack.document import Value
from cuminstack.fleet import Answer, Completed, Failure, MayHaveRun, NotRun
from cuminstack.metrics import Exposition
from cuminstack.platform import _program
from cuminstack.platform._front import EntryApi
from cuminstack.platform._metrics import MetricsPage
from cuminstack.pool import JobRequest, JobState, QueueTerms
from cuminstack.roles import EntryRole

KEY = '5c0e7a21d94b36f8'
PATH = f'/q/{KEY}'
JOB = """{
    "bestEffort": true, "spec": "s",
    "steps": [{"count": 2, "cpu": 1000, "memMb": 64, "estRuntimeMs": 60}]
}"""
STATE = """{
    "version": 7, "services": [{"name": "s"}],
    "limits": {"maxHeaderBytes": 400, "maxBodyBytes": 300},
    "routes": [{
        "name": "r", "host": "h.example", "pathPrefix": "/q/",
        "timeoutMs": 1500, "service": "s"
    }]
}"""

pytestmark = pytest.mark.asyncio


class _FakeRole:
    """Answers every job in the same way."""

    def __init__(self) -> None:
        self.answer: Answer = Completed(JobState.completed)
        self.jobs: list[tuple[JobRequest, float]] = []
        self.waiting = {'r': 3}
        self.is_ready = True
        self.dispatcher = None
        self.is_called = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def run_job(
        self,
        request: JobRequest,
        terms: QueueTerms,
        *,
        seconds: float,
    ) -> Answer:
        self.jobs.append((request, seconds))
        self.is_called.set()
        await self.may_answer.wait()
        return self.answer


class EarliestReturn:
    """Draws the lowest number of a range."""

    def randint(self, lowest: int, highest: int) -> int:
        return lowest


class _EntryHarness:
    """The API of an entry with a fake role."""

    def __init__(self) -> None:
        self.role = _FakeRole()
        self.exposition = Exposition()
        self.random_source = cast(random.Random, EarliestReturn())
        self.api = EntryApi(self.exposition, random_source=self.random_source)
        self.api.attach(cast(EntryRole, self.role))

    def apply_state(self) -> None:
        self.api.apply(Value(7, STATE.encode(), ()))


class CallerClient:
    """Sends requests of a caller, and returns the decoded responses."""

    def __init__(self, client: 'TestClient[web.Request, Any]') -> None:
        self._client = client

    async def submit(
        self, *, path: str = PATH, body: str = JOB, **headers: str
    ) -> tuple[int, Any, str]:
        sent = {'Host': 'h.example', **headers}
        response = await self._client.post(path, data=body, headers=sent)
        text = await response.text()
        retry_after = response.headers.get('Retry-After', '')
        return response.status, json.loads(text or '{}'), retry_after

    async def get(self, path: str) -> tuple[int, str]:
        headers = {'Host': 'h.example'}
        response = await self._client.get(path, headers=headers)
        return response.status, await response.text()


@pytest.fixture
def entry() -> _EntryHarness:
    return _EntryHarness()


@pytest_asyncio.fixture
async def caller(entry: _EntryHarness) -> AsyncIterator[CallerClient]:
    async with TestClient(TestServer(entry.api.make_app())) as client:
        yield CallerClient(client)


class TestSubmission:
    """A caller submits a job."""

    async def test_without_desired_state(self, caller: CallerClient) -> None:
        status, body, retry_after = await caller.submit()
        assert (status, retry_after) == (503, '1')
        assert body == {'reason': 'no_desired_state'}

    @pytest.mark.parametrize(
        ('answer', 'status', 'retry_after'),
        [
            (Completed(JobState.completed), 200, ''),
            (Completed(JobState.failed), 200, ''),
            (NotRun('overload', 1.2), 429, '2'),
            (NotRun('no_dispatcher', 0.2), 503, '1'),
            (MayHaveRun(Failure.deadline), 504, ''),
            (MayHaveRun(Failure.interrupted), 502, ''),
        ],
    )
    async def test_answers(
        self,
        entry: _EntryHarness,
        caller: CallerClient,
        answer: Answer,
        status: int,
        retry_after: str,
    ) -> None:
        entry.apply_state()
        entry.role.answer = answer
        received = await caller.submit()
        assert (received[0], received[2]) == (status, retry_after)
        if isinstance(answer, Completed):
            assert received[1] == {'state': answer.state.value}

    # Guards against callers that are refused together and all come back
    # together, to be refused again.
    async def test_refused_callers_return_spread(
        self, entry: _EntryHarness
    ) -> None:
        entry.api = EntryApi(entry.exposition, random_source=random.Random(1))
        entry.api.attach(cast(EntryRole, entry.role))
        entry.apply_state()
        entry.role.answer = NotRun('overload', 2.5)
        async with TestClient(TestServer(entry.api.make_app())) as client:
            other = CallerClient(client)
            drawn = {(await other.submit())[2] for _ in range(40)}
        assert drawn == {'3', '4', '5', '6'}

    async def test_arguments_of_the_role(
        self, entry: _EntryHarness, caller: CallerClient
    ) -> None:
        entry.apply_state()
        headers = {'X-Deadline-Ms': '750'}
        await caller.submit(**headers)
        request, seconds = entry.role.jobs[0]
        assert request.key == KEY
        assert request.queue == 'r'
        assert round(seconds * 1000) == 750

    @pytest.mark.parametrize(
        ('header', 'expected'),
        [('nan', 2), ('-1', 2), ('x', 2), ('inf', 3600), ('1e400', 3600)],
    )
    async def test_odd_deadline(
        self,
        entry: _EntryHarness,
        caller: CallerClient,
        header: str,
        expected: int,
    ) -> None:
        """A job never waits without an end."""
        entry.apply_state()
        headers = {'X-Deadline-Ms': header}
        await caller.submit(**headers)
        assert entry.role.jobs[0][1] == expected

    @pytest.mark.parametrize(
        ('change', 'status'),
        [
            ({'path': f'/other/{KEY}'}, 404),
            ({'path': '/q/short'}, 404),
            ({'Host': 'other.example'}, 404),
            ({'body': '{'}, 400),
            ({'body': ' ' * 301}, 413),
            ({'X-Long': 'x' * 400}, 431),
            ({'body': '{"steps": [{}], "longRunning": true}'}, 503),
        ],
    )
    async def test_refused_without_calling_the_role(
        self,
        entry: _EntryHarness,
        caller: CallerClient,
        change: dict[str, str],
        status: int,
    ) -> None:
        entry.apply_state()
        received = await caller.submit(**change)
        assert received[0] == status
        assert not entry.role.jobs


class TestDraining:
    """Callers still send requests after the entry was asked to stop."""

    async def test_last_request_is_waited_for(
        self,
        entry: _EntryHarness,
        caller: CallerClient,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(_program, '_OUT_OF_ROTATION_SECONDS', 0)
        monkeypatch.setattr(_program, '_POLL_SECONDS', 0.5)
        monkeypatch.setattr(_program, '_IDLE_POLLS', 2)
        entry.apply_state()
        entry.role.may_answer.clear()
        draining = asyncio.create_task(_program._wait_until_idle(entry.api, 60))
        # This request arrives while no other is in progress.
        request = asyncio.create_task(caller.submit())
        await entry.role.is_called.wait()
        await asyncio.wait((draining,), timeout=2)
        assert not draining.done()
        entry.role.may_answer.set()
        status, _, _ = await request
        assert status == 200
        await draining
        assert not entry.api.requests


class TestOtherRequests:
    """Other requests of callers, load balancers and monitoring."""

    async def test_pending(
        self, entry: _EntryHarness, caller: CallerClient
    ) -> None:
        entry.apply_state()
        assert await caller.get('/q/') == (200, '{"pending": 3}')

    async def test_jobs_are_not_stored(
        self, entry: _EntryHarness, caller: CallerClient
    ) -> None:
        entry.apply_state()
        status, _ = await caller.get(f'/q/{KEY}')
        assert status == 410

    async def test_malformed_state_is_not_applied(
        self, entry: _EntryHarness, caller: CallerClient
    ) -> None:
        entry.apply_state()
        entry.api.apply(Value(8, b'{', ()))
        status, _, _ = await caller.submit()
        assert status == 200

    async def test_readiness(self, entry: _EntryHarness) -> None:
        app = entry.api.make_readiness_app()
        async with TestClient(TestServer(app)) as client:
            for ready, status in ((True, 200), (False, 503)):
                entry.role.is_ready = ready
                response = await client.get('/api/readiness')
                assert response.status == status
            entry.role.is_ready = True
            entry.api.start_draining()
            response = await client.get('/api/readiness')
            assert response.status == 503

    async def test_metrics(
        self, entry: _EntryHarness, caller: CallerClient
    ) -> None:
        entry.apply_state()
        entry.role.answer = NotRun('overload', 1)
        await caller.submit()
        app = MetricsPage(entry.exposition).make_app()
        async with TestClient(TestServer(app)) as client:
            page = await (await client.get('/metrics')).text()
        sample = 'cuminstack_jobs_total{outcome="not_run_overload",queue="r"}'
        assert f'{sample} 1.0' in page
