"""Tests of speeds of endpoints that outlast their dispatcher."""

import math
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import cbor2
import pytest
from bench.pool import JobPlan, PoolWorld

from cuminstack.core import EndpointId, InstanceId, ZoneName
from cuminstack.fleet import (
    Election,
    EndpointReports,
    SpeedChange,
    SpeedPublisher,
    SpeedRecords,
    SpeedUpdate,
)
from cuminstack.links import Mesh
from cuminstack.pool import (
    EndKind,
    EndpointSpeeds,
    SpeedFigure,
    SpeedTable,
)
from cuminstack.pool._endpoint import Endpoint
from cuminstack.roles._candidate import Candidate
from cuminstack.wire import decode, encode
from fakes_client import FakeClient
from fakes_pool import make_endpoint

_NOW = 1000.0


def _figure(
    name: str, slowness: float = 1.0, *, lifetime: int = 1, age: float = 0
) -> SpeedFigure:
    return SpeedFigure(
        endpoint=EndpointId(name),
        lifetime=lifetime,
        log=math.log(slowness),
        variance=0.0025,
        slowness=slowness,
        age=age,
    )


def _table(*slownesses: float, lifetime: int = 1, age: float = 0) -> SpeedTable:
    return SpeedTable(
        tuple(
            _figure(f'w{number}', slowness, lifetime=lifetime, age=age)
            for number, slowness in enumerate(slownesses)
        )
    )


def _make_endpoints(*names: str) -> dict[EndpointId, Endpoint]:
    return {EndpointId(name): make_endpoint(name) for name in names}


def _hand_over(world: PoolWorld) -> SpeedTable:
    """Return the speeds that a successor of the dispatcher knows."""
    now = world.now
    publisher = SpeedPublisher(now=now)
    records = SpeedRecords()
    table = world.dispatcher.speeds.snapshot(now=now)
    update = publisher.update(table, term=1, now=now)
    assert update is not None
    records.receive(update, now=now)
    return records.table(now=now)


class TestPublisher:
    """What a dispatcher sends, and how often."""

    # Deployments with uniform endpoints are to be served as before.
    def test_nothing_is_sent_if_all_are_alike(self) -> None:
        publisher = SpeedPublisher(now=_NOW)
        table = _table(1, 1, 1)
        assert publisher.update(table, term=1, now=_NOW + 2) is None

    def test_changes_are_sent(self) -> None:
        publisher = SpeedPublisher(now=_NOW)
        assert not publisher.is_due(now=_NOW + 1.9)
        before = [1 + number / 100 for number in range(100)]
        publisher.update(_table(*before), term=1, now=_NOW + 2)
        assert not publisher.is_due(now=_NOW + 3.9)
        table = _table(*before[:99], 3)
        update = publisher.update(table, term=1, now=_NOW + 4)
        assert update is not None
        assert _figure('w99', 3) in update.table.figures
        assert len(update.table.figures) == 33
        change = publisher.largest_change
        assert change == SpeedChange(_figure('w99', 3), before[99])
        assert change.is_large

    def test_distribution(self) -> None:
        table = _table(0.6, 0.65, 1, 1.6, 30)
        counts = {
            bound: count for bound, count in table.distribution.items() if count
        }
        assert counts == {'0.7': 2, '1.0': 1, '2.0': 1, 'inf': 1}

    # Guards against an instance that missed an update, and starts without it
    # minutes later.
    def test_all_figures_come_round(self) -> None:
        publisher = SpeedPublisher(now=_NOW)
        table = _table(*(1 + number / 100 for number in range(100)))
        publisher.update(table, term=1, now=_NOW)
        records = SpeedRecords()
        for number in range(4):
            update = publisher.update(table, term=1, now=_NOW + number * 2)
            assert update is not None
            records.receive(update, now=_NOW + number * 2)
        assert len(records.table(now=_NOW + 8).figures) == 100

    def test_message(self) -> None:
        update = SpeedUpdate(3, 4, _table(0.6, 1.6))
        message = EndpointReports((), update)
        assert decode(encode(message)) == message

    # An instance of an earlier version sends no speeds.
    def test_message_of_an_earlier_version(self) -> None:
        frame = cbor2.dumps([1, 'fleet.endpoint_reports', {'reports': []}])
        assert decode(frame) == EndpointReports((), None)


class TestRecords:
    """What a possible successor knows."""

    @pytest.mark.parametrize(('term', 'version'), [(2, 5), (2, 4), (1, 9)])
    def test_older_updates_are_ignored(self, term: int, version: int) -> None:
        records = SpeedRecords()
        records.receive(SpeedUpdate(2, 5, _table(1.6)), now=_NOW)
        records.receive(SpeedUpdate(term, version, _table(0.6)), now=_NOW)
        assert records.table(now=_NOW) == _table(1.6)

    def test_updates_are_merged(self) -> None:
        records = SpeedRecords()
        records.receive(SpeedUpdate(2, 5, _table(1.6, 1.5)), now=_NOW)
        records.receive(SpeedUpdate(3, 1, _table(0.6)), now=_NOW)
        assert set(records.table(now=_NOW).figures) == {
            _figure('w0', 0.6),
            _figure('w1', 1.5),
        }

    def test_figures_keep_their_age(self) -> None:
        records = SpeedRecords()
        records.receive(SpeedUpdate(2, 5, _table(1.6, age=3)), now=_NOW)
        assert records.table(now=_NOW + 10) == _table(1.6, age=13)

    def test_gone_endpoints_are_removed(self) -> None:
        records = SpeedRecords()
        records.receive(SpeedUpdate(2, 5, _table(1.6, 0.6)), now=_NOW)
        records.keep_only([EndpointId('w0')])
        assert records.table(now=_NOW) == _table(1.6)

    # A number out of range would spoil the mean of the whole service.
    @pytest.mark.parametrize(
        'change',
        [
            {'log': math.nan},
            {'log': 10.0},
            {'variance': math.inf},
            {'variance': -1.0},
            {'age': -1.0},
        ],
    )
    def test_implausible_figures_are_ignored(
        self, change: dict[str, Any]
    ) -> None:
        records = SpeedRecords()
        wrong = replace(_figure('w0', 1.6), **change)
        records.receive(SpeedUpdate(2, 5, SpeedTable((wrong,))), now=_NOW)
        assert not records.table(now=_NOW).figures

    def test_deputies_get_their_zones(self) -> None:
        update = SpeedUpdate(2, 5, _table(1.6, 0.6))
        east, west = ZoneName('east'), ZoneName('west')
        zone_of = {EndpointId('w0'): east, EndpointId('w1'): west}
        assert update.select((), zone_of) == update
        selected = update.select((east,), zone_of)
        assert selected == SpeedUpdate(2, 5, _table(1.6))


class TestRestore:
    """What a dispatcher makes of the table of its predecessor."""

    def test_speeds_are_used(self) -> None:
        endpoints = _make_endpoints('w0', 'w1', 'w2')
        speeds = EndpointSpeeds(endpoints)
        speeds.restore(_table(0.6, 1, 1.6), now=_NOW)
        slownesses = [speeds.slowness(name) for name in endpoints]
        assert slownesses == pytest.approx([0.6, 1, 1.6], rel=0.05)

    def test_other_lifetimes_are_ignored(self) -> None:
        speeds = EndpointSpeeds(_make_endpoints('w0', 'w1', 'w2'))
        speeds.restore(_table(0.6, 1, 1.6, lifetime=2), now=_NOW)
        assert not speeds.snapshot(now=_NOW).figures

    def test_endpoint_that_is_known_later(self) -> None:
        endpoints = _make_endpoints('w0', 'w1')
        speeds = EndpointSpeeds(endpoints)
        speeds.restore(_table(0.6, 1.0, 1.6), now=_NOW)
        endpoints.update(_make_endpoints('w2'))
        slowness = speeds.slowness(EndpointId('w2'))
        assert slowness == pytest.approx(1.6, rel=0.2)

    def test_old_figures_are_uncertain(self) -> None:
        uncertainties = []
        for age in (0, 60, 3600):
            speeds = EndpointSpeeds(_make_endpoints('w0', 'w1', 'w2'))
            speeds.restore(_table(0.6, 1, 1.6, age=age), now=_NOW)
            uncertainties.append(speeds.uncertainty(EndpointId('w0')))
        assert uncertainties == sorted(uncertainties)
        assert uncertainties[1] * 10 < 1
        assert uncertainties[2] * 3 > 1

    def test_measured_speeds_are_kept(self) -> None:
        endpoints = _make_endpoints('w0')
        speeds = EndpointSpeeds(endpoints)
        for endpoint in endpoints.values():
            speeds.record(endpoint, 1, 3, now=_NOW)
        before = speeds.snapshot(now=_NOW)
        speeds.restore(_table(0.6), now=_NOW)
        assert speeds.snapshot(now=_NOW) == before


class TestTakeover:
    """A dispatcher takes over from one that has learned the speeds."""

    # A fault by the factor of 2.5 is within what unknown endpoints differ by,
    # so a successor without the table leaves the run where it is at first.
    @pytest.mark.parametrize('has_table', [True, False])
    def test_lagging_run_is_found(self, *, has_table: bool) -> None:
        world = PoolWorld(workers=3, millicores=64_000)
        for worker, speed in zip(
            world.workers.values(), (0.6, 1, 1.6), strict=True
        ):
            worker.slowness = speed
        for number in range(30):
            plan = JobPlan(f'a{number}', 6, 0.2, millicores=27_000)
            world.submit(plan)
            world.run_for(0.5)
        table = _hand_over(world)
        world.lead(term=2)
        if has_table:
            world.dispatcher.speeds.restore(table, now=world.now)
        world.run_for(0.1)
        world.workers['w1'].faults.slow = 2.5
        world.submit(JobPlan('b', 6, 0.8, millicores=27_000))
        world.run_for(0.4)
        moved = {
            span.worker for span in world.spans if span.kind is EndKind.stopped
        }
        assert bool(moved) is has_table
        assert moved <= {'w1'}

    @pytest.mark.asyncio
    async def test_candidate_starts_with_the_table(self) -> None:
        own, other = InstanceId('c1'), InstanceId('c2')
        mesh = SimpleNamespace(
            send=lambda peer, message: None,
            send_all=lambda peers, message: None,
            frames_sent=0,
            frames_received=0,
        )
        election = Election(own, now=_NOW)
        candidate = Candidate(
            own,
            zone='zone',
            election=election,
            queue_order='useful-first',
            client=FakeClient({}),
            mesh=cast(Mesh, mesh),
        )
        for name in ('w0', 'w1', 'w2'):
            candidate.observe(make_endpoint(name).report, now=_NOW)
        update = SpeedUpdate(1, 1, _table(0.6, 1.0, 1.6))
        candidate.receive(other, EndpointReports((), update), now=_NOW)
        candidate._start_dispatching(2, _NOW + 1)
        published = candidate.speed_update(now=_NOW + 4)
        assert published is not None
        assert published.term == 2
        slownesses = [each.slowness for each in published.table.figures]
        assert slownesses == pytest.approx([0.6, 1, 1.6], rel=0.05)
