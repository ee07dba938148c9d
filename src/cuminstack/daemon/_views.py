"""Builds the status views that operators query."""

import time
from typing import Final

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    EndpointState,
    InstanceId,
)
from cuminstack.daemon._driver import Driver
from cuminstack.logs import LogOutput
from cuminstack.membership import Standing
from cuminstack.queries import (
    EndpointHealth,
    EndpointsView,
    EndpointView,
    InstanceState,
    InstanceView,
    LoadView,
    MembersView,
    MemberView,
    SheetStanding,
    SheetView,
    StatusView,
)
from cuminstack.settings import Settings
from cuminstack.spread import Freshness

_NS_PER_MS: Final = 1_000_000


class Views:
    """Builds status views from the state of the node.

    Args:
        driver: Driver of the node.
        settings: Settings of the instance.
        output: Destination of its log lines.
    """

    def __init__(
        self,
        driver: Driver,
        settings: Settings,
        output: LogOutput,
    ) -> None:
        self._output = output
        self._driver = driver
        self._node = driver.node
        self._settings = settings

    def status(self, *, ready: bool) -> StatusView:
        """Return the status of this instance and its view of the others."""
        own = self._node.own
        return StatusView(
            instance=own.instance,
            zone=own.zone,
            region=self._settings.instance.region,
            incarnation=own.incarnation,
            uptime_ms=time.time_ns() // _NS_PER_MS - own.incarnation,
            ready=ready,
            draining=not ready,
            policy=self._settings.dispatch.policy,
            sheet=self._sheet(),
            load=self._load(),
            votes=self._node.sheets.register.votes,
            store_failed=self._node.sheets.register.store_failed,
            claims_whole=self._node.claims.votes_on_all_jobs,
            instances=self._instances(),
            log_lines_dropped=self._output.dropped,
        )

    def members(self) -> MembersView:
        """Return the members of the sheet in force on this instance."""
        sheet = self._node.sheets.sheet
        in_progress = self._node.health.in_progress
        running = self._node.jobs.running_by_member
        members = tuple(
            MemberView(
                member=member.name,
                share=member.share,
                max_slots=member.max_slots,
                max_queued=member.max_queued,
                services=tuple(
                    service.name
                    for service in sheet.services
                    if service.member == member.name
                ),
                slots_held=in_progress[member.name],
                tasks_queued=self._node.jobs.queued_of(member.name),
                jobs_running=running[member.name],
            )
            for member in sheet.members
        )
        return MembersView(self._node.own.instance, sheet.version, members)

    def endpoints(self) -> EndpointsView:
        """Return every endpoint that this instance knows."""
        owned = {each.endpoint: each for each in self._node.endpoints.owned}
        views = tuple(
            self._endpoint(owned.get(record.endpoint, record))
            for record in self._node.directory.records
        )
        return EndpointsView(self._node.own.instance, views)

    def _endpoint(self, record: EndpointRecord) -> EndpointView:
        return EndpointView(
            endpoint=record.endpoint,
            incarnation=record.incarnation,
            zone=record.zone,
            url=record.url,
            serves=record.serves,
            slots=record.slots,
            busy=record.busy,
            connections=record.connections,
            state=record.state,
            health=self._health_of(record.endpoint),
            owner=self._node.endpoints.owner_of(record).instance,
        )

    def _health_of(self, endpoint: EndpointId) -> EndpointHealth:
        quarantined = self._node.health.health.quarantined
        if any(each.endpoint == endpoint for each in quarantined):
            return EndpointHealth.quarantined
        return EndpointHealth.healthy

    def _sheet(self) -> SheetView:
        sheet = self._node.sheets.sheet
        freshness = self._node.sheets.freshness(now=self._driver.now)
        standing = SheetStanding.unconfirmed
        if freshness is Freshness.confirmed:
            standing = SheetStanding.confirmed
        if not sheet.version:
            standing = SheetStanding.absent
        return SheetView(sheet.version, sheet.digest.hex(), standing)

    def _load(self) -> LoadView:
        records = self._node.directory.records
        serving = [
            record
            for record in records
            if record.state is EndpointState.serving
        ]
        return LoadView(
            jobs_running=self._node.jobs.running,
            tasks_queued=self._node.jobs.queued,
            tasks_running=self._node.health.in_progress.total(),
            endpoints=len(records),
            slots=sum(record.slots for record in serving),
            slots_busy=sum(each.busy for each in self._node.endpoints.owned),
        )

    def _instances(self) -> tuple[InstanceView, ...]:
        own = self._node.own
        peers = self._settings.other_peers
        others = tuple(
            InstanceView(
                instance=peer.name,
                zone=peer.zone,
                state=self._state_of(peer.name),
                replica=peer.replica,
                sheet_version=self._node.peers.advertised_by(
                    peer.name,
                ).version,
            )
            for peer in peers
        )
        itself = InstanceView(
            instance=own.instance,
            zone=own.zone,
            replica=own.replica,
            sheet_version=self._node.sheets.sheet.version,
        )
        return (itself, *others)

    def _state_of(self, name: InstanceId) -> InstanceState:
        membership = self._node.membership
        if any(each.instance == name for each in membership.routable):
            return InstanceState.alive
        record = membership.record_of(name)
        if record is None or record.standing is Standing.gone:
            return InstanceState.gone
        return InstanceState.suspected
