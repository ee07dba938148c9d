"""The minimum level of the events that are written."""

from types import MappingProxyType
from typing import Final

from cuminstack.settings import LogLevel

_RANKS: Final = MappingProxyType(
    {level: rank for rank, level in enumerate(LogLevel)},
)


class LevelFilter:
    """Filters events by level before any work is done for them."""

    def __init__(self) -> None:
        self._least = _RANKS[LogLevel.info]

    def allow_from(self, level: LogLevel) -> None:
        """Set the lowest level that passes."""
        self._least = _RANKS[level]

    def passes(self, level: LogLevel) -> bool:
        """Return whether events of a level are written."""
        return _RANKS[level] >= self._least


#: The filter is global to the process, as eliot's destinations are.
level_filter: Final = LevelFilter()
