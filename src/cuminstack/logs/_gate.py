"""The least level that is written."""

from types import MappingProxyType
from typing import Final

from cuminstack.settings import LogLevel

_RANKS: Final = MappingProxyType(
    {level: rank for rank, level in enumerate(LogLevel)},
)


class LevelGate:
    """Tells events that are written from those that cost nothing more."""

    def __init__(self) -> None:
        self._least = _RANKS[LogLevel.info]

    def raise_to(self, level: LogLevel) -> None:
        """Let a level and those above it through."""
        self._least = _RANKS[level]

    def passes(self, level: LogLevel) -> bool:
        """Tell whether events of a level are written."""
        return _RANKS[level] >= self._least


#: The gate of this process, as eliot's destinations are of the process.
gate: Final = LevelGate()
