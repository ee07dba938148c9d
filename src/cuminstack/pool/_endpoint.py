"""State that a dispatcher keeps of one endpoint."""

import enum
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from cuminstack.pool._evacuation import EvacuatedZones
from cuminstack.pool._exchange import Hold
from cuminstack.pool._health import EndpointHealth
from cuminstack.pool._lifetime import Lifetime
from cuminstack.pool._records import (
    NO_RESOURCES,
    EndpointReport,
    Resources,
    RunKey,
)


class Phase(enum.Enum):
    """Phase of an endpoint, which decides what orders it gets.

    Only a ready endpoint gets starts.  A hold is an order that renews the lease
    of an endpoint's runs and lists them.  A joining, voiding or silent endpoint
    becomes ready when it answers a hold with the current fencing token.

    * joining: new, and has not answered a hold yet.
    * ready: may get starts.
    * voiding: a new token was issued to void earlier orders, as an order had no
      answer, it restarted or a later term began, and no hold with
      that token has been answered.
    * silent: still unanswered after its leases have expired.
    * gone: removed from the dispatcher.
    """

    joining = 'joining'
    ready = 'ready'
    voiding = 'voiding'
    silent = 'silent'
    gone = 'gone'


@dataclass(slots=True)
class Run:
    """A run that uses resources of an endpoint, or may do so later.

    A start that has no answer yet may still be delivered.

    Args:
        key: Key of the run.
        needs: Resources that it uses.
        sent_at: Time at which its start was ordered.
        stalled_seconds: Seconds since then in which this process was stalled
            and could read no answer.
        confirmed_at: Time at which the run was confirmed to have begun; None
            if it has not been confirmed.
        stop_sent_at: Time at which its last stop was ordered; None if none was.
        percent: Its last known progress, 0 to 100.
        progressed_at: Time at which `percent` last increased.
        is_claimed: Whether another dispatcher started it, so that its start is
            not known.
        first_percent: Its progress when it was claimed and listed, 0 to 100.
        first_listed_at: Time of that listing; 0 if there was none.
        expected_seconds: Expected run time at slowness 1.0; 0 if unknown.
    """

    key: RunKey
    needs: Resources
    sent_at: float
    stalled_seconds: float = 0
    confirmed_at: float | None = None
    stop_sent_at: float | None = None
    percent: float = 0
    progressed_at: float = 0
    is_claimed: bool = False
    first_percent: float = 0
    first_listed_at: float = 0
    expected_seconds: float = 0


class Endpoint:
    """State of one endpoint at its dispatcher.

    Args:
        report: Its newest heartbeat.
        token: Fencing token of the orders to it.
        number: Serial number of the endpoint at this dispatcher; increasing.
        on_change: Called with the endpoint when its free resources, its health
            or its willingness to accept starts may have changed.
        evacuated_zones: The evacuated zones of the dispatcher; None for none.
    """

    def __init__(
        self,
        report: EndpointReport,
        *,
        token: int,
        number: int,
        on_change: Callable[['Endpoint'], None],
        evacuated_zones: EvacuatedZones | None = None,
    ) -> None:
        if evacuated_zones is None:
            evacuated_zones = EvacuatedZones()
        self._evacuated_zones = evacuated_zones
        self.number = number
        self._on_change = on_change
        self._report = report
        self._free: Resources | None = None
        self.lifetime = Lifetime(report.lifetime)
        self._phase = Phase.joining
        self._joins_from: float = 0
        self._has_joined = False
        self.token = token
        self.health = EndpointHealth(self._notify_change)
        self.runs: dict[RunKey, Run] = {}
        self._foreign_runs: set[RunKey] = set()
        self._due_at: float = 0
        self._hold: Hold | None = None
        self.hold_sent_at: float = 0
        self.unanswered_holds = 0
        self._used = NO_RESOURCES

    @property
    def report(self) -> EndpointReport:
        """The newest heartbeat of the endpoint."""
        return self._report

    @report.setter
    def report(self, report: EndpointReport) -> None:
        self._report = report
        self._notify_change()

    @property
    def phase(self) -> Phase:
        """Phase of the endpoint, which decides what orders it gets."""
        return self._phase

    @phase.setter
    def phase(self, phase: Phase) -> None:
        self._phase = phase
        self._notify_change()

    @property
    def has_joined(self) -> bool:
        """Whether it has listed its runs in the dispatcher's term."""
        return self._has_joined

    @property
    def due_at(self) -> float:
        """Time of the next check, unless an event requests one earlier."""
        return self._due_at

    @property
    def hold(self) -> Hold | None:
        """The hold that has not been answered yet."""
        return self._hold

    @hold.setter
    def hold(self, hold: Hold | None) -> None:
        self._hold = hold
        self.request_check()

    @property
    def foreign_runs(self) -> AbstractSet[RunKey]:
        """Runs of another dispatcher that no job has taken over here."""
        return self._foreign_runs

    @property
    def free(self) -> Resources:
        """Resources that no known run uses or may come to use."""
        if self._free is None:
            self._free = self._report.room.minus(self._used)
        return self._free

    @property
    def takes_starts(self) -> bool:
        """Whether a task may be started here now.

        A heartbeat of an earlier lifetime tells neither the resources nor the
        labels of this one.
        """
        return (
            self._phase is Phase.ready
            and self._report.lifetime in {0, self.lifetime.number}
            and not self._foreign_runs
            and not self._is_closed
        )

    @property
    def will_take_starts(self) -> bool:
        """Whether it accepts starts now, or will once it answers."""
        phase = self._phase
        is_lost = phase is Phase.silent or phase is Phase.gone
        return not (is_lost or self._is_closed)

    @property
    def is_evacuated(self) -> bool:
        """Whether its availability zone is evacuated."""
        return self._report.zone in self._evacuated_zones

    @property
    def _is_closed(self) -> bool:
        """Whether it gets no starts until its heartbeat or an order changes."""
        return self._report.draining or self.is_evacuated

    @property
    def leases_end_at(self) -> float:
        """Time by which the leases of all runs ordered so far have expired."""
        return self.lifetime.leases_end_at

    def is_filled(self, *, now: float) -> bool:
        """Return whether it gets no further run for now, as it is cold.

        One run is always allowed.
        """
        if not self.runs:
            return False
        share = self._evacuated_zones.usable_share(self._report, now=now)
        room = self._report.room.millicores
        return share < 1 and self._used.millicores >= room * share

    def is_news(self, report: EndpointReport) -> bool:
        """Return whether a heartbeat is newer than the known one, or as new.

        The first heartbeat of the present lifetime is, even if the clock was
        set back, so that an earlier lifetime has a higher number.
        """
        is_present = report.lifetime == self.lifetime.number
        is_first = is_present and report.lifetime != self._report.lifetime
        return is_first or report.is_as_new_as(self._report)

    def rejoin(self, *, now: float) -> None:
        """Require a listing of runs that is requested from now on."""
        self._joins_from = now
        self._has_joined = False

    def record_listing(self, asked_at: float) -> None:
        """Record that it has listed its runs.

        Args:
            asked_at: When the listing was requested, in seconds.
        """
        if asked_at >= self._joins_from:
            self._has_joined = True

    def request_check(self) -> None:
        """Have the next tick check the endpoint, as its state has changed."""
        self._due_at = 0

    def schedule_check(self, *, due_at: float) -> None:
        """Set the time before which the endpoint needs no check."""
        self._due_at = due_at

    def add_foreign_run(self, key: RunKey) -> None:
        """Record a run here that another dispatcher started."""
        self._foreign_runs.add(key)
        self._notify_change()

    def remove_foreign_run(self, key: RunKey) -> None:
        """Remove a foreign run that was claimed or has ended."""
        if key in self._foreign_runs:
            self._foreign_runs.discard(key)
            self._notify_change()

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self._set_used(self._used.plus(run.needs))

    def remove(self, key: RunKey) -> Run | None:
        """Remove a run, free its resources and return it, if it is known."""
        run = self.runs.pop(key, None)
        if run is not None:
            self._set_used(self._used.minus(run.needs))
        return run

    def clear(self) -> tuple[Run, ...]:
        """Remove all runs, as none can be running here, and return them."""
        ended = tuple(self.runs.values())
        self.runs.clear()
        self._foreign_runs.clear()
        self._set_used(NO_RESOURCES)
        return ended

    def fence(self, token: int, phase: Phase) -> None:
        """Replace the fencing token and enter a phase.

        All earlier orders are void once a hold with this token is answered.
        """
        self.token = token
        self.phase = phase
        self.hold = None

    def begin_lifetime(self, number: int, *, now: float) -> None:
        """Replace the clock, the end numbers and the latest expiry.

        Runs, token and phase are kept: orders that were sent before the
        restart was known may be carried out in the new lifetime.

        Args:
            number: Number of the new lifetime; 0 if it is not known.
            now: Current time in seconds.
        """
        self.lifetime = Lifetime.after_restart(
            number, has_runs=bool(self.runs), now=now
        )

    def _set_used(self, resources: Resources) -> None:
        self._used = resources
        self._notify_change()

    def _notify_change(self) -> None:
        self._free = None
        self.request_check()
        self._on_change(self)
