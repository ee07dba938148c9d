"""Tests of the roles over real links, with an in-memory worker."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import cast

import cbor2
import pytest
from bench._polling import until
from bench._ports import LOOPBACK, free_ports
from bench.pool import SERVICE, FakeWorker

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.document import Chosen
from cuminstack.document._records import EMPTY_VALUE, NO_BALLOT
from cuminstack.fleet import Answer, Completed, Election, EntryBeat
from cuminstack.links import Mesh
from cuminstack.pool import (
    JobRequest,
    JobState,
    QueueTerms,
    Resources,
    Step,
)
from cuminstack.roles import ControlRole, EntryRole, RoleSettings
from cuminstack.roles._candidate import Candidate
from cuminstack.roles._restart_state import EndpointStore, TermStore
from cuminstack.store import DurableFile
from fakes_client import FakeClient

TIMEOUT_SECONDS = 30
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
                on_new_value=lambda state: None,
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

    async def crash_control(self) -> None:
        """Stop the control instance without notifying its peers."""
        assert self.control._ticker is not None
        self.control._ticker.cancel()
        await self.control._mesh.stop()

    async def restart_control(self) -> None:
        self.control = self._make_control()
        await self.control.start()

    async def run_job(self, name: str) -> Answer:
        step = Step(count=2, needs=Resources(1000, 64), estimate=0.05)
        request = JobRequest(JobKey(name), 'queue', '', (step,))
        return await self.entries[0].run_job(request, TERMS, seconds=20)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async def is_met() -> bool:
            return condition()

        await until(is_met, seconds=TIMEOUT_SECONDS)

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
            tolerated_failures=0,
            data_folder=folder,
            order='useful-first',
        )

    async def _report(self) -> None:
        while True:
            self.control.observe(self.worker.report())
            await asyncio.sleep(0.1)


@pytest.mark.asyncio
class TestDeputyTakeover:
    """A deputy dispatches while the only control instance is down.

    Guards against jobs that fail between the crash of the control instance
    and its restart, and against a restarted instance whose term is too low.
    """

    async def test_jobs_run_without_control_instances(
        self, tmp_path: Path
    ) -> None:
        fleet = _Fleet(tmp_path)
        entry = fleet.entries[0]
        async with fleet.run():
            await fleet.wait_until(
                lambda: entry.dispatcher == fleet.control_name,
            )
            assert await fleet.run_job('before') == DONE
            await fleet.wait_until(
                lambda: all(
                    entry_role._deputy._candidate.reports
                    for entry_role in fleet.entries
                ),
            )
            term_before = fleet.control.term
            await fleet.crash_control()
            await fleet.wait_until(
                lambda: entry.dispatcher != fleet.control_name,
            )
            assert await fleet.run_job('without') == DONE
            await fleet.restart_control()
            await fleet.wait_until(
                lambda: entry.dispatcher == fleet.control_name,
            )
            assert await fleet.run_job('after') == DONE
            # The deputy's term lies between the two.
            assert fleet.control.term >= term_before + 2


@pytest.mark.asyncio
class TestUnexpectedErrors:
    """An error in one message or tick leaves the process working.

    Guards against one message that raises in its handler, or one tick that
    fails, ending the links or all later ticks of an instance.
    """

    async def test_tick_and_message(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        calls = {'tick': 0, 'message': 0}

        def fail(name: str) -> Callable[..., None]:
            def raise_error(*args: object, **kwargs: object) -> None:
                calls[name] += 1
                raise OverflowError(name)

            return raise_error

        fleet = _Fleet(tmp_path)
        entry = fleet.entries[0]
        async with fleet.run():
            with monkeypatch.context() as patched:
                patched.setattr(EntryRole, '_apply_value', fail('message'))
                patched.setattr(Candidate, 'tick', fail('tick'))
                chosen = Chosen(NO_BALLOT, EMPTY_VALUE)
                entry._mesh.send(entry._settings.own, chosen)
                await fleet.wait_until(
                    lambda: calls['tick'] > 9 and calls['message'] > 0
                )
            await fleet.wait_until(
                lambda: entry.dispatcher == fleet.control_name,
            )
            assert await fleet.run_job('after') == DONE


class _NullMesh:
    """A mesh without links."""

    def add_peers(self, peers: object) -> None:
        """Open no link."""

    def send(self, peer: InstanceId, message: object) -> None:
        """Drop a message."""

    def send_all(self, peers: object, message: object) -> None:
        """Drop a message."""


class TestEntryContact:
    """How long a candidate has been in contact with an entry.

    After a network partition, jobs of an entry may arrive before its first
    heartbeat. Guards against counting the contact before the partition then.
    """

    def test_contact_is_lost_after_silence(self) -> None:
        own, entry = InstanceId('c1'), InstanceId('e1')
        candidate = Candidate(
            own,
            zone='zone',
            election=Election(own, now=100),
            queue_order='useful-first',
            client=FakeClient({}),
            mesh=cast(Mesh, _NullMesh()),
        )
        for second in range(100, 111):
            beat = EntryBeat(second, 1, own)
            candidate.receive(entry, beat, now=second)
        assert round(candidate.contacts.seconds(entry, now=110.5)) == 10
        # No heartbeat has arrived for five seconds.
        assert not candidate.contacts.seconds(entry, now=115)


@pytest.mark.asyncio
class TestRestartState:
    """State of a control instance that survives a restart."""

    async def test_term(self, tmp_path: Path) -> None:
        term_store = TermStore(tmp_path)
        assert not term_store.load()
        term_store.save_in_background(7)

        async def is_saved() -> bool:
            return TermStore(tmp_path).load() == 7

        await until(is_saved, seconds=TIMEOUT_SECONDS)

    # Guards against an installation that has stored a term whose tokens no
    # endpoint can read, and serves nothing after the upgrade.
    @pytest.mark.parametrize('record', [str(2**30), '9' * 5000, '-1', 'x'])
    async def test_unusable_term(self, tmp_path: Path, record: str) -> None:
        DurableFile(tmp_path, name='term').save(record.encode())
        term_store = TermStore(tmp_path)
        assert not term_store.load()
        term_store.save_in_background(7)

        async def is_replaced() -> bool:
            return TermStore(tmp_path).load() == 7

        await until(is_replaced, seconds=TIMEOUT_SECONDS)

    async def test_endpoints(self, tmp_path: Path) -> None:
        reports = (FakeWorker('w0', 16000, rate=1).report(),)
        EndpointStore(tmp_path).save_in_background(reports)

        async def is_saved() -> bool:
            return EndpointStore(tmp_path).load() == reports

        await until(is_saved, seconds=TIMEOUT_SECONDS)

    # Guards against a restarted instance that starts tasks at an endpoint which
    # had said that it drains, or had left, as it knows it from seconds before.
    async def test_departure_is_saved_at_once(self, tmp_path: Path) -> None:
        fleet = _Fleet(tmp_path)
        report = fleet.worker.report()
        fleet.control.observe(report)
        for ticks in range(4):
            await asyncio.sleep(0)
            fleet.control._tick(100 + ticks / 50)
        assert not EndpointStore(tmp_path).load()
        fleet.control.observe(replace(report, draining=True, sequence=9))
        fleet.control._tick(101)
        assert fleet.control._endpoint_store.is_saving

        async def is_saved() -> bool:
            fleet.control._tick(102)
            saved = EndpointStore(tmp_path).load()
            return [each.draining for each in saved] == [True]

        await until(is_saved, seconds=TIMEOUT_SECONDS)
        fleet.control.endpoint_left(report.endpoint)

        async def is_removed() -> bool:
            fleet.control._tick(103)
            return not EndpointStore(tmp_path).load()

        await until(is_removed, seconds=TIMEOUT_SECONDS)

    @pytest.mark.parametrize('record', [b'\xff\xff', cbor2.dumps([{'a': 1}])])
    async def test_damaged_endpoints(
        self, tmp_path: Path, record: bytes
    ) -> None:
        DurableFile(tmp_path, name='endpoints').save(record)
        assert not EndpointStore(tmp_path).load()

    async def test_without_a_disk(self) -> None:
        term_store = TermStore(None)
        term_store.save_in_background(7)
        assert not term_store.load()
        assert not EndpointStore(None).load()
