"""Shedding of load by the lag of the event loop."""

from typing import Final

from cuminstack.admission._records import Chance

#: Lag from which jobs are refused now and then, in seconds.
_FIRST_LAG_SECONDS: Final = 0.02
#: Lag from which all are refused, in seconds.
_FULL_LAG_SECONDS: Final = 0.12
#: Weight of the newest lag where it is below the present one.
_FALL: Final = 0.2


class LagGauge:
    """Follows the lag: at once when it rises, slowly when it falls."""

    def __init__(self) -> None:
        self._lag: float = 0

    @property
    def lag(self) -> float:
        """The present lag, in seconds."""
        return self._lag

    def observe(self, seconds: float) -> None:
        """Take the lag of one turn of the loop."""
        if seconds >= self._lag:
            self._lag = seconds
        else:
            self._lag += _FALL * (seconds - self._lag)

    def sheds(self, chance: Chance) -> bool:
        """Tell whether the next job is refused; more of them as lag grows."""
        over = self._lag - _FIRST_LAG_SECONDS
        span = _FULL_LAG_SECONDS - _FIRST_LAG_SECONDS
        return over > 0 and chance.random() < over / span
