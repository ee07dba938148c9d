"""Whom this instance has asked for slots, and whom to ask next."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from types import MappingProxyType
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.slots._demand import WANT_SECONDS
from cuminstack.slots._hints import Hints
from cuminstack.slots._policy import Preference

#: Until an ask without a reply is thought lost, in seconds.
_REPLY_SECONDS: Final = 0.1
#: Until an ask that stands is thought forgotten, in seconds.
_STAND_SECONDS: Final = WANT_SECONDS
#: Until an instance that had too little is asked anew, in seconds.
_DRY_SECONDS: Final = 0.05
#: Free slots that are asked for beyond those that are missing.
_SPARE: Final = 1


@dataclass(frozen=True, slots=True)
class _Style:
    """How eagerly to ask.

    Args:
        spread: Slots asked for by asks that stand, for each one missing.
        stands: Instances at which an ask stands at least.
        worth: Free slots that an instance must be thought to hold.
    """

    spread: float
    stands: int
    worth: float


_EAGER: Final = _Style(spread=3 / 2, stands=2, worth=1)
_SPARING: Final = _Style(spread=1, stands=1, worth=5 / 2)
_STYLES: Final = MappingProxyType(
    {Preference.response: _EAGER, Preference.waste: _SPARING},
)


@dataclass(frozen=True, slots=True)
class Request:
    """An ask to be sent."""

    peer: InstanceId
    count: int
    stands: bool
    spare: int = 0


@dataclass(slots=True)
class _Asked:
    """An ask that was sent, and the slots that may still come for it."""

    at: float
    count: int
    stands: bool

    def open(self, now: float) -> bool:
        """Whether slots may still come."""
        limit = _STAND_SECONDS if self.stands else _REPLY_SECONDS
        return self.count > 0 and now - self.at < limit


class Borrowing:
    """Asks for one member, the richest instances in free slots first.

    Where none is left that may have any, asks stand at several instances, to
    be met as slots are freed.

    Args:
        hints: What is known of free slots.
    """

    def __init__(self, hints: Hints) -> None:
        self._hints = hints
        self._style = _STYLES[Preference.response]
        self._asked: dict[InstanceId, _Asked] = {}
        self._dry: dict[InstanceId, float] = {}

    def keep(self, alive: Iterable[InstanceId]) -> None:
        """Forget the instances that have left the view."""
        living = tuple(alive)
        self._dry = {
            peer: at for peer, at in self._dry.items() if peer in living
        }
        self._asked = {
            peer: asked for peer, asked in self._asked.items() if peer in living
        }

    def prefer(self, preference: Preference) -> None:
        """Ask as the member prefers."""
        self._style = _STYLES[preference]

    def choose(
        self,
        peers: Iterable[InstanceId],
        count: int,
        *,
        running: int,
        now: float,
    ) -> tuple[Request, ...]:
        """Choose whom to ask now for so many slots.

        Args:
            peers: The other instances in the view.
            count: Own tasks that wait.
            running: Own tasks that run, whose slots will be freed here.
            now: The present time, in seconds.
        """
        self._asked = {
            peer: asked
            for peer, asked in self._asked.items()
            if asked.open(now)
        }
        ready = [peer for peer in peers if peer not in self._asked]
        awaited = self._awaited(stands=False)
        requests = self._probe(ready, count - awaited, now)
        if not requests and not awaited:
            requests = self._stand(
                ready, self._style.spread * count, running, now
            )
        for request in requests:
            asked = _Asked(now, request.count, request.stands)
            self._asked[request.peer] = asked
        return requests

    def granted(
        self,
        peer: InstanceId,
        count: int,
        *,
        reply: bool,
        now: float,
    ) -> None:
        """Take what an instance has sent.

        One that sent less than it was asked for has nothing more that fits,
        whatever it says of its free slots.
        """
        asked = self._asked.get(peer)
        if asked is None:
            return
        asked.count -= count
        probed = reply and not asked.stands
        if probed and asked.count > 0:
            self._dry[peer] = now + _DRY_SECONDS
        if asked.count <= 0 or probed:
            self._asked.pop(peer)

    def cancel(self, *, now: float) -> tuple[Request, ...]:
        """Take back the asks that stand, once nothing waits."""
        standing = tuple(
            peer
            for peer, asked in self._asked.items()
            if asked.stands and asked.open(now)
        )
        for peer in standing:
            self._asked.pop(peer)
        return tuple(Request(each, 0, stands=True) for each in standing)

    def _awaited(self, *, stands: bool) -> int:
        return sum(
            asked.count
            for asked in self._asked.values()
            if asked.stands is stands
        )

    def _probe(
        self,
        ready: Iterable[InstanceId],
        count: int,
        now: float,
    ) -> tuple[Request, ...]:
        """Ask the fewest that may have so many free slots."""
        guesses = {
            peer: self._hints.free(peer, now=now)
            for peer in ready
            if self._dry.get(peer, now) <= now
        }
        requests: list[Request] = []
        richest = sorted(guesses, key=lambda each: (-guesses[each], each))
        for peer in richest:
            if count <= 0 or guesses[peer] < self._style.worth:
                break
            part = min(count, ceil(guesses[peer]))
            few = count == 1 and guesses[peer] > 2
            spare = _SPARE if few else 0
            requests.append(Request(peer, part, stands=False, spare=spare))
            count -= part
        return tuple(requests)

    def _stand(
        self,
        ready: Iterable[InstanceId],
        count: float,
        running: int,
        now: float,
    ) -> tuple[Request, ...]:
        """Let asks stand where most slots are in use, in proportion."""
        busy = {peer: self._hints.busy(peer, now=now) for peer in ready}
        elsewhere = sum(self._hints.busy(peer, now=now) for peer in self._asked)
        total = sum(busy.values()) + elsewhere + running
        missing = count - self._awaited(stands=True)
        missing -= count * running / max(1, total)
        requests: list[Request] = []
        busiest = sorted(busy, key=lambda each: (-busy[each], each))
        for peer in busiest:
            few = len(requests) + len(self._asked) < self._style.stands
            if missing <= 0 and not few:
                break
            part = ceil(count * busy[peer] / max(1, total))
            requests.append(Request(peer, max(1, part), stands=True))
            missing -= part
        return tuple(requests)
