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
        interval: Between two heartbeats to one neighbour.
        eager: Silence after which nothing is routed to a neighbour.
        patient: Silence after which an instance leaves the view.
    """

    interval: float = 1
    eager: float = 2.5
    patient: float = 30

    @property
    def echo(self) -> float:
        """Age of the last heartbeat of ours that a neighbour confirms.

        It is older than the neighbour's own heartbeat by up to an interval.
        """
        return self.eager + self.interval


class Neighbour:
    """Direct evidence of one neighbour, both ways."""

    def __init__(self, instance: InstanceId) -> None:
        self.instance = instance
        self.incarnation = 0
        self.heard = 0
        self.summary: Summary | None = None
        self.accused_at = _NEVER
        self.pushed_at = _NEVER
        self._heard_at = _NEVER
        self._echoed_at = _NEVER

    def hear(self, beat: Heartbeat, *, echoed_at: float, now: float) -> bool:
        """Take a heartbeat; tell whether it is of a new incarnation.

        Args:
            beat: The heartbeat.
            echoed_at: When the heartbeat that it confirms was sent.
            now: The present time, in seconds.
        """
        renewed = beat.incarnation > self.incarnation
        if renewed:
            self.incarnation = beat.incarnation
            self.heard = 0
            self._echoed_at = _NEVER
        self.heard = max(self.heard, beat.seq)
        self.accused_at = _NEVER
        self._heard_at = now
        self._echoed_at = max(self._echoed_at, echoed_at)
        return renewed

    def lose(self) -> None:
        """Treat the neighbour as silent until it is heard again."""
        self._heard_at = _NEVER

    def listen(self, *, now: float) -> None:
        """Count silence from now, as nothing could be heard before."""
        self._heard_at = now

    def forgive(self, pause: float, *, now: float) -> None:
        """Leave a pause of our own out of all silence, in seconds."""
        self._heard_at = min(self._heard_at + pause, now)
        self._echoed_at = min(self._echoed_at + pause, now)

    def silence(self, *, now: float) -> float:
        """Give the seconds since it was heard."""
        return now - self._heard_at

    def may_accuse(self, timing: Timing, *, now: float) -> bool:
        """Tell whether it is silent and was not accused of it lately."""
        lately = now - self.accused_at < timing.patient
        return self.is_silent(timing, now=now) and not lately

    def is_silent(self, timing: Timing, *, now: float) -> bool:
        """Tell whether it was not heard for the eager time-out."""
        return self.silence(now=now) > timing.eager

    def is_reachable(self, timing: Timing, *, now: float) -> bool:
        """Tell whether it is heard and confirms that it hears us."""
        hears_us = now - self._echoed_at <= timing.echo
        return hears_us and not self.is_silent(timing, now=now)
