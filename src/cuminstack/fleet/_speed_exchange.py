"""Speeds of endpoints that outlast their dispatcher.

The dispatcher sends what has changed to the instances that may succeed it, and
a few other figures in turn, for those that missed them.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from typing import Final

from cuminstack.core import EndpointId, ZoneName
from cuminstack.pool import SpeedFigure, SpeedTable

#: Seconds between two updates at least.
_UPDATE_SECONDS: Final = 2.0
#: Difference of the logarithm from which a figure has changed: 10%.
_CHANGE: Final = 0.1
#: Difference of the logarithm from which a change is logged: 25%.
_LARGE_CHANGE: Final = 0.22
#: Figures that an update has in addition, in turn.  All 350 endpoints of a
#: large deployment come round in 22 s, in frames of 3 KB.
_REPEATED: Final = 32


@dataclass(frozen=True, slots=True)
class SpeedUpdate:
    """Speeds that the dispatcher has learned.

    Args:
        term: Term of the sender.
        version: Number of the update, which grows within the term.
        table: Speeds that have changed, and some others.
    """

    term: int
    version: int
    table: SpeedTable

    def select(
        self,
        zones: Collection[ZoneName],
        zone_of: Mapping[EndpointId, ZoneName],
    ) -> 'SpeedUpdate':
        """Return the update for some zones; for all if there are none.

        Args:
            zones: The zones.
            zone_of: Zone of each known endpoint.
        """
        if not zones:
            return self
        figures = tuple(
            figure
            for figure in self.table.figures
            if zone_of.get(figure.endpoint) in zones
        )
        return replace(self, table=SpeedTable(figures))


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """Change of a speed, compared with the figure that was sent before.

    Args:
        figure: The present figure.
        before: Slowness of the figure before; 1.0 if there was none.
    """

    figure: SpeedFigure
    before: float

    @property
    def size(self) -> float:
        """Absolute value of the logarithm of the change."""
        return abs(math.log(self.figure.slowness / self.before))

    @property
    def is_large(self) -> bool:
        """Whether operators want to know of it."""
        return self.size > _LARGE_CHANGE


class SpeedPublisher:
    """Chooses the speeds that a dispatcher sends.

    Nothing is sent as long as all endpoints count as alike.

    Args:
        now: Current time in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._updated_at = now
        self._version = 0
        self._largest_change: SpeedChange | None = None
        # The figures that were sent, the oldest first.
        self._sent: dict[EndpointId, SpeedFigure] = {}

    @property
    def largest_change(self) -> SpeedChange | None:
        """The largest change of the last update; None if there was none."""
        return self._largest_change

    def is_due(self, *, now: float) -> bool:
        """Return whether an update may be sent."""
        return now - self._updated_at >= _UPDATE_SECONDS

    def update(
        self, table: SpeedTable, *, term: int, now: float
    ) -> SpeedUpdate | None:
        """Return what to send, or None if there is nothing.

        Args:
            table: All known speeds.
            term: Term of the dispatcher.
            now: Current time in seconds.
        """
        self._updated_at = now
        self._largest_change = None
        if table.is_even and not self._sent:
            return None
        known = {figure.endpoint: figure for figure in table.figures}
        self._sent = {
            name: sent for name, sent in self._sent.items() if name in known
        }
        repeated = tuple(self._sent)[:_REPEATED]
        changes = [self._change_of(figure) for figure in table.figures]
        self._largest_change = max(changes, key=_size_of, default=None)
        figures = [
            figure
            for name, figure in known.items()
            if name in repeated or self._has_changed(figure)
        ]
        for figure in figures:
            self._sent.pop(figure.endpoint, None)
            self._sent[figure.endpoint] = figure
        self._version += 1
        return SpeedUpdate(term, self._version, SpeedTable(tuple(figures)))

    def _change_of(self, figure: SpeedFigure) -> SpeedChange:
        sent = self._sent.get(figure.endpoint)
        return SpeedChange(figure, 1.0 if sent is None else sent.slowness)

    def _has_changed(self, figure: SpeedFigure) -> bool:
        sent = self._sent.get(figure.endpoint)
        if sent is None or sent.lifetime != figure.lifetime:
            return True
        return abs(sent.log - figure.log) > _CHANGE


def _size_of(change: SpeedChange) -> float:
    return change.size


class SpeedRecords:
    """Speeds that dispatchers have sent, for the next one to start with."""

    def __init__(self) -> None:
        self._latest = (0, 0)
        self._figures: dict[EndpointId, tuple[SpeedFigure, float]] = {}

    def receive(self, update: SpeedUpdate, *, now: float) -> None:
        """Record an update, unless a later one was received before.

        Args:
            update: The update.
            now: Current time in seconds.
        """
        version = (update.term, update.version)
        if version <= self._latest:
            return
        self._latest = version
        for figure in update.table.figures:
            if figure.is_plausible:
                self._figures[figure.endpoint] = (figure, now)

    def keep_only(self, endpoints: Collection[EndpointId]) -> None:
        """Remove all endpoints except the given ones."""
        for gone in self._figures.keys() - set(endpoints):
            self._figures.pop(gone)

    def table(self, *, now: float) -> SpeedTable:
        """Return all recorded speeds, with their present age.

        Args:
            now: Current time in seconds.
        """
        return SpeedTable(
            tuple(
                replace(figure, age=figure.age + now - received_at)
                for figure, received_at in self._figures.values()
            )
        )
