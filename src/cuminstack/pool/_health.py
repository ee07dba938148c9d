"""Which endpoints fail, hang or lag, so that others are preferred."""

from collections.abc import Callable
from typing import Final

from cuminstack.core import JobKey

#: Failures of different jobs in a row that put an endpoint aside.  A job
#: that always fails must not condemn an endpoint alone.
_FAILURES_IN_ROW: Final = 2
#: Seconds that an endpoint is put aside at first; doubles.  A fault of an
#: endpoint lasts for seconds, a trial costs one late task.
_FIRST_PAUSE: Final = 1.0
_LONGEST_PAUSE: Final = 4.0
#: Weight of the newest run time against the expected one.
_GAIN: Final = 0.3
#: Lag from which an endpoint counts as slow.
SLOW_LAG: Final = 1.8


def _ignore() -> None:
    """Tell nobody."""


class EndpointHealth:
    """What the runs on one endpoint tell of it.

    Args:
        changed: Called when it is put aside, or is no longer.
    """

    def __init__(self, changed: Callable[[], None] = _ignore) -> None:
        self._changed = changed
        self._blamed_by: set[JobKey] = set()
        self._aside_until: float = 0
        self._pause = _FIRST_PAUSE
        self._lag = 1.0

    @property
    def lag(self) -> float:
        """Run times here as a multiple of the expected ones."""
        return self._lag

    @property
    def is_blamed(self) -> bool:
        """Whether the last run here failed."""
        return bool(self._blamed_by)

    @property
    def is_on_trial(self) -> bool:
        """Whether it has to do one task well before it gets more."""
        return len(self._blamed_by) >= _FAILURES_IN_ROW

    @property
    def may_be_aside(self) -> bool:
        """Whether it was put aside, and not taken back before the time."""
        return bool(self._aside_until)

    def is_aside(self, *, now: float) -> bool:
        """Tell whether it gets no tasks while others can take them."""
        return now < self._aside_until

    def succeeded(self, ratio: float) -> None:
        """Take a run that is done.

        Args:
            ratio: Its run time as a multiple of the expected one.
        """
        self._blamed_by.clear()
        self._pause = _FIRST_PAUSE
        self.observe_lag(ratio)

    def observe_lag(self, ratio: float) -> None:
        """Take how long a run takes, as a multiple of what is expected."""
        self._lag += _GAIN * (ratio - self._lag)

    def failed(self, job: JobKey, *, now: float) -> bool:
        """Take a failed run; tell whether the endpoint is put aside."""
        self._blamed_by.add(job)
        if self.is_on_trial:
            self.put_aside(now=now)
        return self.is_on_trial

    def absolve(self, job: JobKey) -> None:
        """Take that a job fails wherever it runs."""
        self._blamed_by.discard(job)
        if not self.is_on_trial:
            self._aside_until = 0
            self._pause = _FIRST_PAUSE
            self._changed()

    def put_aside(self, *, now: float) -> None:
        """Give it no tasks for a while, longer each time."""
        if now < self._aside_until:
            return
        self._aside_until = now + self._pause
        self._pause = min(self._pause * 2, _LONGEST_PAUSE)
        self._lag = 1.0
        self._changed()
