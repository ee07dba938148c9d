"""State of one lifetime of an endpoint: its clock, ends and leases."""

from typing import Final

from cuminstack.pool._clock import MIN_CLOCK_RATE, EndpointClock

#: Longest lease that an endpoint grants, in seconds of the local clock.
_MAX_LEASE_SECONDS: Final = 1.0 / MIN_CLOCK_RATE
#: Seconds after which an order that got no answer is no longer delivered.
_MAX_DELIVERY_SECONDS: Final = 1.0


class Lifetime:
    """State of one lifetime of an endpoint process.

    Args:
        number: Start time in Unix milliseconds; 0 if it is not known.
        misdirected_end_at: Time by which runs have ended whose starts were
            meant for an earlier lifetime and carried out in this one; 0 if
            there are none.
    """

    def __init__(self, number: int, *, misdirected_end_at: float = 0) -> None:
        self.number = number
        self._misdirected_end_at = misdirected_end_at
        self._was_listed = False
        self.clock = EndpointClock()
        #: Highest serial number of an end that was processed.
        self.last_end = 0
        #: Highest serial number of an end that the endpoint may forget.
        self.acknowledged_end = 0
        #: Latest expiry of a lease, in milliseconds of the endpoint's clock.
        self.latest_expiry = 0

    @classmethod
    def after_restart(
        cls, number: int, *, has_runs: bool, now: float
    ) -> 'Lifetime':
        """Return the state of the lifetime of a restarted endpoint.

        Args:
            number: Its number; 0 if it is not known.
            has_runs: Whether starts that were meant for an earlier lifetime
                may be carried out in this one.
            now: Current time in seconds.
        """
        if not has_runs:
            return cls(number)
        last_delivery_at = now + _MAX_DELIVERY_SECONDS
        return cls(
            number, misdirected_end_at=last_delivery_at + _MAX_LEASE_SECONDS
        )

    @property
    def leases_end_at(self) -> float:
        """Time by which the leases of all runs ordered so far have expired."""
        return max(
            self._misdirected_end_at,
            self.clock.latest_time_of(self.latest_expiry),
        )

    def record_listing(self, *, now: float) -> None:
        """Record that the runs of this lifetime were listed.

        The first listing voids all starts that were meant for an earlier
        lifetime.  Those that were carried out before have a lease with an
        expiry on the earlier clock, so only the longest lease bounds it.
        """
        if self._misdirected_end_at and not self._was_listed:
            self._misdirected_end_at = now + _MAX_LEASE_SECONDS
        self._was_listed = True

    def renew_lease(self, seconds: float, *, now: float) -> int:
        """Return an expiry for the lease of all runs, and record it.

        Args:
            seconds: Time for which the lease lasts at least.
            now: Current time in seconds.

        Returns:
            The expiry in milliseconds of the endpoint's clock.
        """
        expiry = self.clock.expiry_after(seconds, now=now)
        self.latest_expiry = max(self.latest_expiry, expiry)
        return expiry
