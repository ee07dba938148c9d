"""JSON bodies that answer an operator's questions.

The daemon builds them and the tool reads them.  Each shows what one instance
knows; instances that are cut off from each other may differ.
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
    """What an instance thinks of another."""

    alive = 'alive'
    suspected = 'suspected'
    gone = 'gone'


class EndpointHealth(enum.Enum):
    """Whether an endpoint is given work."""

    healthy = 'healthy'
    quarantined = 'quarantined'
    gone = 'gone'


class SheetStanding(enum.Enum):
    """How sure an instance is of the sheet it applies."""

    #: None was ever seen.
    absent = 'absent'
    #: The newest that could be found, with no quorum of replicas in reach.
    unconfirmed = 'unconfirmed'
    #: In force, as a quorum of replicas said lately.
    confirmed = 'confirmed'


@dataclass(frozen=True, slots=True)
class SheetView:
    """The sheet that an instance applies."""

    version: int = 0
    digest: str = ''
    standing: SheetStanding = SheetStanding.absent


@dataclass(frozen=True, slots=True)
class InstanceView:
    """Another instance, or this one.

    Args:
        instance: Its name.
        zone: Its availability zone.
        state: What this instance thinks of it.
        replica: Whether it votes on the sheet.
        sheet_version: Version that it was last known to apply.
    """

    instance: InstanceId
    zone: ZoneName
    state: InstanceState = InstanceState.alive
    replica: bool = False
    sheet_version: int = 0


@dataclass(frozen=True, slots=True)
class LoadView:
    """What an instance has to do.

    Args:
        jobs_running: Jobs that it accepted and that have not ended.
        tasks_queued: Tasks of them that have not started.
        tasks_running: Tasks of them that were sent to endpoints.
        endpoints: Endpoints of the deployment that it knows.
        slots: Their slots.
        slots_busy: Those of them that are known to be in use.
    """

    jobs_running: int = 0
    tasks_queued: int = 0
    tasks_running: int = 0
    endpoints: int = 0
    slots: int = 0
    slots_busy: int = 0


@dataclass(frozen=True, slots=True)
class StatusView:
    """`GET /v1/status`.

    Args:
        instance: The instance that answers.
        zone: Its availability zone.
        region: Its region, if the settings name one.
        incarnation: Grows with each start of its process.
        uptime_ms: Time since that start, in milliseconds.
        ready: Whether it takes new jobs.
        draining: Whether a graceful shutdown has begun.
        policy: Name of its dispatch policy.
        sheet: The sheet that it applies.
        load: What it has to do.
        votes: Whether it votes on the sheet; a replica that lost its disk
            does not until it has recovered.
        store_failed: Whether its last sync to the disk failed.
        claims_whole: Whether it votes on claims; after a restart it first
            catches up, or waits for a claim's lifetime.
        instances: All instances that it knows, itself included.
        log_lines_dropped: Lines of the log that could not be written.
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
    """A member of the sheet, and what it uses.

    Args:
        member: Its name.
        share: Weight of its turns.
        max_slots: Slots that it may hold at once; 0 for no bound.
        max_queued: Tasks that may wait at one instance; 0 for no bound.
        services: Names of its services.
        slots_held: Slots that it holds through the asked instance.
        tasks_queued: Its tasks that wait there.
        jobs_running: Its jobs that run there.
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
    """`GET /v1/members`: the members of the sheet that is applied."""

    instance: InstanceId
    sheet_version: int
    members: tuple[MemberView, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint.

    Args:
        endpoint: Its name.
        incarnation: Grows with each start of it.
        zone: Its availability zone.
        url: Base URL for task starts.
        serves: The services it runs tasks of.
        slots: Tasks that it runs at once.
        busy: Slots that are known to be in use.
        connections: Connections that it accepts.
        state: What it says of its readiness.
        health: What the asked instance thinks of it.
        owner: The instance that it announces itself to.
        announced_ms_ago: Age of its last announcement, if the asked
            instance is its owner; else None.
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
    """`GET /v1/endpoints`: every endpoint that the instance knows."""

    instance: InstanceId
    endpoints: tuple[EndpointView, ...] = ()
