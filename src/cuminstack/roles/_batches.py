"""When small messages that come one by one are sent together."""

import asyncio
from collections.abc import Callable
from typing import Final

#: Least seconds between two batches: a small frame takes its two sides 0.1 ms
#: of processor time together, and a task runs for 60 ms or more.
_PAUSE_SECONDS: Final = 0.003


class Batches:
    """Has a batch sent at once, unless one was sent a moment ago.

    Args:
        send: Sends what has been gathered.
    """

    def __init__(self, send: Callable[[], None]) -> None:
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._sent_at: float = 0
        self._is_expected = False
        self._has_stopped = False

    def stop(self) -> None:
        """Send nothing more."""
        self._has_stopped = True

    def expect(self) -> None:
        """Have what is there, and what comes until then, sent soon."""
        if self._is_expected:
            return
        self._is_expected = True
        due_at = self._sent_at + _PAUSE_SECONDS
        if self._loop.time() >= due_at:
            self._loop.call_soon(self._flush)
        else:
            self._loop.call_at(due_at, self._flush)

    def _flush(self) -> None:
        self._is_expected = False
        self._sent_at = self._loop.time()
        if not self._has_stopped:
            self._send()
