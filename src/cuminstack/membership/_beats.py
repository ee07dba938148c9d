"""The heartbeats that an instance sends."""

from typing import Final

from cuminstack.core import Send
from cuminstack.membership._messages import (
    Heartbeat,
    Record,
    Standing,
    Summary,
)
from cuminstack.membership._peer import Neighbour, Timing

_NEVER: Final = float('-inf')


class Beats:
    """Numbers heartbeats and remembers when each was sent."""

    def __init__(self, timing: Timing) -> None:
        self.summary = Summary()
        self._timing = timing
        self._seq = 0
        self._sent_at: dict[int, float] = {}

    def is_due(self, *, now: float) -> bool:
        """Tell whether an interval has passed since the last round."""
        last = self._sent_at.get(self._seq, _NEVER)
        return now - last >= self._timing.interval

    def open_round(self, *, now: float) -> None:
        """Take the next number, for one heartbeat to each neighbour."""
        kept = {
            seq: sent_at
            for seq, sent_at in self._sent_at.items()
            if now - sent_at <= self._timing.echo
        }
        self._seq += 1
        self._sent_at = {**kept, self._seq: now}

    def sent_at(self, seq: int) -> float:
        """Give the time of a round; long ago if it isn't remembered."""
        return self._sent_at.get(seq, _NEVER)

    def to(self, peer: Neighbour, own: Record, table: bytes) -> Send:
        """Give the heartbeat of the present round to one neighbour."""
        beat = Heartbeat(
            incarnation=own.incarnation,
            counter=own.counter,
            leaving=own.standing is Standing.leaving,
            seq=self._seq,
            heard=peer.heard,
            table=table,
            summary=self.summary,
        )
        return Send(peer.instance, beat)
