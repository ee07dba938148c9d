"""Batched delivery of outcomes to the replicas."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.claims._messages import Outcomes, Settled
from cuminstack.core import InstanceId, Send

#: Number of times that a batch is sent before it is dropped.
_MAX_SENDS: Final = 5

#: Interval between two sends of a batch.
_RETRY_SECONDS: Final = 1

#: Time for which outcomes are collected into batches.
_BATCHING_SECONDS: Final = 0.5

#: Maximum size of the outcomes in a batch; a larger outcome is sent alone.
_MAX_BATCH_BYTES: Final = 1_000_000


@dataclass(slots=True)
class _Batch:
    """Batch that was sent and is not yet confirmed."""

    to: InstanceId
    message: Outcomes
    sent_at: float
    attempts: int = 1


class Outbox:
    """Batches outcomes by replica and resends them until confirmed."""

    def __init__(self) -> None:
        self._waiting: dict[InstanceId, list[Settled]] = {}
        self._sent: dict[int, _Batch] = {}
        self._serial = 0
        self._flushed_at = float('-inf')
        self._is_batching = True

    def stop_batching(self) -> None:
        """Send outcomes with the next flush, as this instance shuts down."""
        self._is_batching = False

    def put(self, settled: Settled, replicas: Iterable[InstanceId]) -> None:
        """Queue an outcome for these replicas."""
        for replica in replicas:
            self._waiting.setdefault(replica, []).append(settled)

    def confirm(self, sender: InstanceId, serial: int) -> None:
        """Drop a batch that its receiver confirmed."""
        batch = self._sent.get(serial)
        if batch is not None and batch.to == sender:
            self._sent.pop(serial)

    def flush(self, *, now: float) -> tuple[Send, ...]:
        """Return the queued batches and those due for a resend."""
        if self._is_batching and now - self._flushed_at < _BATCHING_SECONDS:
            return tuple(self._resend_due(now))
        if self._waiting:
            self._flushed_at = now
        fresh = [
            self._send_first(to, batch, now)
            for to, waiting in sorted(self._waiting.items())
            for batch in _batches(waiting)
        ]
        self._waiting.clear()
        return (*fresh, *self._resend_due(now))

    def _send_first(
        self,
        to: InstanceId,
        settled: tuple[Settled, ...],
        now: float,
    ) -> Send:
        self._serial += 1
        message = Outcomes(self._serial, settled)
        self._sent[self._serial] = _Batch(to, message, now)
        return Send(to, message)

    def _resend_due(self, now: float) -> list[Send]:
        sends: list[Send] = []
        for serial, batch in tuple(self._sent.items()):
            if now - batch.sent_at < _RETRY_SECONDS:
                continue
            if batch.attempts >= _MAX_SENDS:
                self._sent.pop(serial)
                continue
            batch.attempts += 1
            batch.sent_at = now
            sends.append(Send(batch.to, batch.message))
        return sends


def _batches(waiting: list[Settled]) -> list[tuple[Settled, ...]]:
    """Split outcomes into batches that fit into a frame."""
    batches: list[tuple[Settled, ...]] = []
    batch: list[Settled] = []
    size = 0
    for settled in waiting:
        if batch and size + len(settled.outcome) > _MAX_BATCH_BYTES:
            batches.append(tuple(batch))
            batch = []
            size = 0
        batch.append(settled)
        size += len(settled.outcome)
    batches.append(tuple(batch))
    return batches
