"""Orders to workers in memory."""

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
    """Carries orders to workers in memory, and counts them."""

    def __init__(self, workers: Mapping[EndpointId, FakeWorker]) -> None:
        self._workers = workers
        self.carried = 0
        self.hangs = False

    async def start(self, order: StartRun) -> Started | OrderRefused:
        worker = await self._reach(order)
        return worker.start(order, 0.05, 1000, poison=False, now=steady_now())

    async def stop(self, order: StopRun) -> None:
        worker = await self._reach(order)
        worker.stop(order, steady_now())

    async def hold(self, order: Hold) -> EndpointView | OrderRefused:
        worker = await self._reach(order)
        refusal = worker.take_hold(order, steady_now())
        if refusal is not None:
            return refusal
        give_up = steady_now() + order.wait_ms / 1000
        while not worker.ends and steady_now() < give_up:
            await asyncio.sleep(0.01)
            worker.advance(steady_now())
        return worker.view(steady_now())

    async def _reach(self, order: StartRun | StopRun | Hold) -> FakeWorker:
        self.carried += 1
        if self.hangs:
            # What is carried late is carried after it was voided.
            await asyncio.sleep(HANG_SECONDS)
        return self._workers[order.endpoint]
