"""Types of the JSON responses of the operator API.

The daemon encodes them and the command-line tool decodes them.  Each shows
the state known to one instance; during a network partition instances may
disagree.
"""

import enum
from dataclasses import dataclass, field

from cuminstack.core import (
    EndpointId,
    EndpointState,
    InstanceId,
    MemberName,
    ServiceName,
    ServiceRef,
    ZoneName,
)


class InstanceState(enum.Enum):
    """Liveness of an instance, as assessed by another instance."""

    alive = 'alive'
    suspected = 'suspected'
    gone = 'gone'


class EndpointHealth(enum.Enum):
    """Whether an endpoint is eligible for new work."""

    healthy = 'healthy'
    quarantined = 'quarantined'
    gone = 'gone'


class SheetStanding(enum.Enum):
    """Whether a quorum has confirmed the sheet that an instance applies."""

    #: The instance has never received a sheet.
    absent = 'absent'
    #: The newest sheet that was found, while no quorum of replicas is
    #: reachable.
    unconfirmed = 'unconfirmed'
    #: In force, as confirmed recently by a quorum of replicas.
    confirmed = 'confirmed'


@dataclass(frozen=True, slots=True)
class SheetView:
    """The sheet that an instance applies.

    Args:
        version: Version of the sheet; 0 if there is none.
        digest: SHA-256 of the canonical text of the sheet, in hexadecimal.
        standing: Whether a quorum has confirmed the sheet.
    """

    version: int = 0
    digest: str = ''
    standing: SheetStanding = SheetStanding.absent


@dataclass(frozen=True, slots=True)
class InstanceView:
    """An instance, as seen by the instance that answers.

    Args:
        instance: Name of the instance.
        zone: Its availability zone.
        state: Its liveness.
        replica: Whether it is a replica that votes on the sheet.
        sheet_version: Version of the sheet that it was last known to apply.
    """

    instance: InstanceId
    zone: ZoneName
    state: InstanceState = InstanceState.alive
    replica: bool = False
    sheet_version: int = 0


@dataclass(frozen=True, slots=True)
class LoadView:
    """Current load of an instance.

    Args:
        jobs_running: Jobs accepted by the instance that have not ended.
        tasks_queued: Tasks of these jobs that have not started.
        tasks_running: Tasks of these jobs that were sent to endpoints.
        endpoints: Endpoints of the deployment that the instance knows.
        slots: Slots of these endpoints.
        slots_busy: Slots of these endpoints that are known to be in use.
    """

    jobs_running: int = 0
    tasks_queued: int = 0
    tasks_running: int = 0
    endpoints: int = 0
    slots: int = 0
    slots_busy: int = 0


@dataclass(frozen=True, slots=True)
class StatusView:
    """Body of `GET /v1/status`.

    Args:
        instance: The instance that answers.
        zone: Its availability zone.
        region: Its region, if the settings name one.
        incarnation: Number that increases with each start of its process.
        uptime_ms: Time since that start, in milliseconds.
        ready: Whether it accepts new jobs.
        draining: Whether a graceful shutdown has begun.
        policy: Name of its dispatch policy.
        sheet: The sheet that it applies.
        load: Its current load.
        votes: Whether it votes on the sheet; a replica that lost its disk
            does not vote until it has recovered.
        store_failed: Whether its last sync to the disk failed.
        claims_whole: Whether it votes on claims; after a restart it does so
            once it has caught up or the lifetime of a claim has passed.
        instances: All instances that it knows, including itself.
        log_lines_dropped: Number of log lines that could not be written.
    """

    instance: InstanceId
    zone: ZoneName
    region: ZoneName | None = None
    incarnation: int = 0
    uptime_ms: int = 0
    ready: bool = True
    draining: bool = False
    policy: str = ''
    sheet: SheetView = field(default_factory=SheetView)
    load: LoadView = field(default_factory=LoadView)
    votes: bool = False
    store_failed: bool = False
    claims_whole: bool = True
    instances: tuple[InstanceView, ...] = ()
    log_lines_dropped: int = 0


@dataclass(frozen=True, slots=True)
class MemberView:
    """A member of the sheet and its resource usage.

    Args:
        member: Name of the member.
        share: Weight of the member in fair sharing.
        max_slots: Maximum number of slots held at once; 0 for no limit.
        max_queued: Maximum number of tasks queued at one instance; 0 for no
            limit.
        services: Names of its services.
        slots_held: Slots that it holds through the instance that answers.
        tasks_queued: Its tasks that are queued at that instance.
        jobs_running: Its jobs that run at that instance.
    """

    member: MemberName
    share: float
    max_slots: int = 0
    max_queued: int = 0
    services: tuple[ServiceName, ...] = ()
    slots_held: int = 0
    tasks_queued: int = 0
    jobs_running: int = 0


@dataclass(frozen=True, slots=True)
class MembersView:
    """Body of `GET /v1/members`.

    Args:
        instance: The instance that answers.
        sheet_version: Version of the sheet that it applies.
        members: The members of that sheet.
    """

    instance: InstanceId
    sheet_version: int
    members: tuple[MemberView, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint, as seen by the instance that answers.

    Args:
        endpoint: Name of the endpoint.
        incarnation: Number that increases with each start of the endpoint.
        zone: Its availability zone.
        url: Base URL for requests that start tasks.
        serves: The services whose tasks it runs.
        slots: Maximum number of tasks that it runs at once.
        busy: Number of slots that are known to be in use.
        connections: Maximum number of connections that it accepts.
        state: Readiness that it announces.
        health: Its health, as assessed by the instance that answers.
        owner: The instance that it announces itself to.
        announced_ms_ago: Milliseconds since its last announcement, if the
            instance that answers is its owner; else None.
    """

    endpoint: EndpointId
    incarnation: int
    zone: ZoneName
    url: str
    serves: tuple[ServiceRef, ...]
    slots: int
    busy: int = 0
    connections: int = 0
    state: EndpointState = EndpointState.serving
    health: EndpointHealth = EndpointHealth.healthy
    owner: InstanceId | None = None
    announced_ms_ago: int | None = None


@dataclass(frozen=True, slots=True)
class EndpointsView:
    """Body of `GET /v1/endpoints`.

    Args:
        instance: The instance that answers.
        endpoints: Every endpoint that it knows.
    """

    instance: InstanceId
    endpoints: tuple[EndpointView, ...] = ()
