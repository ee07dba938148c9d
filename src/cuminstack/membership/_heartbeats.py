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


class HeartbeatSender:
    """Numbers the rounds of heartbeats and keeps the times of recent ones."""

    def __init__(self, timing: Timing) -> None:
        self.summary = Summary()
        self._timing = timing
        self._seq = 0
        self._sent_at: dict[int, float] = {}

    def is_due(self, *, now: float) -> bool:
        """Return whether an interval has passed since the last round."""
        last = self._sent_at.get(self._seq, _NEVER)
        return now - last >= self._timing.interval

    def start_round(self, *, now: float) -> None:
        """Start a round, with the next number, of one heartbeat each."""
        kept = {
            seq: sent_at
            for seq, sent_at in self._sent_at.items()
            if now - sent_at <= self._timing.acknowledgement_timeout
        }
        self._seq += 1
        self._sent_at = {**kept, self._seq: now}

    def sent_at(self, seq: int) -> float:
        """Return the time of a round, in seconds.

        Args:
            seq: Number of the round.

        Returns:
            The time, or minus infinity if the round is unknown or too old.
        """
        return self._sent_at.get(seq, _NEVER)

    def heartbeat_to(
        self,
        peer: Neighbour,
        own: Record,
        table: bytes,
    ) -> Send:
        """Return the heartbeat of the current round to a neighbour.

        Args:
            peer: The neighbour.
            own: Record of this instance.
            table: Digest of all records.
        """
        heartbeat = Heartbeat(
            incarnation=own.incarnation,
            counter=own.counter,
            leaving=own.standing is Standing.leaving,
            seq=self._seq,
            heard=peer.last_seq,
            table=table,
            summary=self.summary,
        )
        return Send(peer.instance, heartbeat)
