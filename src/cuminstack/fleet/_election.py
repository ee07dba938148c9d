"""Which control instance dispatches for a connected set of instances.

No quorum is needed: endpoints obey the highest fencing token, and a later
term has higher tokens.  So each side of a cut has a dispatcher of its own,
and when the sides meet the one in touch with more instances goes on.

Control instances that are cut off from one another may still be in touch
with the same entries.  So what entries say of their dispatcher counts too.
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
_SETTLE_SECONDS: Final = 0.5
#: How long endpoints must have obeyed a later term before one above it is
#: begun: its dispatcher is met well before, if it is in touch.
_RISE_SECONDS: Final = 1.0
#: How long it has to be the first in line, so that beats under way count.
_PATIENCE_SECONDS: Final = 0.1
#: Seconds for which the word of an entry counts; it gives it twice as often.
WORD_SECONDS: Final = 1.0
#: Seconds of a term in which entries may not have heard of it yet.
_NEW_TERM_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class _Heard:
    beat: ControlBeat
    at: float


@dataclass(frozen=True, slots=True)
class _Word:
    leader: InstanceId | None
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
        self._words: dict[InstanceId, _Word] = {}
        self._highest_term = highest_term
        self._term = 0
        self._led_since: float = 0
        self._first_since: float | None = None
        self._fenced_since: float | None = None

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

    def hear_entry(
        self,
        entry: InstanceId,
        leader: InstanceId | None,
        *,
        term: int = 0,
        now: float,
    ) -> None:
        """Take which dispatcher an entry hears, and its term."""
        self._words[entry] = _Word(leader, now)
        self._highest_term = max(self._highest_term, term)

    def tick(self, *, weight: int, now: float) -> None:
        """Decide whether to lead.

        Args:
            weight: How many instances this one is in touch with.
            now: The present time.
        """
        rivals = self._rivals(now)
        if self._term:
            self._meet(rivals, weight, now)
        elif rivals or not self._is_first(now) or self._is_served(now):
            self._first_since = None
        else:
            self._consider(now)

    def fenced(self, *, now: float) -> None:
        """Take that endpoints obey a later term than any heard of.

        The dispatcher of that term is not in touch, or has lost its memory.
        """
        if not self._term or self._rivals(now) or not self._serves(now):
            self._fenced_since = None
        elif self._fenced_since is None:
            self._fenced_since = now
        elif now - self._fenced_since >= _RISE_SECONDS:
            self._fenced_since = None
            # Terms of a lost memory may have been many.
            self._highest_term *= 2
            self._begin_term(now)

    def leave(self) -> None:
        """Lead no more, now or later."""
        self._term = 0
        self._settled_at = math.inf

    def _rivals(self, now: float) -> tuple[InstanceId, ...]:
        return tuple(
            name for name in self.live(now=now) if self._heard[name].beat.leads
        )

    def _meet(
        self,
        rivals: tuple[InstanceId, ...],
        weight: int,
        now: float,
    ) -> None:
        """Step down before a better leader, or rise above a worse one."""
        for rival in rivals:
            beat = self._heard[rival].beat
            if (beat.weight, rival) > (weight, self._own):
                self._resign()
                return
            if beat.term >= self._term:
                self._begin_term(now)
        is_new = now - self._led_since < _NEW_TERM_SECONDS
        if not is_new and self._is_served(now):
            self._resign()

    def _serves(self, now: float) -> bool:
        """Tell whether an entry in touch has this dispatcher."""
        return any(
            word.leader == self._own and now - word.at < WORD_SECONDS
            for word in self._words.values()
        )

    def _is_served(self, now: float) -> bool:
        """Tell whether most entries in touch have another dispatcher.

        Entries without one count for this instance.
        """
        words = [
            word.leader
            for word in self._words.values()
            if now - word.at < WORD_SECONDS
        ]
        here = sum(leader in {None, self._own} for leader in words)
        return len(words) - here > here

    def _is_first(self, now: float) -> bool:
        others = self.live(now=now)
        is_least = all(self._own < other for other in others)
        return is_least and now >= self._settled_at

    def _consider(self, now: float) -> None:
        if self._first_since is None:
            self._first_since = now
        if now - self._first_since >= _PATIENCE_SECONDS:
            self._begin_term(now)

    def _begin_term(self, now: float) -> None:
        self._highest_term += 1
        self._term = self._highest_term
        self._led_since = now

    def _resign(self) -> None:
        self._term = 0
        self._first_since = None
