"""The clock that all decisions of a process are made on, and its ticks."""

import time
from typing import Final

#: Seconds between two turns of the clockwork; order time-outs are 60 ms.
TICK_SECONDS: Final = 0.02
#: Turns between heartbeats, so that three fit into the silence after which
#: an instance counts as lost.
TURNS_OF_BEAT: Final = 5


def steady_now() -> float:
    """Give seconds of a clock that also counts while suspended.

    An instance that was suspended must find that its leases have ended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
