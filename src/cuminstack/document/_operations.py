"""Pending operations on the document, and the source of random delays."""

from dataclasses import dataclass
from typing import Protocol

from cuminstack.document._changes import Change


class RandomSource(Protocol):
    """A source of random numbers, such as `random.Random`.

    It randomises the back-off of competing proposers.
    """

    def random(self) -> float:
        """Return a number in the interval [0, 1)."""


@dataclass(frozen=True, slots=True)
class Operation:
    """A change that has no outcome yet.

    Args:
        ticket: Identifies the operation in its `Done`.
        change: The change.
        deadline: When it ends as `Unavailable`, in seconds.
    """

    ticket: int
    change: Change
    deadline: float
