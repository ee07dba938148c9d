"""What an instance wants of the document, and its luck in races."""

from dataclasses import dataclass
from typing import Protocol

from cuminstack.document._proposer import Change


class Chance(Protocol):
    """What spreads the pauses of racing proposers."""

    def random(self) -> float:
        """Give a number from 0 up to 1."""


@dataclass(frozen=True, slots=True)
class Operation:
    """A change that waits for its outcome.

    Args:
        ticket: Names the outcome.
        change: The change.
        until: When it is given up.
    """

    ticket: int
    change: Change
    until: float
