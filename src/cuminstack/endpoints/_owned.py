"""The endpoints that announce to this instance, and their leases."""

from dataclasses import dataclass, replace
from typing import Final

from cuminstack.core import EndpointId, EndpointRecord, EndpointState
from cuminstack.endpoints._messages import TableDelta, WholeTable

#: Newest incarnation of an endpoint that has never announced here.  A lower
#: incarnation than the newest is an older process of the same name, which
#: must not register the name again.
_NO_INCARNATION: Final = -1


@dataclass(frozen=True, slots=True)
class Accepted:
    """The announcement was accepted; `delta` is None if nothing changed."""

    delta: TableDelta | None


@dataclass(frozen=True, slots=True)
class Outdated:
    """The announcement came from an older process of the endpoint.

    Args:
        newest: The newest incarnation that has announced.
    """

    newest: int


@dataclass(slots=True)
class _Entry:
    record: EndpointRecord
    lease_end: float


class OwnedEndpoints:
    """The table of the endpoints that announce to this instance.

    Args:
        incarnation: The incarnation of this instance.
        lease: Seconds without an announcement after which an endpoint is
            dropped.
    """

    def __init__(self, *, incarnation: int, lease: float) -> None:
        self._incarnation = incarnation
        self._lease = lease
        self._entries: dict[EndpointId, _Entry] = {}
        self._newest: dict[EndpointId, int] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """The version of the table; each change increments it."""
        return self._version

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """All records as last announced, `busy` included."""
        return tuple(entry.record for entry in self._entries.values())

    def full_table(self) -> WholeTable:
        """Return the message with the whole table, for a peer that asks."""
        records = tuple(_without_busy(record) for record in self.records)
        return WholeTable(self._incarnation, self._version, records)

    def announce(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Accepted | Outdated:
        """Handle an announcement and renew the lease of the endpoint.

        `now` is in seconds.
        """
        newest = self._newest.get(record.endpoint, _NO_INCARNATION)
        if record.incarnation < newest:
            return Outdated(newest)
        self._newest[record.endpoint] = record.incarnation
        known = self._entries.get(record.endpoint)
        if known is not None and _stays_leaving(known.record, record):
            record = replace(record, state=EndpointState.leaving)
        self._entries[record.endpoint] = _Entry(record, now + self._lease)
        if known and _without_busy(known.record) == _without_busy(record):
            return Accepted(delta=None)
        return Accepted(self._delta(changed=(_without_busy(record),)))

    def expire(self, *, now: float) -> TableDelta | None:
        """Drop the endpoints whose lease has expired."""
        expired = tuple(
            endpoint
            for endpoint, entry in self._entries.items()
            if entry.lease_end <= now
        )
        return self.release(expired)

    def release(self, endpoints: tuple[EndpointId, ...]) -> TableDelta | None:
        """Drop endpoints that are gone or announce to another owner now.

        Returns:
            The change of the table; None if it lists none of them.
        """
        dropped = tuple(name for name in endpoints if name in self._entries)
        for name in dropped:
            self._entries.pop(name)
        if not dropped:
            return None
        return self._delta(gone=dropped)

    def _delta(
        self,
        *,
        changed: tuple[EndpointRecord, ...] = (),
        gone: tuple[EndpointId, ...] = (),
    ) -> TableDelta:
        self._version += 1
        return TableDelta(self._incarnation, self._version, changed, gone)


def _stays_leaving(known: EndpointRecord, record: EndpointRecord) -> bool:
    """Return whether a record must stay *leaving*.

    Leaving is final for an incarnation, since announcements may arrive out
    of order.
    """
    return (
        known.incarnation == record.incarnation
        and known.state is EndpointState.leaving
    )


def _without_busy(record: EndpointRecord) -> EndpointRecord:
    """Return a record without `busy`.

    It changes with each task and is of use to the owner only.
    """
    return replace(record, busy=0)
