"""Which sheets the peers have, and so how new the one here is."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId

#: How long an instance asks before it serves what it found.
ASK_SECONDS: Final = 2.0
#: How long it counts what a peer said.
_HEARD_SECONDS: Final = 6.0


class Freshness(enum.Enum):
    """How sure an instance is that it has the sheet in force.

    `asking`: it has just started and must not serve yet.  `confirmed`: it
    has what a majority of the replicas has.  `behind`: it knows of a newer
    one and is getting it.  `cut_off`: it hears no majority of the replicas
    and serves the newest that it could find.
    """

    asking = 'asking'
    confirmed = 'confirmed'
    behind = 'behind'
    cut_off = 'cut_off'


@dataclass(frozen=True, slots=True)
class Heard:
    """What a peer said last."""

    version: int
    digest: bytes
    at: float


class PeerSheets:
    """Which sheets the peers said that they have."""

    def __init__(
        self,
        own: InstanceId,
        replicas: Iterable[InstanceId],
    ) -> None:
        """Take this instance and the replica set."""
        self._own = own
        self._replicas = tuple(replicas)
        self._heard: dict[InstanceId, Heard] = {}

    def observe(self, peer: InstanceId, heard: Heard) -> None:
        """Take what a peer said."""
        self._heard[peer] = heard

    def forget(self, peer: InstanceId) -> None:
        """Drop what a peer said, as it didn't give it when asked."""
        self._heard.pop(peer, None)

    def newest(self, above: int) -> InstanceId | None:
        """Give a peer that has the newest sheet above a version."""
        newer = [
            (heard.version, peer)
            for peer, heard in self._heard.items()
            if heard.version > above
        ]
        return max(newer)[1] if newer else None

    def freshness(self, version: int, *, now: float) -> Freshness:
        """Tell how new a version is, once an instance has asked around."""
        heard = [
            self._heard[replica]
            for replica in self._replicas
            if self._is_recent(replica, now)
        ]
        count = len(heard) + (self._own in self._replicas)
        if count <= len(self._replicas) // 2:
            return Freshness.cut_off
        if any(each.version > version for each in heard):
            return Freshness.behind
        return Freshness.confirmed

    def _is_recent(self, replica: InstanceId, now: float) -> bool:
        heard = self._heard.get(replica)
        return heard is not None and now - heard.at <= _HEARD_SECONDS
