"""Tests of the work per task that the dispatcher's instance does.

Work that grows with tasks or endpoints must not all be done by the process
that decides: everything would queue at its one event loop.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from bench._polling import until
from bench._ports import LOOPBACK, free_ports
from bench.pool import (
    SERVICE,
    FakeWorker,
    JobPlan,
    PoolWorld,
    check_once_at_a_time,
)
from bench.pool._worker import Span

from cuminstack.core import EndpointId, InstanceId, JobKey
from cuminstack.fleet import Completed
from cuminstack.pool import (
    JobRequest,
    JobState,
    QueueTerms,
    Resources,
    Step,
)
from cuminstack.pool._endpoint import Endpoint
from cuminstack.roles import ControlRole, EntryRole, RoleSettings
from fakes_client import FakeClient

PATIENCE = 30
TERMS = QueueTerms('queue', SERVICE, stretch=2, slack=5)
CONTROLS = 3
ENDPOINTS = 6
JOBS = 12
WIDTH = 3
#: Endpoints of the largest deployment that is simulated.
MANY_ENDPOINTS = 176


class _Fleet:
    """Three control instances, an entry and some endpoints."""

    def __init__(self, folder: Path) -> None:
        names = [
            InstanceId(f'{LOOPBACK}:{port}')
            for port in free_ports(CONTROLS + 1)
        ]
        self._folder = folder
        self._seeds = tuple(names[:CONTROLS])
        workers = (
            FakeWorker(f'w{number}', 16000, rate=1)
            for number in range(ENDPOINTS)
        )
        self.workers = {EndpointId(each.name): each for each in workers}
        self.clients = {name: FakeClient(self.workers) for name in names}
        self.controls = {
            name: ControlRole(
                self._settings(name, folder / str(number)),
                client=self.clients[name],
            )
            for number, name in enumerate(self._seeds)
        }
        self.entry = EntryRole(
            self._settings(names[-1], None),
            client=self.clients[names[-1]],
            on_new_value=lambda state: None,
        )

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        for control in self.controls.values():
            await control.start()
        await self.entry.start()
        reporter = asyncio.create_task(self._report())
        yield
        reporter.cancel()
        await self.entry.stop()
        for control in self.controls.values():
            await control.stop()

    @property
    def spans(self) -> list[Span]:
        return [
            span for worker in self.workers.values() for span in worker.spans
        ]

    async def cut_power(self, name: InstanceId) -> None:
        """Stop a control instance without notice to other instances."""
        control = self.controls[name]
        assert control._ticker is not None
        control._ticker.cancel()
        control._candidate._carrier.stop()
        await control._mesh.stop()

    async def is_settled(self) -> bool:
        """Return whether a control leads and all know all endpoints."""
        leader = self.entry.dispatcher
        return leader in self.controls and all(
            control.endpoints == ENDPOINTS for control in self.controls.values()
        )

    async def run_jobs(self) -> None:
        for turn in range(JOBS):
            step = Step(count=WIDTH, needs=Resources(1000, 64), estimate=0.05)
            request = JobRequest(JobKey(f'job{turn}'), 'queue', '', (step,))
            answer = await self.entry.run_job(request, TERMS, seconds=20)
            assert answer == Completed(JobState.completed)

    def _settings(self, own: InstanceId, folder: Path | None) -> RoleSettings:
        if folder is not None:
            folder.mkdir()
        return RoleSettings(
            own=own,
            zone='zone',
            controls=self._seeds,
            first_start=True,
            tolerated_failures=1,
            data_folder=folder,
            order='useful-first',
        )

    async def _report(self) -> None:
        first = next(iter(self.controls.values()))
        while True:
            for worker in self.workers.values():
                first.observe(worker.report())
            await asyncio.sleep(0.1)


@pytest.mark.asyncio
class TestCarriers:
    """Distribution of orders over carriers."""

    # Guards against the result SHORT on days of high load: the one process
    # that decides also carried every order while the others idled.
    async def test_dispatcher_does_not_carry_all_orders(
        self, tmp_path: Path
    ) -> None:
        fleet = _Fleet(tmp_path)
        async with fleet.run():
            await until(fleet.is_settled, seconds=PATIENCE)
            # A new dispatcher may not know the other instances yet.
            await asyncio.sleep(1)
            for client in fleet.clients.values():
                client.order_count = 0
            await fleet.run_jobs()
            leader = fleet.entry.dispatcher
            assert leader is not None
            carried = [each.order_count for each in fleet.clients.values()]
            assert sum(carried) >= 2 * JOBS
            # At most an even share.
            own = fleet.clients[leader].order_count
            assert own * CONTROLS <= sum(carried)

    # Guards against jobs that wait for a lost carrier, or run twice when a
    # carrier that hung continues.
    @pytest.mark.parametrize('hangs', [True, False])
    async def test_jobs_complete_after_loss_of_a_carrier(
        self, tmp_path: Path, *, hangs: bool
    ) -> None:
        fleet = _Fleet(tmp_path)
        async with fleet.run():
            await until(fleet.is_settled, seconds=PATIENCE)
            await asyncio.sleep(1)
            running = asyncio.create_task(fleet.run_jobs())
            await asyncio.sleep(0.2)
            leader = fleet.entry.dispatcher
            lost = next(name for name in fleet.controls if name != leader)
            if hangs:
                fleet.clients[lost].hangs = True
            else:
                await fleet.cut_power(lost)
            await running
        check_once_at_a_time(fleet.spans)


class TestTicks:
    """Endpoints that the dispatcher examines."""

    # Guards against costs that grow with endpoints and ticks although nothing
    # happens at the endpoints.
    def test_idle_endpoints_are_not_visited(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        world = PoolWorld(workers=MANY_ENDPOINTS)
        world.submit(JobPlan('a', 1, 5, patience=20))
        world.run_for(0.5)
        watch = world.dispatcher._watch
        visits: list[str] = []
        send_due_orders = watch.send_due_orders

        def visit(endpoint, *, now):  # type: ignore[no-untyped-def]
            visits.append(endpoint.report.endpoint)
            return send_due_orders(endpoint, now=now)

        monkeypatch.setattr(watch, 'send_due_orders', visit)
        world.dispatcher.tick(now=world.now + 0.02)
        # Only the endpoint with a run, whose hold may be due.
        assert len(visits) <= 1

    # Guards against an endpoint that is examined too late because its next
    # due time was computed wrongly.
    @pytest.mark.parametrize('seed', range(6))
    def test_same_decisions_as_if_all_were_visited(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ) -> None:
        found = _decisions(seed)
        monkeypatch.setattr(Endpoint, 'due_at', property(lambda _: 0))
        assert found == _decisions(seed)

    # Guards against a sum over all endpoints for each submitted job.
    def test_admission_of_a_job_examines_no_endpoint(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        world = PoolWorld(workers=MANY_ENDPOINTS, millicores=8000)
        for number in range(2 * MANY_ENDPOINTS):
            world.submit(JobPlan(str(number), 1, 1, patience=20))
        world.run_for(0.1)
        asked: list[EndpointId] = []

        def ask(endpoint: Endpoint) -> bool:
            asked.append(endpoint.report.endpoint)
            return True

        monkeypatch.setattr(Endpoint, 'will_take_starts', property(ask))
        world.submit(JobPlan('last', 1, 1, patience=20))
        assert not asked


class _RecordingWorld(PoolWorld):
    """A simulation that records all decisions."""

    def __init__(self, *, seed: int) -> None:
        self.decisions: list[str] = []
        super().__init__(workers=12, seed=seed)

    def perform(self, effects: tuple[object, ...]) -> None:
        self.decisions.extend(map(repr, effects))
        super().perform(effects)


def _decisions(seed: int) -> list[str]:
    """Simulate some faults and return the decisions."""
    world = _RecordingWorld(seed=seed)
    workers = tuple(world.workers.values())
    for worker in workers[:4]:
        worker.faults.lose_answers = 0.2
        worker.faults.late_orders = 0.1
    for number in range(60):
        world.submit(JobPlan(str(number), 3, 0.1, patience=2))
        world.run_for(0.05)
        # Faults of one worker occur while others work.
        workers[number % 12].faults.hangs = not number % 7
        workers[number % 5].faults.dark = number % 10 > 7
        if not number % 20:
            workers[number % 12].crash(world.now)
    world.run_for(3)
    return world.decisions
