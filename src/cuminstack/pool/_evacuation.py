"""Evacuated zones, in which no task is started, and their return to use."""

from collections.abc import Collection

from cuminstack.core import ZoneName
from cuminstack.pool._records import EndpointReport


class EvacuatedZones:
    """The availability zones in which a dispatcher starts nothing.

    When an evacuation is withdrawn, endpoints of the zone that are cold are
    filled gradually: a cold endpoint runs tasks slowly, and filling all of them
    at once would make the work of a whole zone late.
    """

    def __init__(self) -> None:
        self._zones: frozenset[ZoneName] = frozenset()
        # When each evacuation was withdrawn.
        self._withdrawn_at: dict[ZoneName, float] = {}

    def __contains__(self, zone: ZoneName) -> bool:
        """Return whether a zone is evacuated."""
        return zone in self._zones

    def replace(
        self, zones: Collection[ZoneName], *, now: float
    ) -> frozenset[ZoneName]:
        """Replace the evacuated zones.

        Args:
            zones: All zones that are evacuated from now on.
            now: Current time in seconds.

        Returns:
            The zones that are evacuated and weren't, or the reverse.
        """
        before = self._zones
        self._zones = frozenset(zones)
        for withdrawn in before - self._zones:
            self._withdrawn_at[withdrawn] = now
        for evacuated in self._zones:
            self._withdrawn_at.pop(evacuated, None)
        return before ^ self._zones

    def usable_share(self, report: EndpointReport, *, now: float) -> float:
        """Return the share of an endpoint's resources that may be in use.

        It grows with the part of the endpoint's warm-up that has passed since
        the evacuation was withdrawn, and is 1 at a warm endpoint.

        Args:
            report: Newest heartbeat of the endpoint.
            now: Current time in seconds.
        """
        withdrawn_at = self._withdrawn_at.get(report.zone)
        if withdrawn_at is None or report.cold_seconds <= 0:
            return 1
        passed = max(0, now - withdrawn_at)
        return passed / (passed + report.cold_seconds)
