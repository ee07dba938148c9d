"""Lateness of the dispatcher's own process.

An answer that a late process has not read yet must not count as silence of
the endpoint that sent it.
"""

from typing import Final

#: Seconds between two ticks up to which a process is on time; there are 50
#: ticks a second.
_TICK_ALLOWANCE_SECONDS: Final = 0.03
#: Weight of the newest tick in the moving average, so that one pause, for a
#: garbage collection or a disk sync, does not count as being behind.
_SMOOTHING_FACTOR: Final = 0.3
#: Upper bound on the counted lateness of one tick: a process that was suspended
#: for seconds must not count as behind after it has caught up.
_MAX_COUNTED_SECONDS: Final = 0.2
#: Smoothed lateness above which a process is behind; a quarter of the leases of
#: entry instances, which must not expire because this process is late.
_BEHIND_SECONDS: Final = 0.1


class LatenessMonitor:
    """Measures how late the ticks of this process are."""

    def __init__(self) -> None:
        self._last_tick_at: float | None = None
        self._lateness: float = 0

    @property
    def lateness(self) -> float:
        """Smoothed lateness of ticks, in seconds."""
        return self._lateness

    @property
    def is_behind(self) -> bool:
        """Whether the process is late beyond what a single pause causes."""
        return self._lateness > _BEHIND_SECONDS

    def tick(self, *, now: float) -> float:
        """Record a tick.

        Args:
            now: Current time in seconds.

        Returns:
            Seconds by which the tick is late.
        """
        last_tick_at = now if self._last_tick_at is None else self._last_tick_at
        self._last_tick_at = now
        late = max(0, now - last_tick_at - _TICK_ALLOWANCE_SECONDS)
        change = min(late, _MAX_COUNTED_SECONDS) - self._lateness
        self._lateness += _SMOOTHING_FACTOR * change
        return late
