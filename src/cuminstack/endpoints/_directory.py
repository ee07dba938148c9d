"""Every endpoint of the deployment, put together from the owners' tables."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    EndpointState,
    InstanceId,
    Send,
    ServiceRef,
)
from cuminstack.endpoints._messages import TableDelta, TablePull, WholeTable

#: Least time between two pulls of one owner's table, in seconds.
_PULL_INTERVAL_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class EndpointChanged:
    """An endpoint is new or its record differs."""

    record: EndpointRecord


@dataclass(frozen=True, slots=True)
class EndpointGone:
    """No owner lists the endpoint any more."""

    endpoint: EndpointId


DirectoryEffect = Send | EndpointChanged | EndpointGone
DirectoryEffects = tuple[DirectoryEffect, ...]


@dataclass(slots=True)
class _OwnerTable:
    incarnation: int = 0
    version: int = 0
    records: dict[EndpointId, EndpointRecord] = field(default_factory=dict)
    pulled_at: float = float('-inf')


class Directory:
    """Follows the tables of all owners, this instance's own among them.

    Where two owners list one endpoint (views differ while one of them hands
    it over), the newer incarnation holds, and *leaving* before *serving*.
    """

    def __init__(self) -> None:
        self._tables: dict[InstanceId, _OwnerTable] = {}
        self._shown: dict[EndpointId, EndpointRecord] = {}

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """Every endpoint known, one record each."""
        return tuple(self._shown.values())

    def get(self, endpoint: EndpointId) -> EndpointRecord | None:
        """Give the record of an endpoint."""
        return self._shown.get(endpoint)

    def running(self, service: ServiceRef) -> tuple[EndpointRecord, ...]:
        """List the endpoints that take tasks of a service."""
        return tuple(
            record
            for record in self._shown.values()
            if record.state is EndpointState.serving and record.runs(service)
        )

    def receive(
        self,
        owner: InstanceId,
        message: TableDelta | WholeTable,
        *,
        now: float,
    ) -> DirectoryEffects:
        """Take a delta or a whole table from its owner."""
        table = self._tables.setdefault(owner, _OwnerTable())
        if isinstance(message, WholeTable):
            return self._replace(table, message)
        if _is_old(table, message.incarnation, message.version):
            return ()
        if not _follows(table, message):
            return self._pull(owner, table, now=now)
        return self._apply(table, message)

    def observe_version(
        self,
        owner: InstanceId,
        incarnation: int,
        version: int,
        *,
        now: float,
    ) -> DirectoryEffects:
        """Pull an owner's table if a heartbeat shows a newer one."""
        table = self._tables.setdefault(owner, _OwnerTable())
        if _is_old(table, incarnation, version):
            return ()
        if incarnation != table.incarnation and not version:
            return self._replace(table, WholeTable(incarnation, 0, ()))
        return self._pull(owner, table, now=now)

    def forget_owner(self, owner: InstanceId) -> DirectoryEffects:
        """Drop the table of an instance that is gone."""
        table = self._tables.pop(owner, None)
        if table is None:
            return ()
        return self._show(table.records)

    def _pull(
        self,
        owner: InstanceId,
        table: _OwnerTable,
        *,
        now: float,
    ) -> DirectoryEffects:
        if now - table.pulled_at < _PULL_INTERVAL_SECONDS:
            return ()
        table.pulled_at = now
        return (Send(owner, TablePull()),)

    def _replace(
        self,
        table: _OwnerTable,
        message: WholeTable,
    ) -> DirectoryEffects:
        if _is_old(table, message.incarnation, message.version):
            return ()
        touched = set(table.records)
        table.incarnation = message.incarnation
        table.version = message.version
        table.records = {each.endpoint: each for each in message.records}
        return self._show(touched | set(table.records))

    def _apply(
        self,
        table: _OwnerTable,
        message: TableDelta,
    ) -> DirectoryEffects:
        table.incarnation = message.incarnation
        table.version = message.version
        for record in message.changed:
            table.records[record.endpoint] = record
        for endpoint in message.gone:
            table.records.pop(endpoint, None)
        touched = {changed.endpoint for changed in message.changed}
        return self._show(touched.union(message.gone))

    def _show(self, touched: Iterable[EndpointId]) -> DirectoryEffects:
        effects: list[DirectoryEffect] = []
        for endpoint in sorted(touched):
            best = self._best(endpoint)
            known = self._shown.get(endpoint)
            if best is None and known is not None:
                self._shown.pop(endpoint)
                effects.append(EndpointGone(endpoint))
            elif best is not None and best != known:
                self._shown[endpoint] = best
                effects.append(EndpointChanged(best))
        return tuple(effects)

    def _best(self, endpoint: EndpointId) -> EndpointRecord | None:
        listed = [
            table.records[endpoint]
            for table in self._tables.values()
            if endpoint in table.records
        ]
        if not listed:
            return None
        return max(listed, key=_precedence)


def _precedence(record: EndpointRecord) -> tuple[int, bool]:
    leaving = record.state is EndpointState.leaving
    return record.incarnation, leaving


def _is_old(table: _OwnerTable, incarnation: int, version: int) -> bool:
    return (incarnation, version) <= (table.incarnation, table.version)


def _follows(table: _OwnerTable, message: TableDelta) -> bool:
    if message.incarnation == table.incarnation:
        return message.version == table.version + 1
    return message.version == 1
