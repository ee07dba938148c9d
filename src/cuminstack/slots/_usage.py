"""Slot-seconds of members, here and as other instances tell."""

from collections.abc import Iterable

from cuminstack.core import InstanceId, MemberName
from cuminstack.slots._messages import Use


class Usage:
    """What members have used through this instance and through others."""

    def __init__(self) -> None:
        self._used: dict[str, float] = {}
        self._told: dict[tuple[InstanceId, str], float] = {}

    def add(self, member: str, seconds: float) -> None:
        """Add use through this instance."""
        self._used[member] = self._used.get(member, 0) + seconds

    def uses(self, members: Iterable[str]) -> tuple[Use, ...]:
        """Give the use through this instance, for a message."""
        return tuple(
            Use(MemberName(member), self._used.get(member, 0))
            for member in sorted(members)
        )

    def lend(self, sender: InstanceId, member: str, seconds: float) -> None:
        """Count in advance what another instance will tell."""
        place = (sender, member)
        self._told[place] = self._told.get(place, 0) + seconds

    def learn(self, sender: InstanceId, use: Use) -> float:
        """Take what an instance tells; returns what is new of it."""
        place = (sender, use.member)
        told = self._told.get(place, use.seconds)
        self._told[place] = use.seconds
        return use.seconds - told
