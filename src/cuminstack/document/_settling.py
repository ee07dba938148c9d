"""Times at which an instance settles a value that isn't settled yet."""

from typing import Final

from cuminstack.document._changes import KnownValue
from cuminstack.document._operations import RandomSource
from cuminstack.document._records import NO_BALLOT

#: Seconds until a ballot settles a value that isn't known to be in force, or
#: whose change of replicas is unfinished; meanwhile its proposer, or another
#: instance, may do so.
_SETTLE_SECONDS: Final = 0.5
#: Longest random addition to that, so that instances which restart together
#: don't compete.
_SETTLE_JITTER_SECONDS: Final = 0.5
#: The same while no value is known to be in force, as after a restart of all
#: instances: nothing is served until one is.
_RESTART_SETTLE_SECONDS: Final = 0.05
_RESTART_JITTER_SECONDS: Final = 0.15


class SettleTimer:
    """Decides when to start a ballot that only settles the newest value.

    A value that has only been accepted may or may not be in force.  After a
    restart of all instances no other one can report it, and its proposer may be
    lost before it reports the outcome.

    A value in force whose change of replicas is unfinished needs a further
    ballot.  The instance that joins starts one at once, but may be lost or get
    no quorum.  Until then the replaced replica keeps its vote, though its disk
    may be lost.

    Args:
        random_source: Randomises the times, so that instances don't compete.
    """

    def __init__(self, random_source: RandomSource) -> None:
        self._random_source = random_source
        # The newest value if it isn't settled, and when to settle it.
        self._unsettled_ballot = NO_BALLOT
        self._settle_at: float = 0

    def is_due(
        self, newest: KnownValue, *, knows_value: bool, now: float
    ) -> bool:
        """Return whether to settle the newest value now.

        Args:
            newest: The newest value at this instance, in force or not.
            knows_value: Whether any value is known to be in force.
            now: The present time in seconds.
        """
        if newest.in_force and not newest.value.incoming:
            self._unsettled_ballot = NO_BALLOT
            return False
        if newest.ballot != self._unsettled_ballot:
            self._unsettled_ballot = newest.ballot
            self._settle_at = now + self._delay(knows_value=knows_value)
            return False
        return now >= self._settle_at

    def _delay(self, *, knows_value: bool) -> float:
        jitter = self._random_source.random()
        if knows_value:
            return _SETTLE_SECONDS + _SETTLE_JITTER_SECONDS * jitter
        return _RESTART_SETTLE_SECONDS + _RESTART_JITTER_SECONDS * jitter
