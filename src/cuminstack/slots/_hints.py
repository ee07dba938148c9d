"""Where free slots may be found, and where some will be freed."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.slots._messages import Hint

#: Age at which a hint is worth no more than the guess, in seconds.
_STALE_SECONDS: Final = 1
#: Slots that an instance is thought to hold of which nothing is known.
_GUESSED_FREE: Final = 2
_GUESSED_BUSY: Final = 8
#: Hints in one message.
_MAX_HINTS: Final = 16


@dataclass(frozen=True, slots=True)
class _Known:
    """What was known of an instance at a time."""

    at: float
    free: int
    busy: int


class Hints:
    """Slots by instance, free and busy ones, and when that was known."""

    def __init__(self) -> None:
        self._known: dict[InstanceId, _Known] = {}

    def observe(
        self,
        instance: InstanceId,
        free: int,
        busy: int | None = None,
        *,
        at: float,
    ) -> None:
        """Take counts, unless newer ones are known."""
        known = self._known.get(instance)
        if busy is None:
            busy = known.busy if known else _GUESSED_BUSY
        if known is None or known.at <= at:
            self._known[instance] = _Known(at, free, busy)

    def merge(
        self,
        hints: Iterable[Hint],
        own: InstanceId,
        *,
        now: float,
    ) -> None:
        """Take the hints of another instance."""
        for hint in hints:
            if hint.instance != own:
                at = now - hint.age
                self.observe(hint.instance, hint.free, hint.busy, at=at)

    def keep(self, alive: Iterable[InstanceId]) -> None:
        """Forget the instances that have left the view."""
        living = set(alive)
        self._known = {
            peer: known for peer, known in self._known.items() if peer in living
        }

    def give(self, *, now: float) -> tuple[Hint, ...]:
        """Give the freshest hints."""
        newest = sorted(
            self._known.items(),
            key=lambda pair: (-pair[1].at, pair[0]),
        )
        return tuple(
            Hint(peer, known.free, known.busy, now - known.at)
            for peer, known in newest[:_MAX_HINTS]
            if now - known.at < _STALE_SECONDS
        )

    def free(self, peer: InstanceId, *, now: float) -> float:
        """Guess the free slots of an instance."""
        known = self._recall(peer, now)
        trust = _trust(known, now)
        return trust * known.free + (1 - trust) * _GUESSED_FREE

    def busy(self, peer: InstanceId, *, now: float) -> float:
        """Guess the slots in use at an instance."""
        known = self._recall(peer, now)
        trust = _trust(known, now)
        return trust * known.busy + (1 - trust) * _GUESSED_BUSY

    def _recall(self, peer: InstanceId, now: float) -> _Known:
        nothing = _Known(now - _STALE_SECONDS, 0, 0)
        return self._known.get(peer, nothing)


def _trust(known: _Known, now: float) -> float:
    return max(0, 1 - (now - known.at) / _STALE_SECONDS)
