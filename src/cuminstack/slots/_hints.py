"""Where free slots may be found."""

from collections.abc import Iterable
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.slots._messages import Hint

#: Age at which a hint is worth no more than the guess, in seconds.
_STALE_SECONDS: Final = 1
#: Free slots that an instance is thought to hold of which nothing is known.
_GUESS: Final = 2
#: Hints in one message.
_MAX_HINTS: Final = 16


class Hints:
    """Free slots by instance, each with the time when it was known."""

    def __init__(self) -> None:
        self._known: dict[InstanceId, tuple[float, int]] = {}

    def observe(self, instance: InstanceId, free: int, *, at: float) -> None:
        """Take a count, unless a newer one is known."""
        known = self._known.get(instance)
        if known is None or known[0] <= at:
            self._known[instance] = (at, free)

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
                self.observe(hint.instance, hint.free, at=now - hint.age)

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
            key=lambda pair: (-pair[1][0], pair[0]),
        )
        return tuple(
            Hint(peer, free, now - at)
            for peer, (at, free) in newest[:_MAX_HINTS]
            if now - at < _STALE_SECONDS
        )

    def estimate(self, peer: InstanceId, *, now: float) -> float:
        """Guess the free slots of an instance."""
        at, free = self._known.get(peer, (now - _STALE_SECONDS, 0))
        trust = max(0, 1 - (now - at) / _STALE_SECONDS)
        return trust * free + (1 - trust) * _GUESS
