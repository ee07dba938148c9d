"""Which control instance dispatches for a connected set of instances.

No quorum is needed: endpoints obey the highest fencing token, and a later
term has higher tokens.  So each side of a cut has a dispatcher of its own,
and when the sides meet the one in touch with more instances goes on.
"""

import math
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.fleet._messages import ControlBeat

#: Silence after which an instance counts as lost, in seconds: three
#: heartbeats and some.
SILENCE_SECONDS: Final = 0.35
#: How long an instance listens after its start before it may lead.
_SETTLE_SECONDS: Final = 0.8
#: Pause between two later terms, so that endpoints can answer.
_RISE_SECONDS: Final = 0.3
#: How long it has to be the first in line, so that beats under way count.
_PATIENCE_SECONDS: Final = 0.1


@dataclass(frozen=True, slots=True)
class _Heard:
    beat: ControlBeat
    at: float


class Election:
    """What one control instance decides about who leads.

    Args:
        own: This instance.
        highest_term: The highest term that it knew of before its start.
        now: The present time.
    """

    def __init__(
        self,
        own: InstanceId,
        *,
        highest_term: int = 0,
        now: float,
    ) -> None:
        self._own = own
        self._settled_at = now + _SETTLE_SECONDS
        self._heard: dict[InstanceId, _Heard] = {}
        self._highest_term = highest_term
        self._term = 0
        self._first_since: float | None = None
        self._rise_at: float = 0
        self._rises = 1

    @property
    def term(self) -> int:
        """The term in which this instance leads; 0 if it doesn't."""
        return self._term

    @property
    def highest_term(self) -> int:
        """The highest term that was heard of."""
        return self._highest_term

    def live(self, *, now: float) -> tuple[InstanceId, ...]:
        """List the other control instances that were heard lately."""
        return tuple(
            sorted(
                name
                for name, heard in self._heard.items()
                if now - heard.at < SILENCE_SECONDS and not heard.beat.leaves
            ),
        )

    def leader(self, *, now: float) -> InstanceId | None:
        """Give who dispatches, as far as this instance can tell."""
        if self._term:
            return self._own
        rivals = self._rivals(now)
        if not rivals:
            return None
        return max(rivals, key=lambda name: self._heard[name].beat.term)

    def hear(
        self,
        sender: InstanceId,
        beat: ControlBeat,
        *,
        now: float,
    ) -> None:
        """Take a heartbeat of another control instance."""
        self._heard[sender] = _Heard(beat, now)
        self._highest_term = max(self._highest_term, beat.term)

    def rise(self, *, now: float) -> None:
        """Take that endpoints obey a later term than any heard of.

        The dispatcher of that term is not in touch, or has lost its memory.
        """
        if not self._term or now < self._rise_at:
            return
        self._rise_at = now + _RISE_SECONDS
        self._highest_term += self._rises
        self._rises *= 2
        self._begin_term()

    def leave(self) -> None:
        """Lead no more, now or later."""
        self._term = 0
        self._settled_at = math.inf

    def tick(self, *, weight: int, now: float) -> None:
        """Decide whether to lead.

        Args:
            weight: How many instances this one is in touch with.
            now: The present time.
        """
        rivals = self._rivals(now)
        if self._term:
            self._meet(rivals, weight)
        elif rivals or not self._is_first(now):
            self._first_since = None
        else:
            self._consider(now)

    def _rivals(self, now: float) -> tuple[InstanceId, ...]:
        return tuple(
            name for name in self.live(now=now) if self._heard[name].beat.leads
        )

    def _meet(self, rivals: tuple[InstanceId, ...], weight: int) -> None:
        """Step down before a better leader, or rise above a worse one."""
        for rival in rivals:
            beat = self._heard[rival].beat
            if (beat.weight, rival) > (weight, self._own):
                self._term = 0
                self._first_since = None
                return
            if beat.term >= self._term:
                self._begin_term()

    def _is_first(self, now: float) -> bool:
        others = self.live(now=now)
        is_least = all(self._own < other for other in others)
        return is_least and now >= self._settled_at

    def _consider(self, now: float) -> None:
        if self._first_since is None:
            self._first_since = now
        if now - self._first_since >= _PATIENCE_SECONDS:
            self._begin_term()

    def _begin_term(self) -> None:
        self._highest_term += 1
        self._term = self._highest_term
