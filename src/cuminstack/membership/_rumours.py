"""What the deployment says of its instances, and our part in saying it."""

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


class Rumours:
    """Merges records, floods what is news and refutes what is untrue.

    Args:
        own: This instance.
        configured: All instances of the deployment.
        neighbours: Whom news is passed on to.
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
        """All records, by instance."""
        return self._table.records

    @property
    def digest(self) -> bytes:
        """Stands for all records."""
        return self._table.digest

    def get(self, instance: InstanceId) -> Record | None:
        """Give the record of an instance, if any was seen."""
        return self._table.get(instance)

    def learn(
        self,
        records: Iterable[Record],
        *,
        now: float,
        skip: InstanceId | None = None,
    ) -> Effects:
        """Take records and pass on those that were news.

        Args:
            records: Of any instances.
            now: The present time, in seconds.
            skip: The neighbour that they came from.
        """
        news: list[Record] = []
        effects: list[Effect] = []
        for record in records:
            if record.instance == self._own.instance:
                effects += self._defend(record)
            elif self._table.merge(record):
                news.append(record)
                self._note_suspicion(record, now)
        return (*effects, *self._flood(news, skip=skip))

    def declare(self, standing: Standing, *, above: int = 0) -> Effects:
        """Publish our own standing with a counter above all others."""
        own = self.own
        counter = max(own.counter, above) + 1
        record = replace(own, counter=counter, standing=standing)
        self._table.merge(record)
        return self._flood([record])

    def suspected_for(self, record: Record, *, now: float) -> float:
        """Give the seconds that a suspicion has stood; 0 if there is none."""
        return now - self._suspect_since.get(record.instance, now)

    def forgive(self, pause: float, *, now: float) -> None:
        """Leave a pause of our own out of all suspicions, in seconds."""
        self._suspect_since = {
            instance: min(since + pause, now)
            for instance, since in self._suspect_since.items()
        }

    def _note_suspicion(self, record: Record, now: float) -> None:
        if record.standing is Standing.suspect:
            self._suspect_since.setdefault(record.instance, now)
        else:
            self._suspect_since.pop(record.instance, None)

    def _defend(self, record: Record) -> Effects:
        own = self.own
        if record.incarnation > own.incarnation:
            return (Superseded(record.incarnation),)
        if record.rank <= own.rank:
            return ()
        return self.declare(own.standing, above=record.counter)

    def _flood(
        self,
        news: Sequence[Record],
        skip: InstanceId | None = None,
    ) -> tuple[Send, ...]:
        message = Records(tuple(news))
        if message == _NO_RECORDS:
            return ()
        return tuple(
            Send(name, message) for name in self._neighbours if name != skip
        )
