"""Slot usage of members, local and as reported by other instances."""

from collections import Counter
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId, MemberName
from cuminstack.slots._messages import MemberUsage

#: Age at which a reported number of running tasks expires, in seconds.
_STALE_SECONDS: Final = 2


@dataclass(frozen=True, slots=True)
class _RemoteRunning:
    """Reported number of running tasks, and when it was received."""

    count: int
    at: float


class Usage:
    """The slot usage of members through this and other instances."""

    def __init__(self) -> None:
        self._used: dict[str, float] = {}
        self._running: Counter[str] = Counter()
        self._reported: dict[tuple[InstanceId, str], float] = {}
        self._remote_running: dict[str, dict[InstanceId, _RemoteRunning]] = {}

    @property
    def running(self) -> int:
        """Number of running tasks that this instance started."""
        return self._running.total()

    def begin(self, member: str, charge: float) -> None:
        """Record the start of a local task, charged in advance."""
        self._running[member] += 1
        self._add(member, charge)

    def end(self, member: str, seconds: float) -> None:
        """Record the end of a task.

        `seconds` is the difference between its usage and its charge, in
        slot-seconds.
        """
        self._running[member] -= 1
        if not self._running[member]:
            self._running.pop(member)
        self._add(member, seconds)

    def uses(self, *extra: MemberName) -> tuple[MemberUsage, ...]:
        """Return the usage of the members with local tasks and of `extra`."""
        return tuple(
            MemberUsage(
                MemberName(member),
                self._used.get(member, 0),
                self._running[member],
            )
            for member in sorted({*self._running, *extra})
        )

    def charge_ahead(
        self, sender: InstanceId, member: str, seconds: float
    ) -> None:
        """Count slot-seconds before another instance reports them."""
        key = (sender, member)
        reported = self._reported.get(key)
        if reported is not None:
            self._reported[key] = reported + seconds

    def observe(
        self, sender: InstanceId, use: MemberUsage, *, now: float
    ) -> float:
        """Record the usage that an instance reports.

        Returns:
            The slot-seconds that were not counted before.
        """
        key = (sender, use.member)
        reported = self._reported.get(key, use.seconds)
        self._reported[key] = use.seconds
        running = self._remote_running.setdefault(use.member, {})
        running[sender] = _RemoteRunning(use.running, now)
        return use.seconds - reported

    def elsewhere(self, member: str) -> int:
        """Return how many tasks of a member run at other instances."""
        reported = self._remote_running.get(member, {})
        return sum(running.count for running in reported.values())

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Drop expired counts.

        Returns:
            The members that had expired counts.
        """
        old = [
            (member, sender)
            for member, reported in self._remote_running.items()
            for sender, running in reported.items()
            if now - running.at >= _STALE_SECONDS
        ]
        for member, sender in old:
            reported = self._remote_running[member]
            reported.pop(sender)
            if not reported:
                self._remote_running.pop(member)
        return tuple({key[0] for key in old})

    def _add(self, member: str, seconds: float) -> None:
        self._used[member] = self._used.get(member, 0) + seconds
