"""Bounds on the monotonic clock of an endpoint."""

from typing import Final

#: Slowest rate of an endpoint's clock relative to the local one; the worker
#: contract allows a deviation of 2%.
MIN_CLOCK_RATE: Final = 0.98
_MS: Final = 1000.0


class EndpointClock:
    """Bounds on the monotonic clock of one lifetime of an endpoint.

    The endpoint reads its clock at some moment between the sending of an order
    and the arrival of its answer.  The sending time gives an upper bound on the
    offset of the clock, and the arrival time gives a lower bound.
    """

    def __init__(self) -> None:
        self._max_offset_ms: float | None = None
        self._reading_ms = 0
        self._read_at: float = 0

    @property
    def is_known(self) -> bool:
        """Whether any reading has been recorded."""
        return self._max_offset_ms is not None

    def has_restarted(self, clock_ms: int, *, asked_at: float) -> bool:
        """Return whether a reading is from another lifetime of the endpoint.

        Args:
            clock_ms: Reading of the endpoint's clock in milliseconds.
            asked_at: Local time in seconds at which the order was sent.

        Returns:
            Whether the clock ran backwards; False if that can't be told.
        """
        return asked_at >= self._read_at and clock_ms < self._reading_ms

    def read(self, clock_ms: int, *, asked_at: float, now: float) -> None:
        """Record a reading from an answer that arrived now.

        Args:
            clock_ms: Reading of the endpoint's clock in milliseconds.
            asked_at: Local time in seconds at which the order was sent.
            now: Current local time in seconds.
        """
        offset = clock_ms - asked_at * _MS
        if self._max_offset_ms is None or offset < self._max_offset_ms:
            self._max_offset_ms = offset
        if clock_ms >= self._reading_ms:
            self._reading_ms = clock_ms
            self._read_at = now

    def expiry_after(self, seconds: float, *, now: float) -> int:
        """Return a clock reading, in ms, not reached for at least `seconds`."""
        return int((self._max_offset_ms or 0) + (now + seconds) * _MS)

    def latest_time_of(self, reading: int) -> float:
        """Return the local time by which a reading has certainly passed.

        Args:
            reading: Reading of the endpoint's clock in milliseconds.
        """
        remaining = max(0, reading - self._reading_ms) / _MS
        return self._read_at + remaining / MIN_CLOCK_RATE
