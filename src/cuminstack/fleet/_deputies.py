"""Deputies: entries that dispatch while no control instance can.

If all control instances were lost at once, endpoints would stay idle that
entries can still reach.  A few entries, the deputies, therefore receive what
control instances know about the endpoints, and one of them dispatches until a
control instance is back.
"""

from collections.abc import Iterable
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.fleet._election import HEARTBEAT_TIMEOUT_SECONDS, Election
from cuminstack.fleet._messages import LeaderBeat

#: Deputies of a deployment whose zones aren't divided.  One of them is enough;
#: the others may be lost together with the control instances, as when two of
#: three zones fail.
_MAX_DEPUTIES: Final = 3
#: Seconds without a heartbeat of any control instance after which a deputy
#: may lead: longer than one control instance takes to succeed another, and
#: short enough to lead before entries refuse jobs for lack of a dispatcher.
_TAKEOVER_SECONDS: Final = 0.7
#: Seconds for which control instances must have been back before a deputy
#: resigns in favour of one.  By then one of them is ready to lead, and most
#: endpoints have sent it a heartbeat.
_HANDBACK_SECONDS: Final = 1.5


def choose_deputies(entries: Iterable[InstanceId]) -> tuple[InstanceId, ...]:
    """Return the entries that stand in for control instances."""
    return choose_evenly_spaced(entries, most=_MAX_DEPUTIES)


def choose_evenly_spaced(
    instances: Iterable[InstanceId],
    *,
    most: int,
) -> tuple[InstanceId, ...]:
    """Return instances at even distances in the order of their names.

    Instances are named by their addresses, and machines of one zone have
    neighbouring addresses, so the choice is spread over the zones.

    Args:
        instances: The instances to choose from.
        most: Number of instances to return at most.
    """
    names = sorted(instances)
    if len(names) <= most:
        return tuple(names)
    places = (len(names) * turn // most for turn in range(most))
    return tuple(names[place] for place in places)


class DeputyElection(Election):
    """Decides whether one entry dispatches.

    An entry leads only while it is in touch with half of the entries.  One
    that is cut off from them would take endpoints away from a dispatcher that
    it cannot reach.
    """

    def __init__(self, own: InstanceId, *, now: float) -> None:
        super().__init__(own, now=now)
        self._is_deputy = False
        self._entry_count = 0
        self._last_control_at = now
        self._controls_back_at = now
        self._control_leads = False

    def receive_leader_beat(self, beat: LeaderBeat, *, now: float) -> None:
        """Record a heartbeat of a control instance."""
        if now - self._last_control_at > _TAKEOVER_SECONDS:
            self._controls_back_at = now
        self._last_control_at = now
        self._control_leads = bool(beat.term)
        self._learn_term(beat.term)
        if beat.term:
            self._is_deputy = self._own in beat.deputies
            self._entry_count = beat.entries

    def has_lost_controls(self, *, now: float) -> bool:
        """Return whether this is a deputy and all control instances are silent.

        Deputies exchange heartbeats only then.
        """
        return (
            self._is_deputy
            and now - self._last_control_at > HEARTBEAT_TIMEOUT_SECONDS
        )

    def tick(
        self,
        *,
        weight: int,
        now: float,
        relieves_deputies: bool = False,
    ) -> None:
        """Decide whether to lead.

        Args:
            weight: Number of live control instances and of entries that
                follow this one.
            now: The present time in seconds.
            relieves_deputies: Ignored, as this instance is a deputy itself.
        """
        may_lead = (
            self._may_continue(now) if self.term else self._may_take_over(now)
        )
        if may_lead and self._reaches_half_of_entries(now):
            super().tick(weight=weight, now=now)
        else:
            self._resign()

    def _may_take_over(self, now: float) -> bool:
        return (
            self._is_deputy and now - self._last_control_at > _TAKEOVER_SECONDS
        )

    def _may_continue(self, now: float) -> bool:
        if now - self._last_control_at > _TAKEOVER_SECONDS:
            return True
        is_back = now - self._controls_back_at > _HANDBACK_SECONDS
        return not (is_back or self._control_leads)

    def _reaches_half_of_entries(self, now: float) -> bool:
        recent = self._reports.count(now=now)
        # This instance is an entry, too.
        return 2 * (recent + 1) >= self._entry_count
