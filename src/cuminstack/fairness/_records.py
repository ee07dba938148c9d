"""Inputs and outputs of the fair queue: shares, demands and turns."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Key = TypeVar('Key', bound=Hashable)


@dataclass(frozen=True, slots=True)
class Share:
    """The weighted share of a member.

    Args:
        weight: Its weight relative to those of the other members.
        max_slots: The largest number of slots that it may hold at once; 0
            for no limit.
    """

    weight: float = 1
    max_slots: int = 0


@dataclass(frozen=True, slots=True)
class Demand(Generic[Key]):
    """Tasks of one job that wait for slots of one kind.

    Args:
        key: Identifies the job to the user of the queue.
        member: The member that owns the job.
        lane: The class of its tasks; tasks of one lane fit the same slots.
        waiting: The number of waiting tasks.
        since: The arrival time of the job, in seconds.
        attained: The service that the job has received, in slot-seconds.
    """

    key: Key
    member: str
    lane: Hashable
    waiting: int
    since: float
    attained: float = 0


@dataclass(frozen=True, slots=True)
class Turn(Generic[Key]):
    """One slot allocated to one task of a job.

    Args:
        key: The job.
        member: The member that is charged.
        charge: The use charged in advance, in slot-seconds.
    """

    key: Key
    member: str
    charge: float
