"""Resends in proportion to successes."""

from typing import Final

#: Resends that a success allows.
_PER_SUCCESS: Final = 0.1
#: Resends that are allowed before any success.
_AT_FIRST: Final = 10
#: Resends that may be saved up.
_MOST: Final = 100


class RetryBudget:
    """Counts the resends that a member may make."""

    def __init__(self) -> None:
        self._left: dict[str, float] = {}

    def succeed(self, member: str) -> None:
        """Take a success."""
        left = self._left.get(member, _AT_FIRST) + _PER_SUCCESS
        self._left[member] = min(left, _MOST)

    def spend(self, member: str) -> bool:
        """Take a resend, if one is allowed."""
        left = self._left.get(member, _AT_FIRST)
        if left < 1:
            return False
        self._left[member] = left - 1
        return True
