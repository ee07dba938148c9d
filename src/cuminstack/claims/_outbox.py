"""Outcomes on their way to the replicas, in batches."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.claims._messages import Outcomes, Settled
from cuminstack.core import InstanceId, Send

#: Times that a batch is sent before it is dropped.
_TRIES: Final = 5

#: Seconds between two of them.
_RETRY_SECONDS: Final = 1

#: Seconds that outcomes are collected for before they are sent.
_COLLECT_SECONDS: Final = 0.5

#: Bytes of outcomes in one batch, but for a single larger one.
_BATCH_BYTES: Final = 1_000_000


@dataclass(slots=True)
class _Batch:
    """A batch that was sent and not confirmed."""

    to: InstanceId
    message: Outcomes
    sent_at: float
    tries: int = 1


class Outbox:
    """Collects outcomes for each replica and sends them until confirmed."""

    def __init__(self) -> None:
        self._waiting: dict[InstanceId, list[Settled]] = {}
        self._sent: dict[int, _Batch] = {}
        self._serial = 0
        self._flushed_at = float('-inf')
        self._collects = True

    def stop_collecting(self) -> None:
        """Send each outcome with the next flush, as this instance leaves."""
        self._collects = False

    def put(self, settled: Settled, replicas: Iterable[InstanceId]) -> None:
        """Queue an outcome for some replicas."""
        for replica in replicas:
            self._waiting.setdefault(replica, []).append(settled)

    def confirm(self, sender: InstanceId, serial: int) -> None:
        """Drop a batch that arrived."""
        batch = self._sent.get(serial)
        if batch is not None and batch.to == sender:
            self._sent.pop(serial)

    def flush(self, *, now: float) -> tuple[Send, ...]:
        """Send what is queued, and again what was not confirmed."""
        if self._collects and now - self._flushed_at < _COLLECT_SECONDS:
            return tuple(self._again(now))
        if self._waiting:
            self._flushed_at = now
        fresh = [
            self._first(to, batch, now)
            for to, waiting in sorted(self._waiting.items())
            for batch in _batches(waiting)
        ]
        self._waiting.clear()
        return (*fresh, *self._again(now))

    def _first(
        self,
        to: InstanceId,
        settled: tuple[Settled, ...],
        now: float,
    ) -> Send:
        self._serial += 1
        message = Outcomes(self._serial, settled)
        self._sent[self._serial] = _Batch(to, message, now)
        return Send(to, message)

    def _again(self, now: float) -> list[Send]:
        sends: list[Send] = []
        for serial, batch in tuple(self._sent.items()):
            if now - batch.sent_at < _RETRY_SECONDS:
                continue
            if batch.tries >= _TRIES:
                self._sent.pop(serial)
                continue
            batch.tries += 1
            batch.sent_at = now
            sends.append(Send(batch.to, batch.message))
        return sends


def _batches(waiting: list[Settled]) -> list[tuple[Settled, ...]]:
    """Split outcomes so that no batch outgrows a frame."""
    batches: list[tuple[Settled, ...]] = []
    batch: list[Settled] = []
    size = 0
    for settled in waiting:
        if batch and size + len(settled.outcome) > _BATCH_BYTES:
            batches.append(tuple(batch))
            batch = []
            size = 0
        batch.append(settled)
        size += len(settled.outcome)
    batches.append(tuple(batch))
    return batches
