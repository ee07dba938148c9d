"""Tests of order routing through carriers, and of the carriers."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from typing import TypeVar

import pytest
from bench.pool import FakeWorker

from cuminstack import wire
from cuminstack.core import EndpointId, InstanceId, JobKey, Send, ZoneName
from cuminstack.fleet import (
    MAX_CARRY_AGE_SECONDS,
    Carried,
    Carry,
    OrderAnswered,
    OrderRouter,
)
from cuminstack.links import Mesh
from cuminstack.pool import (
    EndpointView,
    Hold,
    NoAnswer,
    OrderRefused,
    Refusal,
    RunKey,
    Started,
    StartRun,
    StopRun,
    TaskKey,
)
from cuminstack.roles._batches import BatchSender
from cuminstack.roles._carrier import Carrier
from cuminstack.roles._work import WorkLog

OWN = InstanceId('c0')
CARRIERS = (InstanceId('c1'), InstanceId('c2'), InstanceId('c3'))
SESSION = 7
ENDPOINTS = tuple(EndpointId(f'w{number}') for number in range(30))
FIRST = ENDPOINTS[0]
VIEW = EndpointView(1, 5000, (), ())
#: Seconds by which the carriers' clocks differ from the dispatcher's.
CLOCK_OFFSET = 900


def _start(endpoint: EndpointId = FIRST) -> StartRun:
    run = RunKey(TaskKey(JobKey('a'), 0, 0), 1)
    return StartRun(endpoint, str(endpoint), run, 'payload', 3, 9000)


def _hold(endpoint: EndpointId = FIRST, *, fresh: bool = False) -> Hold:
    return Hold(endpoint, str(endpoint), 1, 3, 0, 9000, 120, fresh=fresh)


_Item = TypeVar('_Item')


def _only(items: Sequence[_Item]) -> _Item:
    assert len(items) == 1
    return items[0]


class _RouterHarness:
    """A dispatcher's order routing, with carriers that can be lost."""

    def __init__(self, carriers: tuple[InstanceId, ...] = CARRIERS) -> None:
        self.now = 100.0
        self.carriers = carriers
        self.clock_offset: float = CLOCK_OFFSET
        self.others: tuple[InstanceId, ...] = ()
        self.lost: set[InstanceId] = set()
        self.router = OrderRouter(OWN, session=SESSION, now=self.now)

    def advance(self, seconds: float = 0.12) -> None:
        """Advance the time, and answer the echo requests that are due."""
        self.now += seconds
        requests = self.router.request_echoes(
            self.carriers, self.others, now=self.now
        )
        for request in requests:
            if request.to not in self.lost:
                self.answer(request.to)

    def answer(
        self,
        carrier: InstanceId,
        *,
        session: int = SESSION,
        started: tuple[tuple[int, int], ...] = (),
        views: tuple[tuple[int, EndpointView], ...] = (),
    ) -> list[OrderAnswered]:
        carried = Carried(
            session,
            self.now,
            self.now + self.clock_offset,
            f'zone of {carrier}',
            started=started,
            views=views,
        )
        return list(self.router.receive(carrier, carried))

    def flush(self, *orders: StartRun | Hold | StopRun) -> tuple[Send, ...]:
        for order in orders:
            self.router.enqueue(order)
        return self.router.flush(now=self.now)

    def route(self, order: StartRun | Hold) -> InstanceId:
        batch = _only(self.flush(order))
        return batch.to


class TestSelection:
    """Selection of the carrier for an order."""

    # Guards against a frame for each order: the fixed cost of many small
    # messages saturates the event loop.
    def test_one_frame_for_each_carrier(self) -> None:
        harness = _RouterHarness()
        harness.advance()
        batches = harness.flush(*(_start(each) for each in ENDPOINTS))
        assert sorted(batch.to for batch in batches) == list(CARRIERS)
        orders = [len(batch.message.starts) for batch in batches]
        assert sum(orders) == len(ENDPOINTS)
        # Spread over all: none has more than twice an even share.
        assert max(orders) <= 2 * len(ENDPOINTS) / len(CARRIERS)

    # Guards against a frame above the size limit: its receiver closes the
    # link, and all runs of a job with many tasks are voided.
    def test_wide_job_with_large_payload(self) -> None:
        harness = _RouterHarness(CARRIERS[:1])
        harness.advance()
        start = replace(_start(), payload='x' * 4000)
        batches = harness.flush(*(start for _ in range(1800)))
        frames = [wire.encode(batch.message) for batch in batches]
        assert max(map(len, frames)) < wire.MAX_FRAME_BYTES / 4
        assert sum(len(each.message.starts) for each in batches) == 1800

    def test_carrier_of_the_zone_comes_first(self) -> None:
        harness = _RouterHarness()
        report = FakeWorker('w0', 1, rate=1).report()
        harness.advance()
        for carrier in CARRIERS:
            zone = ZoneName(f'zone of {carrier}')
            harness.router.record_zone(
                replace(report, zone=zone), now=harness.now
            )
            assert harness.route(_start()) == carrier

    def test_silent_endpoint_is_removed(self) -> None:
        harness = _RouterHarness()
        harness.advance()
        report = FakeWorker('w0', 1, rate=1).report()
        for number in range(50):
            harness.now += 1
            name = EndpointId(f'new{number}')
            moved = replace(report, endpoint=name)
            harness.router.record_zone(moved, now=harness.now)
            harness.route(_start(name))
        assert len(harness.router._selector._routes) <= 30

    def test_lone_dispatcher_carries_itself(self) -> None:
        harness = _RouterHarness(())
        harness.advance()
        assert harness.route(_start()) == OWN

    # Guards against a dispatcher whose carriers are all lost: its own reply was
    # taken for an echo, which nothing renews, and after a second it dropped all
    # its orders as delayed.
    def test_lone_dispatcher_goes_on(self) -> None:
        harness = _RouterHarness(())
        harness.advance()
        for _ in range(20):
            batch = _only(harness.flush(_start()))
            harness.answer(batch.to)
            assert batch.message.heard == harness.now
            harness.advance()

    def test_first_orders_wait_for_carriers(self) -> None:
        harness = _RouterHarness()
        assert not harness.flush(_start())
        harness.advance(0.001)
        assert len(harness.flush()) == 1

    def test_lost_carriers_are_not_waited_for(self) -> None:
        harness = _RouterHarness()
        harness.lost.update(CARRIERS)
        harness.advance(0.001)
        assert not harness.flush(_start())
        harness.advance(0.05)
        batch = _only(harness.flush())
        assert batch.to == OWN

    def test_lost_carrier_is_left_out(self) -> None:
        harness = _RouterHarness()
        harness.advance()
        before = harness.route(_start())
        harness.lost.add(before)
        for _ in range(3):
            harness.advance()
        assert harness.route(_start()) not in {before, OWN}

    # Guards against a carrier that is never used again because its clock
    # restarted with its machine.
    def test_restarted_machine_carries_again(self) -> None:
        harness = _RouterHarness(CARRIERS[:1])
        harness.advance()
        harness.lost.update(CARRIERS)
        for _ in range(4):
            harness.advance()
        assert harness.route(_start()) == OWN
        harness.lost.clear()
        harness.clock_offset = -harness.now
        harness.advance()
        assert harness.route(_start()) == CARRIERS[0]

    # Guards against a metastable failure: a delayed dispatcher takes its
    # carriers for lost, carries all orders itself and is delayed even more.
    def test_delayed_dispatcher_keeps_its_carriers(self) -> None:
        harness = _RouterHarness()
        harness.advance()
        before = harness.route(_start())
        harness.now += 1
        assert harness.route(_start()) == before
        harness.lost.update(CARRIERS)
        harness.advance(0)
        assert harness.route(_start()) == before

    # Guards against overload of a dispatcher that is cut off from all other
    # control instances and carries all orders itself.
    def test_others_carry_where_few_can(self) -> None:
        harness = _RouterHarness()
        harness.others = (InstanceId('e1'), InstanceId('e2'))
        harness.advance()
        harness.advance()
        assert harness.route(_start()) in CARRIERS
        harness.lost.update(CARRIERS)
        for _ in range(5):
            harness.advance()
        assert harness.route(_start()) in harness.others
        harness.lost.clear()
        for _ in range(2):
            harness.advance()
        assert harness.route(_start()) in CARRIERS

    def test_order_is_voided_through_another(self) -> None:
        harness = _RouterHarness()
        harness.advance()
        before = harness.route(_start())
        other = harness.route(_hold(fresh=True))
        assert other != before
        assert harness.route(_start()) == other
        for _ in range(25):
            harness.advance()
        assert harness.route(_start()) == before


class TestAnswers:
    """Matching of answers with orders."""

    def test_answer_is_returned_once(self) -> None:
        harness = _RouterHarness()
        harness.advance()
        batch = _only(harness.flush(_start()))
        asked_at = harness.now
        harness.advance()
        number, order = batch.message.starts[0]
        found = harness.answer(batch.to, started=((number, 4000),))
        assert found == [OrderAnswered(order, asked_at, Started(4000))]
        assert not harness.answer(batch.to, started=((number, 4000),))

    def test_answer_to_another_dispatcher_is_ignored(self) -> None:
        harness = _RouterHarness()
        harness.advance()
        batch = _only(harness.flush(_hold()))
        number, _ = batch.message.holds[0]
        views = ((number, VIEW),)
        assert not harness.answer(batch.to, session=SESSION + 1, views=views)
        assert harness.answer(batch.to, views=views)

    def test_late_answer_is_ignored(self) -> None:
        harness = _RouterHarness()
        harness.advance()
        batch = _only(harness.flush(_hold()))
        number, _ = batch.message.holds[0]
        for _ in range(20):
            harness.advance()
        assert not harness.answer(batch.to, views=((number, VIEW),))


class _FakeEndpointClient:
    """Accepts every start; holds are refused, answered or unanswered."""

    def __init__(self) -> None:
        self.orders: list[object] = []

    async def start(self, order: StartRun) -> Started:
        self.orders.append(order)
        return Started(4000)

    async def stop(self, order: StopRun) -> None:
        self.orders.append(order)

    async def hold(self, order: Hold) -> EndpointView | OrderRefused | NoAnswer:
        self.orders.append(order)
        if order.fresh:
            return OrderRefused(Refusal.fenced)
        return VIEW if order.wait_ms else NoAnswer('lost')


class _CarrierHarness:
    """A carrier and the frames that it sends."""

    def __init__(self) -> None:
        self.client = _FakeEndpointClient()
        self.frames: list[Carried] = []
        mesh = Mesh(OWN, incarnation=1, receive=_drop, reject=_drop)
        self.carrier = Carrier(
            zone='zone',
            client=self.client,
            send=lambda to, frame: self.frames.append(frame),
            work=WorkLog(mesh),
        )

    async def carry(self, carry: Carry, *, now: float = 100) -> None:
        self.carrier.receive(OWN, carry, now=now)
        await asyncio.sleep(0.05)


def _drop(*_: object) -> None:
    """Ignore all arguments."""


@pytest.mark.asyncio
class TestBatches:
    """When a batch is sent."""

    async def test_items_of_one_turn_share_a_batch(self) -> None:
        sent: list[int] = []
        batches = BatchSender(lambda: sent.append(1))
        for _ in range(3):
            batches.schedule()
        await asyncio.sleep(0.05)
        assert len(sent) == 1
        batches.schedule()
        await asyncio.sleep(0.05)
        assert len(sent) == 2

    # Guards against orders of a dispatcher that has resigned meanwhile.
    async def test_stopped_batch_is_not_sent(self) -> None:
        sent: list[int] = []
        batches = BatchSender(lambda: sent.append(1))
        batches.schedule()
        batches.stop()
        await asyncio.sleep(0.05)
        assert not sent


@pytest.mark.asyncio
class TestCarrier:
    """The instance that carries orders."""

    async def test_answers_share_a_frame(self) -> None:
        harness = _CarrierHarness()
        lost = Hold(ENDPOINTS[1], 'w1', 2, 3, 0, None, 0)
        await harness.carry(
            Carry(
                SESSION,
                stamp=5,
                heard=100,
                starts=((1, _start()), (2, _start(ENDPOINTS[1]))),
                holds=((3, _hold()), (4, _hold(fresh=True)), (5, lost)),
                stops=(StopRun(ENDPOINTS[0], 'w0', _start().run, 3),),
            ),
        )
        frame = _only(harness.frames)
        assert frame.stamp == 5
        assert frame.started == ((1, 4000), (2, 4000))
        assert frame.views == ((3, VIEW),)
        assert frame.refused == ((4, Refusal.fenced),)
        assert frame.unanswered == ((5, 'lost'),)
        assert len(harness.client.orders) == 6

    async def test_echo_request_is_answered(self) -> None:
        harness = _CarrierHarness()
        await harness.carry(Carry(SESSION, stamp=5))
        frame = _only(harness.frames)
        assert (frame.session, frame.stamp) == (SESSION, 5)

    # Guards against orders that were delayed in a link that was cut and reach
    # endpoints long after they were voided.
    async def test_delayed_orders_are_dropped(self) -> None:
        harness = _CarrierHarness()
        carry = Carry(SESSION, stamp=5, heard=100, starts=((1, _start()),))
        await harness.carry(carry, now=100.1 + MAX_CARRY_AGE_SECONDS)
        assert not harness.client.orders

    async def test_earlier_dispatcher_gets_no_answers(self) -> None:
        harness = _CarrierHarness()
        carry = Carry(SESSION, stamp=5, heard=100, starts=((1, _start()),))
        harness.carrier.receive(OWN, carry, now=100)
        await harness.carry(Carry(SESSION + 1, stamp=1))
        assert all(not frame.started for frame in harness.frames)
