"""Use by members, here and as other instances tell."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId, MemberName
from cuminstack.slots._messages import Use

#: Age at which what an instance told of running tasks is void, in seconds.
_STALE_SECONDS: Final = 2


@dataclass(slots=True)
class _Told:
    """What an instance told of a member, and when."""

    seconds: float
    running: int
    at: float


class Usage:
    """What members have used through this instance and through others."""

    def __init__(self) -> None:
        self._used: dict[str, float] = {}
        self._running: Counter[str] = Counter()
        self._told: dict[tuple[InstanceId, str], _Told] = {}

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
        told = self._told.get((sender, member))
        if told is not None:
            told.seconds += seconds

    def learn(
        self,
        sender: InstanceId,
        uses: Iterable[Use],
        *,
        now: float,
    ) -> Mapping[str, float]:
        """Take what an instance tells; returns the new slot-seconds."""
        fresh: dict[str, float] = {}
        for use in uses:
            place = (sender, use.member)
            told = self._told.get(place)
            if told is not None:
                fresh[use.member] = use.seconds - told.seconds
            self._told[place] = _Told(use.seconds, use.running, now)
        return fresh

    def elsewhere(self, *, now: float) -> Mapping[str, int]:
        """Tell how many tasks of each member run at other instances."""
        total: Counter[str] = Counter()
        for (_, member), told in self._told.items():
            if now - told.at < _STALE_SECONDS:
                total[member] += told.running
        return total

    def _add(self, member: str, seconds: float) -> None:
        self._used[member] = self._used.get(member, 0) + seconds
