"""The clock that all decisions of a process are made on."""

import time


def steady_now() -> float:
    """Give seconds of a clock that also counts while suspended.

    An instance that was suspended must find that its leases have ended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
