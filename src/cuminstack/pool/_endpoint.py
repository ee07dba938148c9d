"""One endpoint, as the dispatcher that writes to it sees it."""

import enum
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from cuminstack.pool._clock import EndpointClock
from cuminstack.pool._exchange import Hold
from cuminstack.pool._health import EndpointHealth
from cuminstack.pool._records import NO_ROOM, EndpointReport, Room, RunKey


class Phase(enum.Enum):
    """What a dispatcher may do with an endpoint.

    Only a ready endpoint gets starts.  Each other phase ends with the answer
    to a hold that carries a token that none of its runs was ordered with.
    """

    joining = 'joining'
    ready = 'ready'
    voiding = 'voiding'
    silent = 'silent'
    gone = 'gone'


@dataclass(slots=True)
class Run:
    """A run that takes room at an endpoint, or may come to.

    Args:
        key: Which.
        needs: Room that it takes.
        sent_at: When its start was ordered.
        excused: Seconds since then in which no answer could be read.
        confirmed_at: When it was known to have begun; None if it isn't.
        stopping_at: When its stop was ordered last; None if it wasn't.
        percent: How far it was when it was last seen.
        moved_at: When that last changed.
    """

    key: RunKey
    needs: Room
    sent_at: float
    excused: float = 0
    confirmed_at: float | None = None
    stopping_at: float | None = None
    percent: float = 0
    moved_at: float = 0


class Life:
    """What is known of one lifetime of an endpoint.

    Args:
        number: Unix milliseconds of its start; 0 if it doesn't tell.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.clock = EndpointClock()
        self.last_end = 0
        self.acknowledged_end = 0
        self.longest_expiry = 0


class Endpoint:
    """State of one endpoint at its dispatcher.

    Args:
        report: Its newest heartbeat.
        token: Fencing token of the orders to it.
        number: Grows with each endpoint of a dispatcher.
        changed: Called with the endpoint when its free room changes, or
            whether it takes starts.
    """

    def __init__(
        self,
        report: EndpointReport,
        *,
        token: int,
        number: int,
        changed: Callable[['Endpoint'], None],
    ) -> None:
        self.number = number
        self._changed = changed
        self._report = report
        self._free: Room | None = None
        self.life = Life(report.lifetime)
        self._phase = Phase.joining
        self.has_joined = False
        self.token = token
        self.health = EndpointHealth(self._take_change)
        self.runs: dict[RunKey, Run] = {}
        self._strangers: set[RunKey] = set()
        self._due_at: float = 0
        self._hold: Hold | None = None
        self.hold_sent_at: float = 0
        self.silences = 0
        self._used = NO_ROOM

    @property
    def report(self) -> EndpointReport:
        """Its newest heartbeat."""
        return self._report

    @report.setter
    def report(self, report: EndpointReport) -> None:
        self._report = report
        self._take_change()

    @property
    def phase(self) -> Phase:
        """What the dispatcher may do with it."""
        return self._phase

    @phase.setter
    def phase(self, phase: Phase) -> None:
        self._phase = phase
        self._take_change()

    @property
    def due_at(self) -> float:
        """When something has to be done here, if nothing happens."""
        return self._due_at

    @property
    def hold(self) -> Hold | None:
        """The hold that waits for its answer."""
        return self._hold

    @hold.setter
    def hold(self, hold: Hold | None) -> None:
        self._hold = hold
        self.expect_look()

    @property
    def strangers(self) -> AbstractSet[RunKey]:
        """Runs here of another dispatcher that no job has claimed."""
        return self._strangers

    @property
    def free(self) -> Room:
        """Room that nothing takes, nor may come to take."""
        if self._free is None:
            self._free = self._report.room.minus(self._used)
        return self._free

    @property
    def takes_starts(self) -> bool:
        """Whether a task may be started here now."""
        return (
            self._phase is Phase.ready
            and not self._report.draining
            and not self._strangers
        )

    @property
    def will_take_starts(self) -> bool:
        """Whether it takes starts, or will if it answers."""
        phase = self._phase
        is_lost = phase is Phase.silent or phase is Phase.gone
        return not (is_lost or self._report.draining)

    @property
    def lapses_at(self) -> float:
        """When nothing that was ordered so far can be running."""
        return self.life.clock.surely_passed(self.life.longest_expiry)

    def expect_look(self) -> None:
        """Have the next tick look at it, as something has happened."""
        self._due_at = 0

    def looked_at(self, *, due_at: float) -> None:
        """Take that nothing is to be done before a time."""
        self._due_at = due_at

    def meet(self, key: RunKey) -> None:
        """Take that a run of another dispatcher is here."""
        self._strangers.add(key)
        self._take_change()

    def part(self, key: RunKey) -> None:
        """Take that such a run is claimed, or has ended."""
        if key in self._strangers:
            self._strangers.discard(key)
            self._take_change()

    def add(self, run: Run) -> None:
        """Take room for a run."""
        self.runs[run.key] = run
        self._use(self._used.plus(run.needs))

    def remove(self, key: RunKey) -> Run | None:
        """Free the room of a run."""
        run = self.runs.pop(key, None)
        if run is not None:
            self._use(self._used.minus(run.needs))
        return run

    def clear(self) -> tuple[Run, ...]:
        """Free all room, as nothing runs here any more."""
        ended = tuple(self.runs.values())
        self.runs.clear()
        self._strangers.clear()
        self._use(NO_ROOM)
        return ended

    def fence(self, token: int, phase: Phase) -> None:
        """Void all orders so far, once a hold with this token is answered."""
        self.token = token
        self.phase = phase
        self.hold = None

    def begin_lifetime(self, lifetime: int) -> None:
        """Forget what was known of an earlier lifetime."""
        self.life = Life(lifetime)

    def _use(self, room: Room) -> None:
        self._used = room
        self._take_change()

    def _take_change(self) -> None:
        self._free = None
        self.expect_look()
        self._changed(self)
