"""Use by members, here and as other instances tell."""

from collections import Counter
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId, MemberName
from cuminstack.slots._messages import Use

#: Age at which what an instance told of running tasks is void, in seconds.
_STALE_SECONDS: Final = 2


@dataclass(frozen=True, slots=True)
class _Running:
    """Tasks of a member that run at an instance, as it told."""

    count: int
    at: float


class Usage:
    """What members have used through this instance and through others."""

    def __init__(self) -> None:
        self._used: dict[str, float] = {}
        self._running: Counter[str] = Counter()
        self._told: dict[tuple[InstanceId, str], float] = {}
        self._elsewhere: dict[str, dict[InstanceId, _Running]] = {}

    @property
    def running(self) -> int:
        """Tasks that run through this instance."""
        return self._running.total()

    def begin(self, member: str, charge: float) -> None:
        """Take the start of a task here, charged in advance."""
        self._running[member] += 1
        self._add(member, charge)

    def end(self, member: str, seconds: float) -> None:
        """Take the end of a task; `seconds` is what the charge lacked."""
        self._running[member] -= 1
        if not self._running[member]:
            self._running.pop(member)
        self._add(member, seconds)

    def uses(self, *more: MemberName) -> tuple[Use, ...]:
        """Give the use by members that run tasks here, and by some more."""
        return tuple(
            Use(
                MemberName(member),
                self._used.get(member, 0),
                self._running[member],
            )
            for member in sorted({*self._running, *more})
        )

    def lend(self, sender: InstanceId, member: str, seconds: float) -> None:
        """Count in advance what another instance will tell."""
        place = (sender, member)
        told = self._told.get(place)
        if told is not None:
            self._told[place] = told + seconds

    def learn(self, sender: InstanceId, use: Use, *, now: float) -> float:
        """Take what an instance tells; returns the new slot-seconds."""
        place = (sender, use.member)
        told = self._told.get(place, use.seconds)
        self._told[place] = use.seconds
        running = self._elsewhere.setdefault(use.member, {})
        running[sender] = _Running(use.running, now)
        return use.seconds - told

    def elsewhere(self, member: str) -> int:
        """Tell how many tasks of a member run at other instances."""
        told = self._elsewhere.get(member, {})
        return sum(running.count for running in told.values())

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Forget old counts; returns the members that had some."""
        old = [
            (member, sender)
            for member, told in self._elsewhere.items()
            for sender, running in told.items()
            if now - running.at >= _STALE_SECONDS
        ]
        for member, sender in old:
            told = self._elsewhere[member]
            told.pop(sender)
            if not told:
                self._elsewhere.pop(member)
        return tuple({place[0] for place in old})

    def _add(self, member: str, seconds: float) -> None:
        self._used[member] = self._used.get(member, 0) + seconds
