"""Shedding of load by the lag of the event loop."""

from collections import deque
from typing import Final

from cuminstack.admission._records import Chance

#: Lag from which jobs are refused now and then, in seconds.
_FIRST_LAG_SECONDS: Final = 0.02
#: Lag from which all are refused, in seconds.
_FULL_LAG_SECONDS: Final = 0.12
#: Turns of the loop in a row that must be late.
_TURNS: Final = 4


class LagGauge:
    """Follows the lag that the loop does not get rid of.

    One late turn is a pause of the process or its machine, which refusing
    jobs would not mend; load shows in the least lag of several turns.
    """

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=_TURNS)

    @property
    def lag(self) -> float:
        """The least lag of the last turns, in seconds."""
        if len(self._recent) < _TURNS:
            return 0
        return min(self._recent)

    def observe(self, seconds: float) -> None:
        """Take the lag of one turn of the loop."""
        self._recent.append(seconds)

    def sheds(self, chance: Chance) -> bool:
        """Tell whether the next job is refused; more of them as lag grows."""
        over = self.lag - _FIRST_LAG_SECONDS
        span = _FULL_LAG_SECONDS - _FIRST_LAG_SECONDS
        return over > 0 and chance.random() < over / span
