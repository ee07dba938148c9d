"""Which instance carries an order, and what becomes of its answer."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from typing import TypeVar

import pytest
from bench.pool import FakeWorker

from cuminstack import wire
from cuminstack.core import EndpointId, InstanceId, JobKey, Send, ZoneName
from cuminstack.fleet import (
    CARRY_SECONDS,
    Carriage,
    Carried,
    Carry,
    OrderAnswered,
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
#: Clocks of carriers, which differ from the dispatcher's.
CLOCK = 900


def _start(endpoint: EndpointId = FIRST) -> StartRun:
    run = RunKey(TaskKey(JobKey('a'), 0, 0), 1)
    return StartRun(endpoint, str(endpoint), run, 'payload', 3, 9000)


def _hold(endpoint: EndpointId = FIRST, *, fresh: bool = False) -> Hold:
    return Hold(endpoint, str(endpoint), 1, 3, 0, 9000, 120, fresh=fresh)


_Item = TypeVar('_Item')


def _only(items: Sequence[_Item]) -> _Item:
    assert len(items) == 1
    return items[0]


class _World:
    """A dispatcher's carriage, and carriers that answer or don't."""

    def __init__(self, carriers: tuple[InstanceId, ...] = CARRIERS) -> None:
        self.now = 100.0
        self.carriers = carriers
        self.clock: float = CLOCK
        self.others: tuple[InstanceId, ...] = ()
        self.lost: set[InstanceId] = set()
        self.carriage = Carriage(OWN, session=SESSION, now=self.now)

    def turn(self, seconds: float = 0.12) -> None:
        """Ask for echoes, and get them."""
        self.now += seconds
        asks = self.carriage.ask(self.carriers, self.others, now=self.now)
        for ask in asks:
            if ask.to not in self.lost:
                self.answer(ask.to)

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
            self.now + self.clock,
            f'zone of {carrier}',
            started=started,
            views=views,
        )
        return list(self.carriage.receive(carrier, carried))

    def collect(self, *orders: StartRun | Hold | StopRun) -> tuple[Send, ...]:
        for order in orders:
            self.carriage.give(order)
        return self.carriage.collect(now=self.now)

    def place(self, order: StartRun | Hold) -> InstanceId:
        batch = _only(self.collect(order))
        return batch.to


class TestChoice:
    """Which carrier an order goes to."""

    # Guards against a frame for each order: the pattern is many small
    # messages, whose fixed cost fills the loop.
    def test_one_frame_for_each_carrier(self) -> None:
        world = _World()
        world.turn()
        batches = world.collect(*(_start(each) for each in ENDPOINTS))
        assert sorted(batch.to for batch in batches) == list(CARRIERS)
        orders = [len(batch.message.starts) for batch in batches]
        assert sum(orders) == len(ENDPOINTS)
        # Spread over all: none has more than twice an even share.
        assert max(orders) <= 2 * len(ENDPOINTS) / len(CARRIERS)

    # Guards against a frame that is too large to be read, so that the link
    # closes and everything that a job of many tasks has started is voided.
    def test_wide_job_with_large_payload(self) -> None:
        world = _World(CARRIERS[:1])
        world.turn()
        start = replace(_start(), payload='x' * 4000)
        batches = world.collect(*(start for _ in range(1800)))
        frames = [wire.encode(batch.message) for batch in batches]
        assert max(map(len, frames)) < wire.MAX_FRAME_BYTES / 4
        assert sum(len(each.message.starts) for each in batches) == 1800

    def test_carrier_of_the_zone_comes_first(self) -> None:
        world = _World()
        report = FakeWorker('w0', 1, rate=1).report()
        world.turn()
        for carrier in CARRIERS:
            zone = ZoneName(f'zone of {carrier}')
            world.carriage.locate(replace(report, zone=zone), now=world.now)
            assert world.place(_start()) == carrier

    def test_endpoint_that_is_gone_is_forgotten(self) -> None:
        world = _World()
        world.turn()
        report = FakeWorker('w0', 1, rate=1).report()
        for number in range(50):
            world.now += 1
            name = EndpointId(f'new{number}')
            moved = replace(report, endpoint=name)
            world.carriage.locate(moved, now=world.now)
            world.place(_start(name))
        assert len(world.carriage._carriers._routes) <= 30

    def test_alone(self) -> None:
        world = _World(())
        world.turn()
        assert world.place(_start()) == OWN

    def test_first_orders_wait_for_carriers(self) -> None:
        world = _World()
        assert not world.collect(_start())
        world.turn(0.001)
        assert len(world.collect()) == 1

    def test_lost_carriers_are_not_waited_for(self) -> None:
        world = _World()
        world.lost.update(CARRIERS)
        world.turn(0.001)
        assert not world.collect(_start())
        world.turn(0.05)
        batch = _only(world.collect())
        assert batch.to == OWN

    def test_lost_carrier_is_left_out(self) -> None:
        world = _World()
        world.turn()
        before = world.place(_start())
        world.lost.add(before)
        for _ in range(3):
            world.turn()
        assert world.place(_start()) not in {before, OWN}

    # Guards against a carrier that is left out for good, as its clock began
    # anew when its machine did.
    def test_restarted_machine_carries_again(self) -> None:
        world = _World(CARRIERS[:1])
        world.turn()
        world.lost.update(CARRIERS)
        for _ in range(4):
            world.turn()
        assert world.place(_start()) == OWN
        world.lost.clear()
        world.clock = -world.now
        world.turn()
        assert world.place(_start()) == CARRIERS[0]

    # Guards against a metastable failure: a late dispatcher that takes its
    # carriers for lost, carries all itself, and so gets later still.
    def test_late_dispatcher_keeps_its_carriers(self) -> None:
        world = _World()
        world.turn()
        before = world.place(_start())
        world.now += 1
        assert world.place(_start()) == before
        world.lost.update(CARRIERS)
        world.turn(0)
        assert world.place(_start()) == before

    # Guards against a dispatcher that is cut off from all other control
    # instances, and is late for carrying all orders itself.
    def test_others_carry_where_few_can(self) -> None:
        world = _World()
        world.others = (InstanceId('e1'), InstanceId('e2'))
        world.turn()
        world.turn()
        assert world.place(_start()) in CARRIERS
        world.lost.update(CARRIERS)
        for _ in range(5):
            world.turn()
        assert world.place(_start()) in world.others
        world.lost.clear()
        for _ in range(2):
            world.turn()
        assert world.place(_start()) in CARRIERS

    def test_order_is_voided_through_another(self) -> None:
        world = _World()
        world.turn()
        before = world.place(_start())
        other = world.place(_hold(fresh=True))
        assert other != before
        assert world.place(_start()) == other
        for _ in range(25):
            world.turn()
        assert world.place(_start()) == before


class TestAnswers:
    """Answers are matched with orders, each once."""

    def test_once(self) -> None:
        world = _World()
        world.turn()
        batch = _only(world.collect(_start()))
        asked_at = world.now
        world.turn()
        number, order = batch.message.starts[0]
        found = world.answer(batch.to, started=((number, 4000),))
        assert found == [OrderAnswered(order, asked_at, Started(4000))]
        assert not world.answer(batch.to, started=((number, 4000),))

    def test_of_another_dispatcher(self) -> None:
        world = _World()
        world.turn()
        batch = _only(world.collect(_hold()))
        number, _ = batch.message.holds[0]
        views = ((number, VIEW),)
        assert not world.answer(batch.to, session=SESSION + 1, views=views)
        assert world.answer(batch.to, views=views)

    def test_too_late(self) -> None:
        world = _World()
        world.turn()
        batch = _only(world.collect(_hold()))
        number, _ = batch.message.holds[0]
        for _ in range(20):
            world.turn()
        assert not world.answer(batch.to, views=((number, VIEW),))


class _Client:
    """Answers starts at once, and holds in several ways."""

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


class _Carrier:
    """A carrier, and the frames that it sends."""

    def __init__(self) -> None:
        self.client = _Client()
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
    """Take nothing."""


@pytest.mark.asyncio
class TestBatches:
    """When what was gathered is sent."""

    async def test_what_comes_together_goes_together(self) -> None:
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
    async def test_nothing_after_the_end(self) -> None:
        sent: list[int] = []
        batches = BatchSender(lambda: sent.append(1))
        batches.schedule()
        batches.stop()
        await asyncio.sleep(0.05)
        assert not sent


@pytest.mark.asyncio
class TestCarrier:
    """What the instance does that carries orders."""

    async def test_answers_share_a_frame(self) -> None:
        world = _Carrier()
        lost = Hold(ENDPOINTS[1], 'w1', 2, 3, 0, None, 0)
        await world.carry(
            Carry(
                SESSION,
                stamp=5,
                heard=100,
                starts=((1, _start()), (2, _start(ENDPOINTS[1]))),
                holds=((3, _hold()), (4, _hold(fresh=True)), (5, lost)),
                stops=(StopRun(ENDPOINTS[0], 'w0', _start().run, 3),),
            ),
        )
        frame = _only(world.frames)
        assert frame.stamp == 5
        assert frame.started == ((1, 4000), (2, 4000))
        assert frame.views == ((3, VIEW),)
        assert frame.refused == ((4, Refusal.fenced),)
        assert frame.unanswered == ((5, 'lost'),)
        assert len(world.client.orders) == 6

    async def test_echo(self) -> None:
        world = _Carrier()
        await world.carry(Carry(SESSION, stamp=5))
        frame = _only(world.frames)
        assert (frame.session, frame.stamp) == (SESSION, 5)

    # Guards against orders that a link held up while it was cut: they would
    # reach endpoints long after they were voided.
    async def test_orders_that_were_held_up_are_dropped(self) -> None:
        world = _Carrier()
        carry = Carry(SESSION, stamp=5, heard=100, starts=((1, _start()),))
        await world.carry(carry, now=100.1 + CARRY_SECONDS)
        assert not world.client.orders

    async def test_earlier_dispatcher_gets_no_answers(self) -> None:
        world = _Carrier()
        carry = Carry(SESSION, stamp=5, heard=100, starts=((1, _start()),))
        world.carrier.receive(OWN, carry, now=100)
        await world.carry(Carry(SESSION + 1, stamp=1))
        assert all(not frame.started for frame in world.frames)
