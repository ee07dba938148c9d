"""Shutdown of an entry and a control instance while requests arrive.

The entry runs with a fake dispatcher.
"""

import asyncio
import itertools
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from bench._polling import until
from bench._ports import LOOPBACK, free_ports

from cuminstack.core import InstanceId, JobKey
from cuminstack.document import Ballot, Chosen, Outcome, Value
from cuminstack.fleet import Ended, EntryBeat, LeaderBeat, Submit, Taken
from cuminstack.links import Mesh
from cuminstack.metrics import Exposition
from cuminstack.platform import _program
from cuminstack.platform._front import EntryApi
from cuminstack.platform._settings import PlatformSettings
from cuminstack.pool import JobState
from cuminstack.roles import ControlRole, RoleSettings, steady_now
from cuminstack.settings import Address

TIMEOUT_SECONDS = 30
BALLOT = Ballot(1, InstanceId('c'))
GRACE_SECONDS = 3.0
KEYS = ('5c0e7a21d94b36f8', '5c0e7a21d94b36f9')
JOB = """{
    "bestEffort": true, "spec": "s",
    "steps": [{"count": 1, "cpu": 1000, "memMb": 64, "estRuntimeMs": 900}]
}"""
STATE = b"""{
    "version": 7, "services": [{"name": "s"}], "limits": {},
    "routes": [{
        "name": "r", "host": "h.example", "pathPrefix": "/q/",
        "timeoutMs": 60000, "service": "s"
    }]
}"""

pytestmark = pytest.mark.asyncio


class _FakeDispatcher:
    """Accepts all jobs, and completes those that the test chooses."""

    def __init__(self, own: InstanceId) -> None:
        self.own = own
        self.submits: list[Submit] = []
        self.mesh = Mesh(
            own,
            incarnation=1,
            receive=self._receive,
            reject=lambda sender, error: None,
        )

    def complete(self, entry: InstanceId, key: str) -> None:
        self.mesh.send(entry, Ended(JobKey(key), JobState.completed))

    def _receive(self, entry: InstanceId, message: Any) -> None:
        self.mesh.add_peers((entry,))
        match message:
            case EntryBeat():
                self._send_heartbeat(entry)
            case Submit():
                self.submits.append(message)
                self.mesh.send(entry, Taken(message.request.key))

    def _send_heartbeat(self, entry: InstanceId) -> None:
        beat = LeaderBeat(1, steady_now(), (self.own,), {})
        self.mesh.send(entry, beat)
        self.mesh.send(entry, Chosen(BALLOT, Value(7, STATE, ())))


class _EntryHarness:
    """A running entry, its fake dispatcher, and requests of callers."""

    def __init__(self, *, grace: float = GRACE_SECONDS) -> None:
        peers = free_ports(4)
        own, control = (InstanceId(f'{LOOPBACK}:{port}') for port in peers[:2])
        self.entry = own
        self.dispatcher = _FakeDispatcher(control)
        self.stop_requested = asyncio.Event()
        self._caller_address = Address(LOOPBACK, peers[2])
        self._readiness_address = Address(LOOPBACK, peers[3])
        self._settings = PlatformSettings(
            role=RoleSettings(
                own=own,
                zone='zone',
                controls=(control,),
                first_start=True,
                tolerated_failures=0,
                data_folder=None,
                order='useful-first',
            ),
            host=LOOPBACK,
            caller_address=self._caller_address,
            readiness_address=self._readiness_address,
            control_address=None,
            grace_seconds=grace,
        )

    @asynccontextmanager
    async def run(self) -> AsyncIterator[aiohttp.ClientSession]:
        await self.dispatcher.mesh.start()
        program = asyncio.create_task(
            _program.serve_entry(
                self._settings,
                Exposition(),
                self.stop_requested,
            ),
        )
        async with aiohttp.ClientSession() as session:
            await until(
                lambda: self._is_ready(session), seconds=TIMEOUT_SECONDS
            )
            yield session
            self.stop_requested.set()
            await program
        await self.dispatcher.mesh.stop()

    async def submit(
        self,
        session: aiohttp.ClientSession,
        key: str,
    ) -> int:
        headers = {'Host': 'h.example', 'X-Deadline-Ms': '60000'}
        url = f'http://{self._caller_address}/q/{key}'
        async with session.post(url, data=JOB, headers=headers) as response:
            await response.read()
            return response.status

    def connect(self) -> socket.socket:
        """Open a connection without sending a request yet."""
        return socket.create_connection(
            (self._caller_address.host, self._caller_address.port),
        )

    async def wait_for_submissions(self, count: int) -> None:
        async def is_submitted() -> bool:
            return len(self.dispatcher.submits) >= count

        await until(is_submitted, seconds=TIMEOUT_SECONDS)

    async def wait_until_draining(self, session: aiohttp.ClientSession) -> None:
        async def is_draining() -> bool:
            return not await self._is_ready(session)

        await until(is_draining, seconds=TIMEOUT_SECONDS)

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        url = f'http://{self._readiness_address}/api/readiness'
        try:
            async with session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


class TestLateRequests:
    """Callers send jobs on open connections until the entry has ended."""

    # Guards against a connection that closes without a response because the
    # grace period ends while the job is still running.
    async def test_running_job_is_answered(self) -> None:
        harness = _EntryHarness()
        async with harness.run() as session:
            request = asyncio.create_task(harness.submit(session, KEYS[0]))
            await harness.wait_for_submissions(1)
            harness.stop_requested.set()
            assert await request == 504

    # Guards against accepting jobs that can't end before the process does:
    # the dispatcher can refuse them only if it is sent the time that is left.
    async def test_job_is_submitted_with_the_time_left(self) -> None:
        harness = _EntryHarness(grace=TIMEOUT_SECONDS)
        async with harness.run() as session:
            earlier = asyncio.create_task(harness.submit(session, KEYS[0]))
            await harness.wait_for_submissions(1)
            harness.stop_requested.set()
            await harness.wait_until_draining(session)
            later = asyncio.create_task(harness.submit(session, KEYS[1]))
            await harness.wait_for_submissions(2)
            harness.dispatcher.complete(harness.entry, KEYS[0])
            harness.dispatcher.complete(harness.entry, KEYS[1])
            assert (await earlier, await later) == (200, 200)
            first, second = harness.dispatcher.submits
            assert first.remaining > TIMEOUT_SECONDS
            assert second.remaining < TIMEOUT_SECONDS

    # Guards against a job that is submitted and then dropped without an answer
    # because it arrives just after the last check for requests.
    async def test_job_after_the_last_check_is_answered(
        self,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(_program, '_OUT_OF_ROTATION_SECONDS', 0)
        # Each check takes one iteration of the event loop, so a job that is
        # sent after the second to last check is read just after the last.
        monkeypatch.setattr(_program, '_POLL_SECONDS', 0)
        idle_polls = _program._IDLE_POLLS
        harness = _EntryHarness()
        async with harness.run():
            with harness.connect() as connection:
                connection.setblocking(False)
                _send_after_check(monkeypatch, connection, idle_polls - 1)
                harness.stop_requested.set()
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    answer = await loop.sock_recv(connection, 1000)
            assert answer.startswith(b'HTTP/1.1 503 ')


def _send_after_check(
    monkeypatch: pytest.MonkeyPatch,
    connection: socket.socket,
    number: int,
) -> None:
    """Send a job just after an entry has checked for open requests."""
    body = JOB.encode()
    head = (
        f'POST /q/{KEYS[0]} HTTP/1.1\r\nHost: h.example\r\n'
        f'X-Deadline-Ms: 60000\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    checks = itertools.count()

    def read_requests(api: EntryApi) -> int:
        # The first read is for the log, the others are checks.
        if next(checks) == number:
            connection.sendall(head.encode() + body)
        return api._requests

    monkeypatch.setattr(EntryApi, 'requests', property(read_requests))


class TestOperatorRequests:
    """An operator's request is in progress as a control instance stops."""

    # Guards against a request without a response because the instance closes
    # its connections sooner than a request may take.
    async def test_request_in_progress_is_answered(
        self,
        monkeypatch: pytest.MonkeyPatch,
        tmp_path: Path,
    ) -> None:
        is_submitted = asyncio.Event()
        submit = ControlRole.submit

        async def submit_and_signal(
            role: ControlRole, version: int, body: bytes
        ) -> Outcome:
            is_submitted.set()
            return await submit(role, version, body)

        monkeypatch.setattr(ControlRole, 'submit', submit_and_signal)
        peers = free_ports(4)
        control = Address(LOOPBACK, peers[3])
        # Two of three replicas are not running, so there is no quorum.
        replicas = tuple(InstanceId(f'{LOOPBACK}:{port}') for port in peers[:3])
        settings = PlatformSettings(
            role=RoleSettings(
                own=replicas[0],
                zone='zone',
                controls=replicas,
                first_start=True,
                tolerated_failures=1,
                data_folder=tmp_path,
                order='useful-first',
            ),
            host=LOOPBACK,
            caller_address=None,
            readiness_address=None,
            control_address=control,
            grace_seconds=6,
        )
        stop_requested = asyncio.Event()
        program = asyncio.create_task(
            _program.serve_control(settings, Exposition(), stop_requested),
        )
        async with aiohttp.ClientSession() as session:
            request = asyncio.create_task(_replace_state(session, control))
            await is_submitted.wait()
            stop_requested.set()
            assert await request == 503
        await program


async def _replace_state(
    session: aiohttp.ClientSession, control: Address
) -> int:
    while True:
        try:
            async with session.post(
                f'http://{control}/api/Config.Replace', data=STATE
            ) as response:
                return response.status
        except aiohttp.ClientConnectorError:
            # The instance does not listen yet.
            await asyncio.sleep(0.05)
