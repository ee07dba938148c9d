"""Fencing tokens, unique across dispatchers."""

from typing import Final

#: Bits of a token for the instance number and for the count within a term.
#: With the term above them, a token stays below 2**53, which JSON represents
#: exactly.
_INSTANCE_BITS: Final = 16
_COUNT_BITS: Final = 18


class TokenSource:
    """Issues increasing fencing tokens for one term of one dispatcher.

    Args:
        term: Number of the term; a later dispatcher has a higher one.
        instance: Number of the instance, unique in the deployment.
    """

    def __init__(self, *, term: int, instance: int) -> None:
        self._term = term
        self._instance = instance % (1 << _INSTANCE_BITS)
        self._issued = 0

    def issue(self) -> int:
        """Return a token higher than all earlier ones."""
        self._issued += 1
        count = (self._term << _COUNT_BITS) + self._issued
        return (count << _INSTANCE_BITS) + self._instance
