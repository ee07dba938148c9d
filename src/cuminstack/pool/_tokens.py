"""Fencing tokens that no two dispatchers share."""

from typing import Final

#: Bits of a token for the instance, and for the tokens of one term.  With
#: the term above them a token stays below 2**53, which JSON carries exactly.
_INSTANCE_BITS: Final = 16
_COUNT_BITS: Final = 18


class TokenSource:
    """Gives growing tokens of one term of one dispatcher.

    Args:
        term: Number of the term; a later dispatcher has a higher one.
        instance: Number of the instance, unique in the deployment.
    """

    def __init__(self, *, term: int, instance: int) -> None:
        self._term = term
        self._instance = instance % (1 << _INSTANCE_BITS)
        self._taken = 0

    def take(self) -> int:
        """Give a token above all before it."""
        self._taken += 1
        count = (self._term << _COUNT_BITS) + self._taken
        return (count << _INSTANCE_BITS) + self._instance
