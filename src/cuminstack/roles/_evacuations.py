"""Obeys evacuations at an instance that may dispatch, and logs it."""

from collections.abc import Callable, Iterable

from cuminstack.core import ZoneName
from cuminstack.document import NO_EVACUATIONS, Evacuations
from cuminstack.fleet import EntryBeat, KnownEvacuations
from cuminstack.logs import log_event
from cuminstack.pool import EndpointReport
from cuminstack.roles._active_dispatcher import ActiveDispatcher
from cuminstack.settings import LogLevel


class ObeyedEvacuations:
    """The evacuations known to an instance, and what its dispatcher obeys."""

    def __init__(self) -> None:
        self._known = KnownEvacuations()
        self._dispatcher: ActiveDispatcher | None = None
        self._obeyed: frozenset[ZoneName] = frozenset()

    @property
    def zones(self) -> frozenset[ZoneName]:
        """The availability zones in which this instance starts no task."""
        return self._known.zones

    def learn(
        self,
        in_force: Evacuations,
        unsettled: Evacuations = NO_EVACUATIONS,
    ) -> None:
        """Record what is in force, and what was only accepted here."""
        self._known.learn(in_force)
        self._known.accept(unsettled)

    def learn_from_entry(self, beat: EntryBeat) -> None:
        """Record what an entry knows to be in force.

        The dispatcher starts a job only after a recent heartbeat of the job's
        entry, so it never knows less than that entry.
        """
        if beat.revision is not None:
            self._known.learn(Evacuations(beat.revision, beat.evacuations))

    def obey(
        self,
        dispatcher: ActiveDispatcher,
        read_reports: Callable[[], Iterable[EndpointReport]],
        *,
        now: float,
    ) -> None:
        """Have a dispatcher obey the evacuations that are known.

        Args:
            dispatcher: The dispatcher of this instance.
            read_reports: Returns the newest heartbeat of each known endpoint.
            now: The present time.
        """
        if dispatcher is not self._dispatcher:
            self._dispatcher = dispatcher
            self._obeyed = frozenset()
        zones = self._known.zones
        if zones == self._obeyed:
            return
        self._obeyed = zones
        dispatcher.evacuate(zones, now=now)
        self._log(dispatcher, tuple(read_reports()))

    def _log(
        self,
        dispatcher: ActiveDispatcher,
        reports: tuple[EndpointReport, ...],
    ) -> None:
        log_event(
            'evacuation.obeyed',
            LogLevel.warning,
            zones=','.join(sorted(self._obeyed)),
            revision=self._known.revision,
            settled=self._known.is_settled,
            term=dispatcher.term,
            endpoints=sum(report.zone in self._obeyed for report in reports),
        )
        unserved = unserved_services(reports, self._obeyed)
        if unserved:
            log_event(
                'evacuation.last_zone',
                LogLevel.warning,
                zones=','.join(sorted(self._obeyed)),
                services=','.join(unserved),
            )


def unserved_services(
    reports: Iterable[EndpointReport],
    evacuated: frozenset[ZoneName],
) -> tuple[str, ...]:
    """Return the services whose endpoints are all in evacuated zones.

    Args:
        reports: The newest heartbeat of each known endpoint.
        evacuated: The evacuated zones.
    """
    usable = [report for report in reports if not report.draining]
    services = {report.service for report in usable}
    served = {
        report.service for report in usable if report.zone not in evacuated
    }
    return tuple(sorted(services - served))
