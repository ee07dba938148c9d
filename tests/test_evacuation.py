"""Tests of evacuations at dispatchers, from the operator to the starts."""

from dataclasses import replace
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import cast

import pytest
from aiohttp.test_utils import TestClient, TestServer
from bench.pool import JobPlan, PoolWorld

from cuminstack.core import InstanceId, ZoneName
from cuminstack.document import (
    EvacuationOrder,
    Evacuations,
    InForce,
    Outcome,
    Unavailable,
    Value,
)
from cuminstack.fleet import Election, EntryBeat, KnownEvacuations, NotRun
from cuminstack.links import Mesh
from cuminstack.platform._operators import ControlApi
from cuminstack.platform._settings import decode_settings
from cuminstack.pool import JobState
from cuminstack.roles import ControlRole
from cuminstack.roles._candidate import Candidate
from fakes_client import FakeClient
from test_roles import DONE, _Fleet, _NullMesh

ZONE = ZoneName('zone')
OTHER = ZoneName('other')
OWN, ENTRY = InstanceId('c1'), InstanceId('e1')


def _pool(*, cold: float = 0) -> PoolWorld:
    """Return a pool with one worker in a zone and two in another one."""
    world = PoolWorld()
    for name in ('w1', 'w2'):
        world.workers[name].zone = OTHER
    world.workers['w0'].cold_seconds = cold
    world.run_for(1.5)
    return world


def _evacuate(world: PoolWorld, *zones: ZoneName) -> None:
    world.perform(world.dispatcher.evacuate(zones, now=world.now))


def _submit_many(world: PoolWorld, prefix: str, jobs: int) -> None:
    for number in range(jobs):
        plan = JobPlan(f'{prefix}{number}', 2, 0.2, patience=30, slack=20)
        world.after(number * 0.02, partial(world.submit, plan))


class TestDispatcher:
    """What a dispatcher starts where."""

    # Guards against starts in an evacuated zone while other zones are full,
    # against runs there that are stopped, and against capacity that is counted
    # although nothing may be started on it.
    def test_nothing_starts_and_nothing_stops(self) -> None:
        world = _pool()
        _submit_many(world, 'a', 9)
        world.run_for(0.15)
        evacuated = world.workers['w0']
        begun = len(evacuated.spans)
        assert evacuated.running
        _evacuate(world, ZONE)
        _submit_many(world, 'b', 40)
        world.run_for(20)
        world.check()
        assert len(evacuated.spans) == begun
        assert len(world.results) == 49
        for result in world.results.values():
            assert result.state is JobState.completed
        index = world.dispatcher._capacity_index
        assert index.capacity('desk', now=world.now) == 32000

    # Guards against jobs that wait for their deadlines without any endpoint
    # that may run them.
    def test_last_zone_refuses_at_once(self) -> None:
        world = _pool()
        _submit_many(world, 'a', 20)
        world.run_for(0.5)
        _evacuate(world, ZONE, OTHER)
        world.submit(JobPlan('late', 1, 0.1, patience=30))
        assert world.results['late'].state is None
        world.run_for(1)
        states = [result.state for result in world.results.values()]
        assert set(states) == {None, JobState.completed}
        # A job of which a task has run can't be refused.
        live = world.dispatcher._jobs.live
        assert all(job.may_have_run for job in live)
        _evacuate(world)
        world.submit(JobPlan('again', 1, 0.1))
        world.run_for(5)
        assert world.results['again'].state is JobState.completed

    # Guards against a zone full of slow tasks as soon as it is used again.
    def test_cold_zone_is_filled_gradually(self) -> None:
        world = _pool(cold=4)
        _evacuate(world, ZONE)
        _evacuate(world)
        _submit_many(world, 'a', 200)
        world.run_for(1)
        assert len(world.workers['w0'].running) == 1
        world.run_for(4)
        assert len(world.workers['w0'].running) == 2

    # Guards against a withdrawal that leaves warm endpoints partly unused.
    def test_warm_zone_is_filled_at_once(self) -> None:
        world = _pool()
        _evacuate(world, ZONE)
        _evacuate(world)
        _submit_many(world, 'a', 20)
        world.run_for(0.3)
        assert len(world.workers['w0'].running) == 2


class TestKnowledge:
    """What an instance goes by."""

    # Guards against starts in a zone whose evacuation this instance accepted
    # and may have been acknowledged, in each order of events.
    def test_accepted_and_in_force(self) -> None:
        known = KnownEvacuations()
        known.accept(Evacuations(7, (ZONE,)))
        assert known.zones == {ZONE}
        known.learn(Evacuations(5, (OTHER,)))
        assert known.zones == {ZONE, OTHER}
        known.learn(Evacuations(8))
        assert not known.zones
        known.learn(Evacuations(6, (ZONE,)))
        assert not known.zones
        known.learn(Evacuations(9, (ZONE,)))
        known.accept(Evacuations(10))
        assert known.zones == {ZONE}

    # Guards against a dispatcher that takes over, or was cut off from other
    # control instances, and starts tasks before it knows the evacuations.
    @pytest.mark.asyncio
    @pytest.mark.parametrize('source', ['replica', 'entry'])
    async def test_known_before_the_first_start(self, source: str) -> None:
        report = replace(PoolWorld().workers['w0'].report(), zone=ZONE)
        candidate = Candidate(
            OWN,
            zone='zone',
            election=Election(OWN, now=100),
            queue_order='useful-first',
            client=FakeClient({}),
            mesh=cast(Mesh, _NullMesh()),
            reports=(report,),
        )
        if source == 'replica':
            candidate.learn_evacuations(Evacuations(7, (ZONE,)), now=100)
        else:
            beat = EntryBeat(1, 1, OWN, revision=7, evacuations=(ZONE,))
            candidate.receive(ENTRY, beat, now=100)
        for step in range(49):
            candidate.tick(now=100 + step * 0.02)
            dispatcher = candidate._dispatcher
            if dispatcher is not None:
                endpoints = dispatcher._dispatcher.endpoints
                assert [each.is_evacuated for each in endpoints] == [True]
        assert candidate.leads


async def _order(fleet: _Fleet, *, starts: bool) -> None:
    order = EvacuationOrder(ZONE, starts=starts)
    outcome = await fleet.control.order_evacuation(order)
    assert isinstance(outcome, InForce)


async def _follow_control(fleet: _Fleet) -> None:
    await fleet.wait_until(
        lambda: fleet.entries[0].dispatcher == fleet.control_name
    )


async def _check_refusal(fleet: _Fleet, name: str) -> None:
    assert isinstance(await fleet.run_job(name), NotRun)


@pytest.mark.asyncio
class TestTakeover:
    """Evacuations over real links, at the same version of the desired state."""

    # Guards against evacuations that never reach a deputy.
    async def test_deputy(self, tmp_path: Path) -> None:
        fleet = _Fleet(tmp_path)
        async with fleet.run():
            await _follow_control(fleet)
            assert await fleet.run_job('before') == DONE
            await _order(fleet, starts=True)
            await _check_refusal(fleet, 'evacuated')
            await fleet.wait_until(
                lambda: all(
                    each._evacuations.zones and each._deputy._candidate.reports
                    for each in fleet.entries
                )
            )
            await fleet.crash_control()
            await fleet.wait_until(
                lambda: any(each._deputy.leads for each in fleet.entries)
            )
            await _check_refusal(fleet, 'deputy')

    # Guards against entries that missed an evacuation and never learn of it, as
    # the version of the desired state is unchanged.
    async def test_entry_that_starts_later(self, tmp_path: Path) -> None:
        fleet = _Fleet(tmp_path)
        fleet.control.observe(fleet.worker.report())
        await fleet.control.start()
        await _order(fleet, starts=True)
        entry = fleet.entries[0]
        await entry.start()
        await fleet.wait_until(lambda: entry._evacuations.zones == (ZONE,))
        await entry.stop()
        await fleet.control.stop()

    # Guards against evacuations that a restarted control instance forgets, and
    # against withdrawals that have no effect.
    async def test_restart(self, tmp_path: Path) -> None:
        fleet = _Fleet(tmp_path)
        async with fleet.run():
            await _follow_control(fleet)
            await _order(fleet, starts=True)
            await fleet.crash_control()
            restarted = fleet._make_control()
            restarted._learn_evacuations(100)
            assert restarted.evacuated_zones == {ZONE}
            await fleet.restart_control()
            await _follow_control(fleet)
            await _check_refusal(fleet, 'restarted')
            await _order(fleet, starts=False)
            assert await fleet.run_job('after') == DONE

    # Guards against an unknown zone that is taken, and against a known one that
    # is refused for good as a restarted instance hasn't heard its endpoints.
    async def test_unknown_zone(self, tmp_path: Path) -> None:
        fleet = _Fleet(tmp_path)
        order = EvacuationOrder(ZoneName('unknown'), starts=True)
        async with fleet.run():
            early = await fleet.control.order_evacuation(order)
            assert isinstance(early, Unavailable)
            candidate = fleet.control._candidate
            candidate._heard_endpoints_at = 0
            assert await fleet.control.order_evacuation(order) is None
            assert not fleet.control.evacuated_zones


class _FakeRole:
    """A control role that knows one zone."""

    def __init__(self) -> None:
        self.orders: list[EvacuationOrder] = []
        self.outcome: Outcome = InForce(Value(0, b'', ()))

    async def order_evacuation(self, order: EvacuationOrder) -> Outcome | None:
        self.orders.append(order)
        return self.outcome if order.zone == ZONE else None


class TestRequests:
    """Requests of operators."""

    # Guards against answers that end an operator's retries too early or late.
    @pytest.mark.asyncio
    async def test_answers(self) -> None:
        role = _FakeRole()
        app = ControlApi(cast(ControlRole, role)).make_app()
        async with TestClient(TestServer(app)) as client:

            async def post(call: str) -> int:
                response = await client.post(f'/api/Evacuation.{call}')
                return response.status

            assert await post('Start/zone') == HTTPStatus.OK
            assert await post('Finish/zone') == HTTPStatus.OK
            assert await post('Start/unknown') == HTTPStatus.BAD_REQUEST
            role.outcome = Unavailable()
            unavailable = await post('Start/zone')
            assert unavailable == HTTPStatus.SERVICE_UNAVAILABLE
        starts = [order.starts for order in role.orders]
        assert starts == [True, False, True, True]

    # Guards against a zone without endpoints that counts as unknown.
    @pytest.mark.parametrize(
        'zones', [{'zone': {}}, ['zone'], [{'name': 'zone'}]]
    )
    def test_zones_of_the_settings(self, zones: object) -> None:
        settings = decode_settings(
            {
                'ip': '10.1.0.13',
                'zone': 'z',
                'ephemeralPorts': [7720, 7735],
                'zones': zones,
            },
        )
        assert settings.role.zones == {ZONE}
