"""An entry that was told to end, with a dispatcher of our own."""

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
from cuminstack.platform._front import Front
from cuminstack.platform._settings import PlatformSettings
from cuminstack.pool import JobState
from cuminstack.roles import ControlRole, RoleSettings, steady_now
from cuminstack.settings import Address

PATIENCE = 30
BALLOT = Ballot(1, InstanceId('c'))
GRACE = 3.0
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


class _Dispatcher:
    """Takes all jobs, and ends those that the test says."""

    def __init__(self, own: InstanceId) -> None:
        self.own = own
        self.submits: list[Submit] = []
        self.mesh = Mesh(
            own,
            incarnation=1,
            receive=self._receive,
            reject=lambda sender, error: None,
        )

    def end(self, entry: InstanceId, key: str) -> None:
        self.mesh.send(entry, Ended(JobKey(key), JobState.completed))

    def _receive(self, entry: InstanceId, message: Any) -> None:
        self.mesh.add_peers((entry,))
        match message:
            case EntryBeat():
                self._beat(entry)
            case Submit():
                self.submits.append(message)
                self.mesh.send(entry, Taken(message.request.key))

    def _beat(self, entry: InstanceId) -> None:
        beat = LeaderBeat(1, steady_now(), (self.own,), {})
        self.mesh.send(entry, beat)
        self.mesh.send(entry, Chosen(BALLOT, Value(7, STATE, ())))


class _Scene:
    """An entry, its dispatcher and a caller that keeps its connections."""

    def __init__(self, *, grace: float = GRACE) -> None:
        peers = free_ports(4)
        own, control = (InstanceId(f'{LOOPBACK}:{port}') for port in peers[:2])
        self.entry = own
        self.dispatcher = _Dispatcher(control)
        self.told_to_end = asyncio.Event()
        self._callers = Address(LOOPBACK, peers[2])
        self._readiness = Address(LOOPBACK, peers[3])
        self._settings = PlatformSettings(
            role=RoleSettings(
                own=own,
                zone='zone',
                controls=(control,),
                first_start=True,
                tolerated=0,
                data_folder=None,
                order='useful-first',
            ),
            host=LOOPBACK,
            callers=self._callers,
            readiness=self._readiness,
            control=None,
            grace=grace,
        )

    @asynccontextmanager
    async def run(self) -> AsyncIterator[aiohttp.ClientSession]:
        await self.dispatcher.mesh.start()
        program = asyncio.create_task(
            _program.serve_entry(
                self._settings,
                Exposition(),
                self.told_to_end,
            ),
        )
        async with aiohttp.ClientSession() as session:
            await until(lambda: self._is_ready(session), seconds=PATIENCE)
            yield session
            self.told_to_end.set()
            await program
        await self.dispatcher.mesh.stop()

    async def submit(
        self,
        session: aiohttp.ClientSession,
        key: str,
    ) -> int:
        headers = {'Host': 'h.example', 'X-Deadline-Ms': '60000'}
        url = f'http://{self._callers}/q/{key}'
        async with session.post(url, data=JOB, headers=headers) as response:
            await response.read()
            return response.status

    def connect(self) -> socket.socket:
        """Open a connection that is used later."""
        return socket.create_connection(
            (self._callers.host, self._callers.port),
        )

    async def submitted(self, count: int) -> None:
        async def has_come() -> bool:
            return len(self.dispatcher.submits) >= count

        await until(has_come, seconds=PATIENCE)

    async def drains(self, session: aiohttp.ClientSession) -> None:
        async def is_told() -> bool:
            return not await self._is_ready(session)

        await until(is_told, seconds=PATIENCE)

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        url = f'http://{self._readiness}/api/readiness'
        try:
            async with session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


class TestLateRequests:
    """Callers use open connections until the process is gone."""

    # Guards against a connection that closes without an answer, as the grace
    # ended while the job was still running.
    async def test_running_job_is_answered(self) -> None:
        scene = _Scene()
        async with scene.run() as session:
            request = asyncio.create_task(scene.submit(session, KEYS[0]))
            await scene.submitted(1)
            scene.told_to_end.set()
            assert await request == 504

    # Guards against jobs that are taken though they can't end before the
    # process does: the dispatcher can refuse only what it is told of.
    async def test_job_is_handed_over_with_time_left(self) -> None:
        scene = _Scene(grace=PATIENCE)
        async with scene.run() as session:
            earlier = asyncio.create_task(scene.submit(session, KEYS[0]))
            await scene.submitted(1)
            scene.told_to_end.set()
            await scene.drains(session)
            later = asyncio.create_task(scene.submit(session, KEYS[1]))
            await scene.submitted(2)
            scene.dispatcher.end(scene.entry, KEYS[0])
            scene.dispatcher.end(scene.entry, KEYS[1])
            assert (await earlier, await later) == (200, 200)
            first, second = scene.dispatcher.submits
            assert first.remaining > PATIENCE
            assert second.remaining < PATIENCE

    # Guards against a job that is handed over and then broken off without an
    # answer, as it came just after the last look had found no request.
    async def test_job_after_the_last_look_is_answered(
        self,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(_program, '_OUT_OF_ROTATION_SECONDS', 0)
        # One turn of the loop, so that what is sent after the last look but
        # one is read just after the last.
        monkeypatch.setattr(_program, '_LOOK_SECONDS', 0)
        last = _program._QUIET_LOOKS
        scene = _Scene()
        async with scene.run():
            with scene.connect() as connection:
                connection.setblocking(False)
                _send_after_look(monkeypatch, connection, last - 1)
                scene.told_to_end.set()
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(PATIENCE):
                    answer = await loop.sock_recv(connection, 1000)
            assert answer.startswith(b'HTTP/1.1 503 ')


def _send_after_look(
    monkeypatch: pytest.MonkeyPatch,
    connection: socket.socket,
    number: int,
) -> None:
    """Have a job sent just after an entry has looked for requests."""
    body = JOB.encode()
    head = (
        f'POST /q/{KEYS[0]} HTTP/1.1\r\nHost: h.example\r\n'
        f'X-Deadline-Ms: 60000\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    looks = itertools.count()

    def look(front: Front) -> int:
        # The first count is for the log, the others are looks.
        if next(looks) == number:
            connection.sendall(head.encode() + body)
        return front._requests

    monkeypatch.setattr(Front, 'requests', property(look))


class TestLateOperators:
    """An operator's order is in progress as a control instance ends."""

    # Guards against an order that gets no answer, as the instance closed
    # its connections sooner than an order may take.
    async def test_order_in_progress_is_answered(
        self,
        monkeypatch: pytest.MonkeyPatch,
        tmp_path: Path,
    ) -> None:
        has_come = asyncio.Event()
        submit = ControlRole.submit

        async def submit_noted(
            role: ControlRole, version: int, body: bytes
        ) -> Outcome:
            has_come.set()
            return await submit(role, version, body)

        monkeypatch.setattr(ControlRole, 'submit', submit_noted)
        peers = free_ports(4)
        control = Address(LOOPBACK, peers[3])
        # Two of three replicas are not there, so no order comes into force.
        replicas = tuple(InstanceId(f'{LOOPBACK}:{port}') for port in peers[:3])
        settings = PlatformSettings(
            role=RoleSettings(
                own=replicas[0],
                zone='zone',
                controls=replicas,
                first_start=True,
                tolerated=1,
                data_folder=tmp_path,
                order='useful-first',
            ),
            host=LOOPBACK,
            callers=None,
            readiness=None,
            control=control,
            grace=6,
        )
        told_to_end = asyncio.Event()
        program = asyncio.create_task(
            _program.serve_control(settings, Exposition(), told_to_end),
        )
        async with aiohttp.ClientSession() as session:
            order = asyncio.create_task(_replace(session, control))
            await has_come.wait()
            told_to_end.set()
            assert await order == 503
        await program


async def _replace(session: aiohttp.ClientSession, control: Address) -> int:
    while True:
        try:
            async with session.post(
                f'http://{control}/api/Config.Replace', data=STATE
            ) as response:
                return response.status
        except aiohttp.ClientConnectorError:
            # It does not listen yet.
            await asyncio.sleep(0.05)
