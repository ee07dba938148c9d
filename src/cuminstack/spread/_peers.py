"""Sheets that the peers report, compared with that of this instance."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId

#: How long a started instance asks its peers before it serves the newest
#: sheet that it found.
MAX_ASKING_SECONDS: Final = 2.0
#: Age up to which the report of a peer counts.
_REPORT_MAX_AGE_SECONDS: Final = 6.0


class Freshness(enum.Enum):
    """Whether an instance is known to have the sheet in force.

    `asking`: it has just started and must not serve yet.  `confirmed`: a
    majority of the replicas reported, and none of them has a newer sheet.
    `behind`: a replica has a newer sheet, which the instance fetches.
    `cut_off`: no majority of the replicas reported lately, so the instance
    serves the newest sheet that it found.
    """

    asking = 'asking'
    confirmed = 'confirmed'
    behind = 'behind'
    cut_off = 'cut_off'


@dataclass(frozen=True, slots=True)
class PeerReport:
    """The latest report of a peer.

    Args:
        version: Version of the peer's sheet.
        digest: Digest of the peer's sheet.
        at: Time at which the report was received, in seconds.
    """

    version: int
    digest: bytes
    at: float


class PeerSheets:
    """The latest reports of all peers about their sheets."""

    def __init__(
        self,
        own: InstanceId,
        replicas: Iterable[InstanceId],
    ) -> None:
        """Start without reports; `own` is this instance."""
        self._own = own
        self._replicas = tuple(replicas)
        self._reports: dict[InstanceId, PeerReport] = {}

    def observe(self, peer: InstanceId, report: PeerReport) -> None:
        """Record the report of a peer."""
        self._reports[peer] = report

    def forget(self, peer: InstanceId) -> None:
        """Drop the report of a peer that didn't send its sheet in time."""
        self._reports.pop(peer, None)

    def newest(self, above: int) -> InstanceId | None:
        """Return a peer with the newest sheet, if that is above a version."""
        newer = [
            (report.version, peer)
            for peer, report in self._reports.items()
            if report.version > above
        ]
        return max(newer)[1] if newer else None

    def freshness(self, version: int, *, now: float) -> Freshness:
        """Return the freshness of a version, for an instance that has asked."""
        recent = [
            self._reports[replica]
            for replica in self._replicas
            if self._is_recent(replica, now)
        ]
        count = len(recent) + (self._own in self._replicas)
        if count <= len(self._replicas) // 2:
            return Freshness.cut_off
        if any(each.version > version for each in recent):
            return Freshness.behind
        return Freshness.confirmed

    def _is_recent(self, replica: InstanceId, now: float) -> bool:
        """Return whether a replica reported recently."""
        report = self._reports.get(replica)
        return report is not None and now - report.at <= _REPORT_MAX_AGE_SECONDS
