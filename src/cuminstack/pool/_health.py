"""Endpoint health: endpoints that fail, hang or run slowly get less work."""

from collections.abc import Callable
from typing import Final

from cuminstack.core import JobKey

#: Failures of different jobs in a row after which an endpoint is quarantined.
#: A single job that always fails must not quarantine an endpoint.
_FAILURES_IN_ROW: Final = 2
#: Length of the first quarantine in seconds; it doubles each time.  A fault of
#: an endpoint lasts for seconds, and a trial costs one late task.
_MIN_QUARANTINE_SECONDS: Final = 1.0
_MAX_QUARANTINE_SECONDS: Final = 4.0
#: Weight of the newest run time in the exponential moving average.
_SMOOTHING_FACTOR: Final = 0.3
#: Slowdown above which an endpoint counts as slow.
MAX_SLOWDOWN: Final = 1.8


def _ignore() -> None:
    """Do nothing."""


class EndpointHealth:
    """Health of one endpoint, derived from the runs on it.

    Args:
        on_change: Called when the endpoint enters or leaves quarantine.
    """

    def __init__(self, on_change: Callable[[], None] = _ignore) -> None:
        self._on_change = on_change
        self._failed_jobs: set[JobKey] = set()
        self._quarantined_until: float = 0
        self._quarantine_seconds = _MIN_QUARANTINE_SECONDS
        self._slowdown = 1.0

    @property
    def slowdown(self) -> float:
        """Smoothed ratio of run times here to the expected ones."""
        return self._slowdown

    @property
    def has_failures(self) -> bool:
        """Whether a run here has failed since the last success."""
        return bool(self._failed_jobs)

    @property
    def is_on_probation(self) -> bool:
        """Whether one task has to succeed before the endpoint gets more."""
        return len(self._failed_jobs) >= _FAILURES_IN_ROW

    @property
    def was_quarantined(self) -> bool:
        """Whether it was quarantined and not released early."""
        return bool(self._quarantined_until)

    def is_quarantined(self, *, now: float) -> bool:
        """Return whether it gets tasks only if no other endpoint can."""
        return now < self._quarantined_until

    def record_success(self, ratio: float) -> None:
        """Record a run that succeeded.

        Args:
            ratio: Its run time divided by the expected one.
        """
        self._failed_jobs.clear()
        self._quarantine_seconds = _MIN_QUARANTINE_SECONDS
        self.observe_slowdown(ratio)

    def observe_slowdown(self, ratio: float) -> None:
        """Update the slowdown with a ratio of actual to expected run time."""
        self._slowdown += _SMOOTHING_FACTOR * (ratio - self._slowdown)

    def record_failure(self, job: JobKey, *, now: float) -> bool:
        """Record a failed run.

        Returns:
            Whether the endpoint was put on probation, and thus in quarantine.
        """
        self._failed_jobs.add(job)
        if self.is_on_probation:
            self.quarantine(now=now)
        return self.is_on_probation

    def discard_failure(self, job: JobKey) -> None:
        """Discard the failure of a job that also fails on others."""
        self._failed_jobs.discard(job)
        if not self.is_on_probation:
            self._quarantined_until = 0
            self._quarantine_seconds = _MIN_QUARANTINE_SECONDS
            self._on_change()

    def quarantine(self, *, now: float) -> None:
        """Quarantine the endpoint, twice as long each time up to a limit."""
        if now < self._quarantined_until:
            return
        self._quarantined_until = now + self._quarantine_seconds
        self._quarantine_seconds = min(
            self._quarantine_seconds * 2, _MAX_QUARANTINE_SECONDS
        )
        self._slowdown = 1.0
        self._on_change()
