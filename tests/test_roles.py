"""Roles over real links, with a worker in memory."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import cast

import cbor2
import pytest
from bench._polling import until
from bench._ports import LOOPBACK, free_ports
from bench.pool import SERVICE, FakeWorker

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.fleet import Answer, Completed, Election, EntryBeat
from cuminstack.links import Mesh
from cuminstack.pool import (
    JobRequest,
    JobState,
    QueueTerms,
    Room,
    Step,
)
from cuminstack.roles import ControlRole, EntryRole, RoleSettings
from cuminstack.roles._candidate import Candidate
from cuminstack.roles._memory import EndpointMemory, TermMemory
from cuminstack.store import DurableFile
from fakes_client import FakeClient

PATIENCE = 30
TERMS = QueueTerms('queue', SERVICE, stretch=2, slack=5)
DONE = Completed(JobState.completed)


class _Fleet:
    """One control instance and two entries."""

    def __init__(self, folder: Path) -> None:
        control, *entries = (
            InstanceId(f'{LOOPBACK}:{port}') for port in free_ports(3)
        )
        self.worker = FakeWorker('w0', 16000, rate=1)
        self.control_name = control
        self._folder = folder
        self.entries = [
            EntryRole(
                self._settings(entry, None),
                client=self._client(),
                new_value=lambda state: None,
            )
            for entry in entries
        ]
        self.control = self._make_control()

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        await self.control.start()
        for entry in self.entries:
            await entry.start()
        reporter = asyncio.create_task(self._report())
        yield
        reporter.cancel()
        for entry in self.entries:
            await entry.stop()
        await self.control.stop()

    async def cut_power(self) -> None:
        """End the control instance without a word."""
        assert self.control._ticker is not None
        self.control._ticker.cancel()
        await self.control._mesh.stop()

    async def restart(self) -> None:
        self.control = self._make_control()
        await self.control.start()

    async def job(self, name: str) -> Answer:
        step = Step(count=2, needs=Room(1000, 64), estimate=0.05)
        request = JobRequest(JobKey(name), 'queue', '', (step,))
        return await self.entries[0].run_job(request, TERMS, seconds=20)

    async def eventually(self, condition: Callable[[], bool]) -> None:
        async def holds() -> bool:
            return condition()

        await until(holds, seconds=PATIENCE)

    def _client(self) -> FakeClient:
        return FakeClient({EndpointId(self.worker.name): self.worker})

    def _make_control(self) -> ControlRole:
        settings = self._settings(self.control_name, self._folder)
        return ControlRole(settings, client=self._client())

    def _settings(self, own: InstanceId, folder: Path | None) -> RoleSettings:
        return RoleSettings(
            own=own,
            zone='zone',
            controls=(self.control_name,),
            first_start=True,
            tolerated=0,
            data_folder=folder,
            order='useful-first',
        )

    async def _report(self) -> None:
        while True:
            self.control.observe(self.worker.report())
            await asyncio.sleep(0.1)


@pytest.mark.asyncio
class TestStandIn:
    """The control instance loses power, and comes back."""

    async def test_jobs_go_on(self, tmp_path: Path) -> None:
        fleet = _Fleet(tmp_path)
        entry = fleet.entries[0]
        async with fleet.run():
            await fleet.eventually(
                lambda: entry.dispatcher == fleet.control_name,
            )
            assert await fleet.job('before') == DONE
            await fleet.eventually(
                lambda: all(
                    each._deputy._candidate.reports for each in fleet.entries
                ),
            )
            before = fleet.control.term
            await fleet.cut_power()
            await fleet.eventually(
                lambda: entry.dispatcher != fleet.control_name,
            )
            assert await fleet.job('without') == DONE
            await fleet.restart()
            await fleet.eventually(
                lambda: entry.dispatcher == fleet.control_name,
            )
            assert await fleet.job('after') == DONE
            # The deputy's term was between the two.
            assert fleet.control.term >= before + 2


class _NoMesh:
    """Links to nobody."""

    def add_peers(self, peers: object) -> None:
        """Keep no link."""

    def send(self, peer: InstanceId, message: object) -> None:
        """Drop a message."""


class TestTouch:
    """How long a dispatcher has been in touch with an entry."""

    def test_jobs_may_come_first_after_a_cut(self) -> None:
        own, entry = InstanceId('c1'), InstanceId('e1')
        candidate = Candidate(
            own,
            zone='zone',
            election=Election(own, now=100),
            order='useful-first',
            client=FakeClient({}),
            mesh=cast(Mesh, _NoMesh()),
        )
        for second in range(100, 111):
            beat = EntryBeat(second, 1, own)
            candidate.receive(entry, beat, now=second)
        assert round(candidate.touch_of(entry, now=110.5)) == 10
        # Silent for five seconds, and no heartbeat yet.
        assert not candidate.touch_of(entry, now=115)


@pytest.mark.asyncio
class TestMemory:
    """What a control instance remembers over a restart."""

    async def test_term(self, tmp_path: Path) -> None:
        memory = TermMemory(tmp_path)
        assert not memory.load()
        memory.keep(7)

        async def is_kept() -> bool:
            return TermMemory(tmp_path).load() == 7

        await until(is_kept, seconds=PATIENCE)

    async def test_endpoints(self, tmp_path: Path) -> None:
        reports = (FakeWorker('w0', 16000, rate=1).report(),)
        EndpointMemory(tmp_path).keep(reports)

        async def is_kept() -> bool:
            return EndpointMemory(tmp_path).load() == reports

        await until(is_kept, seconds=PATIENCE)

    @pytest.mark.parametrize('record', [b'\xff\xff', cbor2.dumps([{'a': 1}])])
    async def test_damaged_endpoints(
        self, tmp_path: Path, record: bytes
    ) -> None:
        DurableFile(tmp_path, name='endpoints').save(record)
        assert not EndpointMemory(tmp_path).load()

    async def test_without_a_disk(self) -> None:
        memory = TermMemory(None)
        memory.keep(7)
        assert not memory.load()
        assert not EndpointMemory(None).load()
