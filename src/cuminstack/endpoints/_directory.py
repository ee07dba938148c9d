"""The directory of all endpoints, merged from the tables of all owners."""

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

#: Shortest time between two requests for the table of one owner, in seconds.
_PULL_INTERVAL_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class EndpointChanged:
    """An endpoint is new or its record has changed."""

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
    """The merged tables of all owners, including this instance.

    Two owners may list one endpoint while it is handed over, since their
    views of the deployment differ.  The record of the newer incarnation then
    takes precedence and, within an incarnation, *leaving* over *serving*.
    """

    def __init__(self) -> None:
        self._tables: dict[InstanceId, _OwnerTable] = {}
        self._merged: dict[EndpointId, EndpointRecord] = {}

    @property
    def records(self) -> tuple[EndpointRecord, ...]:
        """The merged records, one for each known endpoint."""
        return tuple(self._merged.values())

    def get(self, endpoint: EndpointId) -> EndpointRecord | None:
        """Return the record of an endpoint, or None if it is unknown."""
        return self._merged.get(endpoint)

    def endpoints_for(self, service: ServiceRef) -> tuple[EndpointRecord, ...]:
        """Return the endpoints that accept tasks of a service."""
        return tuple(
            record
            for record in self._merged.values()
            if record.state is EndpointState.serving and record.runs(service)
        )

    def receive(
        self,
        owner: InstanceId,
        message: TableDelta | WholeTable,
        *,
        now: float,
    ) -> DirectoryEffects:
        """Handle a delta or a whole table from its owner.

        A delta that does not follow the known version causes a request for
        the whole table.
        """
        table = self._tables.setdefault(owner, _OwnerTable())
        if isinstance(message, WholeTable):
            return self._replace(table, message)
        if _is_old(table, message.incarnation, message.version):
            return ()
        if not _is_next(table, message):
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
        """Request the table of an owner if its heartbeat has a newer version.

        Args:
            owner: The instance that sent the heartbeat.
            incarnation: Its incarnation.
            version: The version of its table.
            now: The present time, in seconds.

        Returns:
            The effects to perform.
        """
        table = self._tables.setdefault(owner, _OwnerTable())
        if _is_old(table, incarnation, version):
            return ()
        if incarnation != table.incarnation and not version:
            return self._replace(table, WholeTable(incarnation, 0, ()))
        return self._pull(owner, table, now=now)

    def forget_owner(self, owner: InstanceId) -> DirectoryEffects:
        """Drop the table of an instance that has left the deployment."""
        table = self._tables.pop(owner, None)
        if table is None:
            return ()
        return self._update_merged(table.records)

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
        affected = set(table.records)
        table.incarnation = message.incarnation
        table.version = message.version
        table.records = {each.endpoint: each for each in message.records}
        return self._update_merged(affected | set(table.records))

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
        affected = {changed.endpoint for changed in message.changed}
        return self._update_merged(affected.union(message.gone))

    def _update_merged(
        self, affected: Iterable[EndpointId]
    ) -> DirectoryEffects:
        effects: list[DirectoryEffect] = []
        for endpoint in sorted(affected):
            selected = self._select_record(endpoint)
            known = self._merged.get(endpoint)
            if selected is None and known is not None:
                self._merged.pop(endpoint)
                effects.append(EndpointGone(endpoint))
            elif selected is not None and selected != known:
                self._merged[endpoint] = selected
                effects.append(EndpointChanged(selected))
        return tuple(effects)

    def _select_record(self, endpoint: EndpointId) -> EndpointRecord | None:
        candidates = [
            table.records[endpoint]
            for table in self._tables.values()
            if endpoint in table.records
        ]
        if not candidates:
            return None
        return max(candidates, key=_precedence)


def _precedence(record: EndpointRecord) -> tuple[int, bool]:
    leaving = record.state is EndpointState.leaving
    return record.incarnation, leaving


def _is_old(table: _OwnerTable, incarnation: int, version: int) -> bool:
    return (incarnation, version) <= (table.incarnation, table.version)


def _is_next(table: _OwnerTable, message: TableDelta) -> bool:
    if message.incarnation == table.incarnation:
        return message.version == table.version + 1
    return message.version == 1
