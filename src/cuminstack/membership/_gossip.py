"""Dissemination of the records of instances, and refutation by this one."""

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Final

from cuminstack.core import Instance, InstanceId, Send
from cuminstack.membership._messages import (
    Record,
    Records,
    Standing,
    Superseded,
)
from cuminstack.membership._table import RecordTable

Effect = Send | Superseded
Effects = tuple[Effect, ...]

_NO_RECORDS: Final = Records(())


class Gossip:
    """Merges records, floods changed ones and refutes false suspicions.

    Args:
        own: This instance.
        configured: All instances of the deployment.
        neighbours: Instances that changed records are sent to.
    """

    def __init__(
        self,
        own: Instance,
        configured: Iterable[InstanceId],
        neighbours: Sequence[InstanceId],
    ) -> None:
        self._own = own
        self._neighbours = neighbours
        self._table = RecordTable(configured)
        self._table.merge(Record(own.instance, own.incarnation))
        self._suspect_since: dict[InstanceId, float] = {}

    @property
    def own(self) -> Record:
        """The record of this instance."""
        found = self._table.get(self._own.instance)
        return found or Record(self._own.instance, self._own.incarnation)

    @property
    def records(self) -> tuple[Record, ...]:
        """All records, sorted by instance."""
        return self._table.records

    @property
    def digest(self) -> bytes:
        """Digest of all records."""
        return self._table.digest

    def get(self, instance: InstanceId) -> Record | None:
        """Return the record of an instance, or None if there is none."""
        return self._table.get(instance)

    def merge(
        self,
        records: Iterable[Record],
        *,
        now: float,
        skip: InstanceId | None = None,
    ) -> Effects:
        """Merge records and forward those that changed the table.

        A record of this instance is never merged; it is refuted if it ranks
        above the own one.

        Args:
            records: Records of any instances.
            now: Current time, in seconds.
            skip: Neighbour that sent the records; it gets none of them back.
        """
        changed: list[Record] = []
        effects: list[Effect] = []
        for record in records:
            if record.instance == self._own.instance:
                effects += self._refute(record)
            elif self._table.merge(record):
                changed.append(record)
                self._track_suspicion(record, now)
        return (*effects, *self._flood(changed, skip=skip))

    def publish_own(self, standing: Standing, *, above: int = 0) -> Effects:
        """Publish a standing of this instance that replaces earlier ones.

        Args:
            standing: The new standing.
            above: Counter that the new one has to exceed, besides the own.
        """
        own = self.own
        counter = max(own.counter, above) + 1
        record = replace(own, counter=counter, standing=standing)
        self._table.merge(record)
        return self._flood([record])

    def suspected_for(self, record: Record, *, now: float) -> float:
        """Return the age of a suspicion in seconds, or 0 without one."""
        return now - self._suspect_since.get(record.instance, now)

    def discount_pause(self, pause: float, *, now: float) -> None:
        """Exclude a pause of this process from the age of all suspicions.

        Args:
            pause: Length of the pause, in seconds.
            now: Current time, in seconds.
        """
        self._suspect_since = {
            instance: min(since + pause, now)
            for instance, since in self._suspect_since.items()
        }

    def _track_suspicion(self, record: Record, now: float) -> None:
        if record.standing is Standing.suspect:
            self._suspect_since.setdefault(record.instance, now)
        else:
            self._suspect_since.pop(record.instance, None)

    def _refute(self, record: Record) -> Effects:
        """Replace a record of this instance that ranks above the own one."""
        own = self.own
        if record.incarnation > own.incarnation:
            return (Superseded(record.incarnation),)
        if record.rank <= own.rank:
            return ()
        return self.publish_own(own.standing, above=record.counter)

    def _flood(
        self,
        changed: Sequence[Record],
        skip: InstanceId | None = None,
    ) -> tuple[Send, ...]:
        message = Records(tuple(changed))
        if message == _NO_RECORDS:
            return ()
        return tuple(
            Send(name, message) for name in self._neighbours if name != skip
        )
