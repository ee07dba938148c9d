"""What an instance observes of one neighbour directly."""

from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.membership._messages import Heartbeat, Summary

_NEVER: Final = float('-inf')


@dataclass(frozen=True, slots=True)
class Timing:
    """Settings of the failure detector, in seconds.

    Args:
        interval: Interval between two heartbeats to one neighbour.
        suspect_timeout: Silence after which a neighbour is
            suspected, and nothing is routed to it.
        gone_timeout: Silence after which an instance is removed
            from the view.
    """

    interval: float = 1
    suspect_timeout: float = 2.5
    gone_timeout: float = 30

    @property
    def acknowledgement_timeout(self) -> float:
        """Maximum age of the last heartbeat that a neighbour acknowledged.

        The suspect time-out applies to the neighbour's heartbeat; the one
        that it acknowledges is older by up to an interval.
        """
        return self.suspect_timeout + self.interval


class Neighbour:
    """State of the direct exchange of heartbeats with one neighbour."""

    def __init__(self, instance: InstanceId) -> None:
        self.instance = instance
        self.incarnation = 0
        self.last_seq = 0
        self.summary: Summary | None = None
        self.suspected_at = _NEVER
        self.pushed_at = _NEVER
        self._last_heartbeat_at = _NEVER
        self._acknowledged_sent_at = _NEVER

    def record_heartbeat(
        self,
        heartbeat: Heartbeat,
        *,
        acknowledged_sent_at: float,
        now: float,
    ) -> bool:
        """Record a heartbeat from the neighbour.

        Args:
            heartbeat: The heartbeat.
            acknowledged_sent_at: When the heartbeat of this instance that
                it acknowledges was sent, in seconds.
            now: Current time, in seconds.

        Returns:
            Whether the neighbour has a new incarnation.
        """
        renewed = heartbeat.incarnation > self.incarnation
        if renewed:
            self.incarnation = heartbeat.incarnation
            self.last_seq = 0
            self._acknowledged_sent_at = _NEVER
        self.last_seq = max(self.last_seq, heartbeat.seq)
        self.suspected_at = _NEVER
        self._last_heartbeat_at = now
        self._acknowledged_sent_at = max(
            self._acknowledged_sent_at,
            acknowledged_sent_at,
        )
        return renewed

    def mark_silent(self) -> None:
        """Treat the neighbour as silent until its next heartbeat."""
        self._last_heartbeat_at = _NEVER

    def restart_silence(self, *, now: float) -> None:
        """Measure silence from now, since nothing could arrive before."""
        self._last_heartbeat_at = now

    def discount_pause(self, pause: float, *, now: float) -> None:
        """Exclude a pause of this process from the measured silence.

        Args:
            pause: Length of the pause, in seconds.
            now: Current time, in seconds.
        """
        self._last_heartbeat_at = min(self._last_heartbeat_at + pause, now)
        self._acknowledged_sent_at = min(
            self._acknowledged_sent_at + pause,
            now,
        )

    def silent_for(self, *, now: float) -> float:
        """Return the seconds since the last heartbeat."""
        return now - self._last_heartbeat_at

    def should_suspect(self, timing: Timing, *, now: float) -> bool:
        """Return whether to publish a suspicion of the neighbour.

        That is the case if it is silent and no suspicion was published for
        the gone time-out.
        """
        recently = now - self.suspected_at < timing.gone_timeout
        return self.is_silent(timing, now=now) and not recently

    def is_silent(self, timing: Timing, *, now: float) -> bool:
        """Return whether the silence exceeds the suspect time-out."""
        return self.silent_for(now=now) > timing.suspect_timeout

    def is_reachable(self, timing: Timing, *, now: float) -> bool:
        """Return whether heartbeats arrive in both directions."""
        is_acknowledged = (
            now - self._acknowledged_sent_at <= timing.acknowledgement_timeout
        )
        return is_acknowledged and not self.is_silent(timing, now=now)
