"""The monotonic clock of a process and the intervals of its ticks."""

import time
from typing import Final

#: Seconds between two ticks; order time-outs are 60 ms.
TICK_SECONDS: Final = 0.02
#: Ticks between heartbeats, so that three fit into the silence after which
#: an instance is considered lost.
TICKS_PER_HEARTBEAT: Final = 5
#: Seconds after the previous heartbeat from which a tick sends the next one:
#: half a tick less than the interval, as ticks aren't exactly periodic.
_HEARTBEAT_DUE_SECONDS: Final = (TICKS_PER_HEARTBEAT - 0.5) * TICK_SECONDS


class HeartbeatTimer:
    """Tells which ticks send heartbeats.

    They are timed rather than counted: a process whose ticks are late has to
    show in time that it is alive.
    """

    def __init__(self) -> None:
        self._sent_at: float = 0

    def is_due(self, *, now: float) -> bool:
        """Return whether to send a heartbeat now, and record that it was."""
        if now - self._sent_at < _HEARTBEAT_DUE_SECONDS:
            return False
        self._sent_at = now
        return True


def steady_now() -> float:
    """Return the seconds of a clock that also runs during a suspension.

    After a suspension, an instance must detect that its leases have expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
