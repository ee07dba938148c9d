"""The monotonic clock of a process and the intervals of its ticks."""

import time
from typing import Final

#: Seconds between two ticks; order time-outs are 60 ms.
TICK_SECONDS: Final = 0.02
#: Ticks between heartbeats, so that three fit into the silence after which
#: an instance is considered lost.
TICKS_PER_HEARTBEAT: Final = 5


def steady_now() -> float:
    """Return the seconds of a clock that also runs during a suspension.

    After a suspension, an instance must detect that its leases have expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
