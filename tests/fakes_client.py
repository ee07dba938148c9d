"""Fake worker client that delivers orders to in-memory workers."""

import asyncio
from collections.abc import Mapping

from bench.pool import FakeWorker

from cuminstack.core import EndpointId
from cuminstack.pool import (
    EndpointView,
    Hold,
    OrderRefused,
    Started,
    StartRun,
    StopRun,
)
from cuminstack.roles import steady_now

HANG_SECONDS = 0.4


class FakeClient:
    """Worker client that calls in-memory workers and counts the orders.

    Args:
        workers: The workers by endpoint name.
    """

    def __init__(self, workers: Mapping[EndpointId, FakeWorker]) -> None:
        self._workers = workers
        self.order_count = 0
        self.hangs = False

    async def start(self, order: StartRun) -> Started | OrderRefused:
        worker = await self._connect(order)
        return worker.start(order, 0.05, 1000, poison=False, now=steady_now())

    async def stop(self, order: StopRun) -> None:
        worker = await self._connect(order)
        worker.stop(order, steady_now())

    async def hold(self, order: Hold) -> EndpointView | OrderRefused:
        worker = await self._connect(order)
        refusal = worker.take_hold(order, steady_now())
        if refusal is not None:
            return refusal
        hold_deadline = steady_now() + order.wait_ms / 1000
        while not worker.ends and steady_now() < hold_deadline:
            await asyncio.sleep(0.01)
            worker.advance(steady_now())
        return worker.view(steady_now())

    async def _connect(self, order: StartRun | StopRun | Hold) -> FakeWorker:
        self.order_count += 1
        if self.hangs:
            # The order arrives after the dispatcher has voided it.
            await asyncio.sleep(HANG_SECONDS)
        return self._workers[order.endpoint]
