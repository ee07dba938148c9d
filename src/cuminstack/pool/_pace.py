"""How late the dispatcher's own process is.

What a late process has not read yet is no one's silence.
"""

from typing import Final

#: Seconds between two ticks of a process that keeps up; they come 50 times a
#: second.
_PUNCTUAL_SECONDS: Final = 0.03
#: Share of the newest tick in the mean lateness, so that one pause, of a
#: garbage collection or a sync, does not count as being behind.
_NEWEST_SHARE: Final = 0.3
#: Lateness of one tick that counts at most, in seconds: after a suspension
#: of seconds a process is no longer behind than it takes to catch up.
_MOST_SECONDS: Final = 0.2
#: Mean lateness, in seconds, from which a process is behind; a quarter of
#: the leases of entries, which must not end for lateness of ours.
_BEHIND_SECONDS: Final = 0.1


class Pace:
    """Takes the ticks of a process, and tells how late they are."""

    def __init__(self) -> None:
        self._ticked_at: float | None = None
        self._lateness: float = 0

    @property
    def lateness(self) -> float:
        """Mean lateness of ticks, in seconds."""
        return self._lateness

    @property
    def is_behind(self) -> bool:
        """Whether the process is late more often than by a single pause."""
        return self._lateness > _BEHIND_SECONDS

    def tick(self, *, now: float) -> float:
        """Take a tick, and give by how many seconds it is late."""
        before = now if self._ticked_at is None else self._ticked_at
        self._ticked_at = now
        late = max(0, now - before - _PUNCTUAL_SECONDS)
        change = min(late, _MOST_SECONDS) - self._lateness
        self._lateness += _NEWEST_SHARE * change
        return late
