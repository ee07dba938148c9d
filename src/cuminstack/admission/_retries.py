"""Retry budget: limits resends in proportion to successful jobs."""

from typing import Final

#: Resends added to the budget of a member by each success.
_SUCCESS_CREDIT: Final = 0.1
#: Resends that a member may make before its first success.
_INITIAL_CREDIT: Final = 10
#: Maximum number of resends that a member may accumulate.
_MAX_CREDIT: Final = 100


class RetryBudget:
    """Tracks how many resends each member may make."""

    def __init__(self) -> None:
        self._credits: dict[str, float] = {}

    def add_success(self, member: str) -> None:
        """Add the credit for a successful job of a member."""
        credit = self._credits.get(member, _INITIAL_CREDIT) + _SUCCESS_CREDIT
        self._credits[member] = min(credit, _MAX_CREDIT)

    def spend(self, member: str) -> bool:
        """Use up one resend of a member.

        Returns:
            Whether the budget allowed the resend.
        """
        credit = self._credits.get(member, _INITIAL_CREDIT)
        if credit < 1:
            return False
        self._credits[member] = credit - 1
        return True
