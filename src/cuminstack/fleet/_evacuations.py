"""The evacuations that an instance goes by while it dispatches."""

from cuminstack.core import ZoneName
from cuminstack.document import NO_EVACUATIONS, Evacuations


class KnownEvacuations:
    """Combines what an instance knows of the evacuations.

    What is in force comes from the replica of this instance or from entries,
    whichever is newer.  A newer value that this instance has only accepted may
    be in force, too; until a ballot settles that, a zone counts as evacuated if
    either value says so.  After a restart, the accepted value is all there is.
    """

    def __init__(self) -> None:
        self._in_force = NO_EVACUATIONS
        self._unsettled = NO_EVACUATIONS
        self._zones: frozenset[ZoneName] = frozenset()

    @property
    def revision(self) -> int:
        """Ballot number of the newest value that is gone by; 0 for none."""
        return max(self._in_force.revision, self._unsettled.revision)

    @property
    def is_settled(self) -> bool:
        """Whether the newest value that is known here is in force."""
        return self._in_force.revision >= self._unsettled.revision

    @property
    def zones(self) -> frozenset[ZoneName]:
        """The availability zones in which no task may be started."""
        return self._zones

    def learn(self, in_force: Evacuations) -> None:
        """Record the evacuations of a value that is in force."""
        if in_force.revision > self._in_force.revision:
            self._in_force = in_force
            self._update_zones()

    def accept(self, unsettled: Evacuations) -> None:
        """Record those of the newest value that was only accepted here."""
        if unsettled != self._unsettled:
            self._unsettled = unsettled
            self._update_zones()

    def _update_zones(self) -> None:
        self._zones = frozenset(self._in_force.zones)
        if not self.is_settled:
            self._zones = self._zones.union(self._unsettled.zones)
