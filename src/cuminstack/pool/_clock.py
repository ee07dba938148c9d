"""What is known of the steady clock of an endpoint."""

from typing import Final

#: Slowest rate of an endpoint's clock against ours; the contract says 2%.
SLOWEST_RATE: Final = 0.98
_MS: Final = 1000.0


class EndpointClock:
    """Bounds on the steady clock of one lifetime of an endpoint.

    A reading was taken at some moment between order and answer.  The order's
    moment bounds the clock from above, and the answer's from below.
    """

    def __init__(self) -> None:
        self._ahead_ms: float | None = None
        self._reading_ms = 0
        self._heard_at: float = 0

    @property
    def is_known(self) -> bool:
        """Whether it was read at all."""
        return self._ahead_ms is not None

    def read(self, clock_ms: int, *, asked_at: float, now: float) -> None:
        """Take a reading out of an answer that came now."""
        ahead = clock_ms - asked_at * _MS
        if self._ahead_ms is None or ahead < self._ahead_ms:
            self._ahead_ms = ahead
        if clock_ms >= self._reading_ms:
            self._reading_ms = clock_ms
            self._heard_at = now

    def expiry_after(self, seconds: float, *, now: float) -> int:
        """Give a reading that is not reached before so many seconds."""
        return int((self._ahead_ms or 0) + (now + seconds) * _MS)

    def surely_passed(self, reading: int) -> float:
        """Give our moment at which the clock has surely passed a reading."""
        ahead = max(0, reading - self._reading_ms) / _MS
        return self._heard_at + ahead / SLOWEST_RATE
