"""Batching of small messages that become ready one by one."""

import asyncio
from collections.abc import Callable
from typing import Final

#: Minimum seconds between two batches: a small frame costs its sender and
#: receiver together 0.1 ms of processor time, and a task runs for 60 ms or
#: more.
_MIN_INTERVAL_SECONDS: Final = 0.003


class BatchSender:
    """Sends batches on demand, with a minimum interval between them.

    After an idle period, a batch is sent without delay.

    Args:
        send: Sends everything that is buffered.
    """

    def __init__(self, send: Callable[[], None]) -> None:
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._sent_at: float = 0
        self._is_scheduled = False
        self._is_stopped = False

    def stop(self) -> None:
        """Send no further batch, not even a scheduled one."""
        self._is_stopped = True

    def schedule(self) -> None:
        """Schedule a batch, unless one is already scheduled.

        The batch also holds what is buffered until it is sent.
        """
        if self._is_scheduled:
            return
        self._is_scheduled = True
        due_at = self._sent_at + _MIN_INTERVAL_SECONDS
        if self._loop.time() >= due_at:
            self._loop.call_soon(self._flush)
        else:
            self._loop.call_at(due_at, self._flush)

    def _flush(self) -> None:
        self._is_scheduled = False
        self._sent_at = self._loop.time()
        if not self._is_stopped:
            self._send()
