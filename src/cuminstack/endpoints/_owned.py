"""The endpoints that announce themselves to this instance."""

from dataclasses import dataclass, replace
from typing import Final

from cuminstack.core import EndpointId, EndpointRecord, EndpointState
from cuminstack.endpoints._messages import TableDelta, WholeTable

#: An endpoint that announces a lower incarnation than it did before is an
#: older process of the same name, which must not bring the name back.
_NEVER: Final = -1


@dataclass(frozen=True, slots=True)
class Accepted:
    """An announcement was taken; `delta` is none if nothing changed."""

    delta: TableDelta | None


@dataclass(frozen=True, slots=True)
class Outdated:
    """An announcement came from an older process; `newest` is known."""

    newest: int


@dataclass(slots=True)
class _Entry:
    record: EndpointRecord
    lease_until: float


class OwnedEndpoints:
    """Announcements, leases and incarnations of own endpoints.

    Args:
        incarnation: Of this instance.
        lease: Seconds of silence after which an endpoint is gone.
    """

    def __init__(self, *, incarnation: int, lease: float) -> None:
        self._incarnation = incarnation
        self._lease = lease
        self._entries: dict[EndpointId, _Entry] = {}
        self._newest: dict[EndpointId, int] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Version of the table; grows with each change."""
        return self._version

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """All records, as last announced."""
        return tuple(entry.record for entry in self._entries.values())

    def whole(self) -> WholeTable:
        """Describe the whole table to a peer that asks for it."""
        records = tuple(_spread_form(record) for record in self.records)
        return WholeTable(self._incarnation, self._version, records)

    def announce(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Accepted | Outdated:
        """Take an announcement and renew the endpoint's lease."""
        newest = self._newest.get(record.endpoint, _NEVER)
        if record.incarnation < newest:
            return Outdated(newest)
        self._newest[record.endpoint] = record.incarnation
        known = self._entries.get(record.endpoint)
        if known is not None and _leaving_again(known.record, record):
            record = replace(record, state=EndpointState.leaving)
        self._entries[record.endpoint] = _Entry(record, now + self._lease)
        if known and _spread_form(known.record) == _spread_form(record):
            return Accepted(delta=None)
        return Accepted(self._delta(changed=(_spread_form(record),)))

    def expire(self, *, now: float) -> TableDelta | None:
        """Drop the endpoints whose lease has run out."""
        silent = tuple(
            endpoint
            for endpoint, entry in self._entries.items()
            if entry.lease_until <= now
        )
        return self.release(silent)

    def release(self, endpoints: tuple[EndpointId, ...]) -> TableDelta | None:
        """Drop endpoints that are gone, or that announce elsewhere now."""
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


def _leaving_again(known: EndpointRecord, record: EndpointRecord) -> bool:
    """Leaving is final for an incarnation, whatever order news arrive in."""
    return (
        known.incarnation == record.incarnation
        and known.state is EndpointState.leaving
    )


def _spread_form(record: EndpointRecord) -> EndpointRecord:
    """Leave out what changes with each task and concerns the owner only."""
    return replace(record, busy=0)
