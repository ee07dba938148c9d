"""Fencing tokens, unique across dispatchers."""

from typing import Final

#: Bits of a token for the instance number and for the count within a term.
#: Up to term 2**19 - 1, a token stays below 2**53, which all JSON parsers
#: represent exactly.
_INSTANCE_BITS: Final = 16
_COUNT_BITS: Final = 18
#: Bits of the largest token: it fits a signed 64-bit integer.
_TOKEN_BITS: Final = 63
#: The last term.
MAX_TERM: Final = (1 << (_TOKEN_BITS - _COUNT_BITS - _INSTANCE_BITS)) - 1


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

    @property
    def term(self) -> int:
        """Number of the term."""
        return self._term

    @property
    def is_running_low(self) -> bool:
        """Whether half of the tokens of the term are issued.

        Further on, they would reach those of the next term, and a successor
        would be fenced by them.
        """
        return self._issued >= 1 << (_COUNT_BITS - 1)

    def issue(self) -> int:
        """Return a token higher than all earlier ones."""
        self._issued += 1
        count = (self._term << _COUNT_BITS) + self._issued
        return (count << _INSTANCE_BITS) + self._instance
