"""Submission of sheets, and persistence of the state of a replica."""

import asyncio

from cuminstack.daemon._driver import Driver
from cuminstack.logs import log_event
from cuminstack.node import SheetApplied
from cuminstack.register import Done, Outcome, Persist, encode_state
from cuminstack.settings import LogLevel
from cuminstack.sheet import Sheet
from cuminstack.spread import Diverged
from cuminstack.store import DurableFile, Saved, StoreFailed


class SheetCoordinator:
    """Submits sheets, and writes the state of a replica to disk.

    Args:
        driver: Driver of the node.
        store: Durable store of the state, None without a data folder.
    """

    def __init__(self, driver: Driver, store: DurableFile | None) -> None:
        self._driver = driver
        self._store = store
        self._last_ticket = 0
        self._pending: dict[int, asyncio.Future[Outcome]] = {}
        self._writes: set[asyncio.Future[None]] = set()
        # Serializes the writes, so that states reach the disk in order.
        self._write_lock = asyncio.Lock()
        driver.on_effect(Done, self._resolve_submission)
        driver.on_effect(Persist, self._persist)
        driver.on_effect(SheetApplied, _log_applied)
        driver.on_effect(Diverged, _log_diverged)

    async def submit(self, sheet: Sheet) -> Outcome:
        """Submit a sheet and wait for its outcome."""
        self._last_ticket += 1
        waiter: asyncio.Future[Outcome]
        waiter = asyncio.get_running_loop().create_future()
        self._pending[self._last_ticket] = waiter
        effects = self._driver.node.put_sheet(
            sheet,
            ticket=self._last_ticket,
            now=self._driver.now,
        )
        self._driver.perform(effects)
        return await waiter

    def _resolve_submission(self, effect: Done) -> None:
        waiter = self._pending.pop(effect.ticket, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(effect.outcome)

    def _persist(self, effect: Persist) -> None:
        write = asyncio.ensure_future(self._write_state(effect))
        self._writes.add(write)
        write.add_done_callback(self._writes.discard)

    async def _write_state(self, effect: Persist) -> None:
        saved = await self._save(effect)
        if isinstance(saved, StoreFailed):
            log_event(
                'store.failed',
                LogLevel.error,
                reason=saved.reason,
                number=saved.error_number,
            )
        effects = self._driver.node.persisted(
            effect.sequence,
            saved=isinstance(saved, Saved),
            now=self._driver.now,
        )
        self._driver.perform(effects)

    async def _save(self, effect: Persist) -> Saved | StoreFailed:
        if self._store is None:
            return StoreFailed(0, 'no data folder is configured')
        record = encode_state(effect.state)
        async with self._write_lock:
            return await asyncio.to_thread(self._store.save, record)


def _log_applied(effect: SheetApplied) -> None:
    log_event('sheet.applied', version=effect.sheet.version)


def _log_diverged(effect: Diverged) -> None:
    log_event(
        'sheet.diverged',
        LogLevel.error,
        peer=effect.peer,
        version=effect.version,
    )
