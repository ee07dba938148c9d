"""What the fair queue is told, and what it gives out."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Key = TypeVar('Key', bound=Hashable)


@dataclass(frozen=True, slots=True)
class Share:
    """What a member is owed.

    Args:
        weight: Its share against the other members'.
        max_slots: Slots that it may hold at once; 0 for no bound.
    """

    weight: float = 1
    max_slots: int = 0


@dataclass(frozen=True, slots=True)
class Demand(Generic[Key]):
    """Tasks of one job that wait for slots of one kind.

    Args:
        key: Names the job to whoever embeds the queue.
        member: Whose job it is.
        lane: The kind of slot; tasks of one lane fit the same slots.
        waiting: Tasks that wait.
        since: When the job arrived, in seconds.
        attained: Slot-seconds that the job has had.
    """

    key: Key
    member: str
    lane: Hashable
    waiting: int
    since: float
    attained: float = 0


@dataclass(frozen=True, slots=True)
class Turn(Generic[Key]):
    """One slot, given to one task of a job.

    Args:
        key: The job.
        member: Who is charged.
        charge: Slot-seconds charged in advance.
    """

    key: Key
    member: str
    charge: float
