"""Entries that dispatch while no control instance can.

A loss of all control instances at once would leave endpoints idle that
entries can reach.  A few entries are therefore told what control instances
know of the endpoints, and one of them dispatches until a control instance is
back.
"""

from collections.abc import Iterable
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.fleet._election import (
    SILENCE_SECONDS,
    WORD_SECONDS,
    Election,
)
from cuminstack.fleet._messages import LeaderBeat

#: Deputies of a deployment: one is enough while the others of them are lost
#: with the control instances, as in two zones of three.
_DEPUTIES: Final = 3
#: Silence of all control instances, in seconds, after which a deputy stands:
#: longer than one of them takes to follow another, and short enough to lead
#: before entries refuse jobs for want of a dispatcher.
_STAND_SECONDS: Final = 0.7
#: How long a control instance must have been back before a deputy resigns in
#: its favour: by then it is settled, and most endpoints have sent it a
#: heartbeat.
_RETURN_SECONDS: Final = 1.5


def choose_deputies(entries: Iterable[InstanceId]) -> tuple[InstanceId, ...]:
    """Choose the entries that stand in for control instances."""
    return choose_spread(entries, most=_DEPUTIES)


def choose_spread(
    instances: Iterable[InstanceId],
    *,
    most: int,
) -> tuple[InstanceId, ...]:
    """Choose some that are spread over all, in the order of their names.

    Machines of a zone have neighbouring addresses, which name them.
    """
    names = sorted(instances)
    if len(names) <= most:
        return tuple(names)
    places = (len(names) * turn // most for turn in range(most))
    return tuple(names[place] for place in places)


class DeputyElection(Election):
    """What one entry decides about whether it dispatches.

    It stands only while it is in touch with half of the entries, as one that
    is cut off would take endpoints away from a dispatcher that it doesn't
    hear.
    """

    def __init__(self, own: InstanceId, *, now: float) -> None:
        super().__init__(own, now=now)
        self._is_deputy = False
        self._entries = 0
        self._control_at = now
        self._returned_at = now
        self._control_leads = False

    def hear_leader(self, beat: LeaderBeat, *, now: float) -> None:
        """Take a heartbeat of a control instance."""
        if now - self._control_at > _STAND_SECONDS:
            self._returned_at = now
        self._control_at = now
        self._control_leads = bool(beat.term)
        self._highest_term = max(self._highest_term, beat.term)
        if beat.term:
            self._is_deputy = self._own in beat.deputies
            self._entries = beat.entries

    def misses_controls(self, *, now: float) -> bool:
        """Tell whether deputies should hear of one another."""
        return self._is_deputy and now - self._control_at > SILENCE_SECONDS

    def tick(self, *, weight: int, now: float) -> None:
        """Decide whether to lead.

        Args:
            weight: How many instances this one is in touch with.
            now: The present time.
        """
        may_lead = self._goes_on(now) if self.term else self._may_stand(now)
        if may_lead and self._is_in_touch(now):
            super().tick(weight=weight, now=now)
        else:
            self._resign()

    def _may_stand(self, now: float) -> bool:
        return self._is_deputy and now - self._control_at > _STAND_SECONDS

    def _goes_on(self, now: float) -> bool:
        if now - self._control_at > _STAND_SECONDS:
            return True
        is_back = now - self._returned_at > _RETURN_SECONDS
        return not (is_back or self._control_leads)

    def _is_in_touch(self, now: float) -> bool:
        heard = sum(
            now - word.at < WORD_SECONDS for word in self._words.values()
        )
        # It is one of them, too.
        return 2 * (heard + 1) >= self._entries
