"""Whom this instance has asked for slots, and whom to ask next."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.slots._demand import WANT_SECONDS
from cuminstack.slots._hints import Hints
from cuminstack.slots._messages import Grant

#: Until an ask without a reply is thought lost, in seconds.
_REPLY_SECONDS: Final = 0.1
#: Until an instance that had too little is asked anew, in seconds.
_REFRESH_SECONDS: Final = 0.1


@dataclass(slots=True)
class _Asked:
    """The last ask to an instance."""

    at: float
    count: int
    replied: bool = False

    def rests(self, now: float) -> bool:
        """Whether it is too early to ask anew."""
        limit = _REFRESH_SECONDS if self.replied else _REPLY_SECONDS
        return now - self.at < limit

    def stands(self, now: float) -> bool:
        """Whether the instance may yet send slots for it."""
        return self.count > 0 and now - self.at < WANT_SECONDS


class Borrowing:
    """Asks one instance after another, the richest in free slots first."""

    def __init__(self) -> None:
        self.hints = Hints()
        self._asked: dict[InstanceId, _Asked] = {}

    def keep(self, alive: Iterable[InstanceId]) -> None:
        """Forget the instances that have left the view."""
        living = tuple(alive)
        self.hints.keep(living)
        self._asked = {
            peer: asked for peer, asked in self._asked.items() if peer in living
        }

    def choose(
        self,
        peers: Iterable[InstanceId],
        count: int,
        *,
        now: float,
    ) -> tuple[InstanceId, ...]:
        """Choose whom to ask now for so many slots."""
        awaited = sum(
            self.hints.estimate(peer, now=now)
            for peer, asked in self._asked.items()
            if not asked.replied and asked.rests(now)
        )
        missing = count - awaited
        if missing <= 0:
            return ()
        ready = [peer for peer in peers if not self._rests(peer, now)]
        chosen = self.hints.choose(ready, int(missing) or 1, now=now)
        for peer in chosen:
            self._asked[peer] = _Asked(now, count)
        return chosen

    def replied(
        self,
        peer: InstanceId,
        grant: Grant,
        *,
        now: float,
    ) -> None:
        """Take what an instance has sent."""
        asked = self._asked.get(peer)
        if asked is None:
            return
        got = sum(len(group.slots) for group in grant.slots)
        asked.count = max(0, asked.count - got)
        asked.replied = asked.replied or grant.reply
        if asked.replied and not asked.count:
            self._asked.pop(peer)

    def cancel(self, *, now: float) -> tuple[InstanceId, ...]:
        """Give the instances whose wants must be taken back."""
        standing = tuple(
            peer
            for peer, asked in self._asked.items()
            if asked.replied and asked.stands(now)
        )
        for peer in standing:
            self._asked.pop(peer)
        return standing

    def _rests(self, peer: InstanceId, now: float) -> bool:
        asked = self._asked.get(peer)
        return asked is not None and asked.rests(now)
