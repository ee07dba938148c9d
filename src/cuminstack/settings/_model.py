"""Settings with their defaults, units and ranges.

Numeric fields are annotated with their smallest and largest valid value.
"""

import enum
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Final

from cuminstack.core import InstanceId, ZoneName
from cuminstack.settings._values import Address

_LOCAL_CALLERS: Final = Address.parse('127.0.0.1:8001')
_LOCAL_ENDPOINTS: Final = Address.parse('127.0.0.1:8002')
_LOCAL_PEERS: Final = Address.parse('127.0.0.1:8003')


class LogLevel(enum.Enum):
    """The severity of a log event, lowest first."""

    debug = 'debug'
    info = 'info'
    warning = 'warning'
    error = 'error'


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Section `[instance]`: identity and location of this instance.

    Args:
        name: Name, unique in the deployment.
        zone: Availability zone.
        region: Region of the zone, if there are several regions.
        data_folder: Folder for state on disk.  An instance with a data folder
            is a replica of the configuration.
    """

    name: InstanceId
    zone: ZoneName
    region: ZoneName | None = None
    data_folder: Path | None = None


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Section `[listen]`: addresses to listen on; port 0 picks a free port.

    Args:
        callers: Address for callers, which submit jobs.
        endpoints: Address for announcements of endpoints and for requests
            of operators.
        peers: Address for connections from other instances.
    """

    callers: Address = _LOCAL_CALLERS
    endpoints: Address = _LOCAL_ENDPOINTS
    peers: Address = _LOCAL_PEERS


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """A line of section `[peers]`: an instance of the deployment.

    Args:
        name: Name of the instance.
        zone: Availability zone.
        peer_address: Address to which peers connect.
        endpoint_address: Address to which endpoints connect.
        replica: Whether the instance has a data folder.
    """

    name: InstanceId
    zone: ZoneName
    peer_address: Address
    endpoint_address: Address
    replica: bool = False


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Section `[dispatch]`: how task starts are scheduled.

    Args:
        policy: Registered name of the dispatch policy.
        seed: Seed of the random number generators.
    """

    policy: str
    seed: Annotated[int, (0, 9_223_372_036_854_775_807)] = 0


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Section `[limits]`: limits on sizes, numbers and durations.

    Args:
        max_body_bytes: Largest request body of a caller.
        max_payload_bytes: Largest payload of one task, as JSON.
        max_answer_bytes: Largest answer of one task, as JSON.
        max_sheet_bytes: Largest sheet.
        max_tasks: Most tasks in a job.
        max_running_jobs: Most jobs in progress at an instance.
        max_attempts: Most attempts at a task.  A task is retried only if it
            provably did not start.
        retry_budget_percent: Most retries, as a percentage of the tasks that
            recently succeeded.
        default_deadline_ms: Deadline of a job if neither the job nor its
            service declares one.
        max_deadline_ms: Longest deadline that a job may declare.
        drain_seconds: Longest time that a graceful shutdown waits for running
            jobs.
        resend_grace_seconds: Time that a job continues after its caller
            disconnected, so that the caller can resend the request.
        outcome_lifetime_seconds: Time that the outcome of a job is kept for
            resent requests.
        claim_timeout_ms: Longest time that a submission waits for a majority
            of the claim replicas.
        sheet_timeout_ms: Longest time that a sheet submitted by an operator
            waits for a majority of the configuration replicas.
        memory_mb: Memory that this process may use, in mebibytes; 0 for that
            of the machine.  Clients get parts of it.
        max_descriptors: Most files and connections that are open at the same
            time; 0 for what the system allows this process, never more.
        max_header_bytes: Largest header section of a request, together with
            empty lines before it.
        header_timeout_ms: Longest time for a header section, or for the first
            message of another instance.
        body_timeout_ms: Longest time without progress of a body, of a message
            or of a response that the client doesn't read.
    """

    max_body_bytes: Annotated[int, (1024, 268_435_456)] = 8_388_608
    max_payload_bytes: Annotated[int, (16, 67_108_864)] = 262_144
    max_answer_bytes: Annotated[int, (16, 67_108_864)] = 1_048_576
    max_sheet_bytes: Annotated[int, (1024, 67_108_864)] = 4_194_304
    max_tasks: Annotated[int, (1, 1800)] = 1800
    max_running_jobs: Annotated[int, (1, 1_000_000)] = 10_000
    max_attempts: Annotated[int, (1, 100)] = 8
    retry_budget_percent: Annotated[float, (0, 100)] = 10
    default_deadline_ms: Annotated[int, (1, 86_400_000)] = 60_000
    max_deadline_ms: Annotated[int, (1, 86_400_000)] = 3_600_000
    drain_seconds: Annotated[float, (0, 86_400)] = 60
    resend_grace_seconds: Annotated[float, (0, 86_400)] = 60
    outcome_lifetime_seconds: Annotated[float, (1, 86_400)] = 600
    claim_timeout_ms: Annotated[int, (1, 60_000)] = 500
    sheet_timeout_ms: Annotated[int, (1, 60_000)] = 3000
    memory_mb: Annotated[int, (0, 1_048_576)] = 0
    max_descriptors: Annotated[int, (0, 1_048_576)] = 0
    max_header_bytes: Annotated[int, (8192, 1_048_576)] = 65_536
    header_timeout_ms: Annotated[int, (100, 3_600_000)] = 5000
    body_timeout_ms: Annotated[int, (100, 3_600_000)] = 20_000


@dataclass(frozen=True, slots=True)
class TimeoutSettings:
    """Section `[timeouts]`: intervals and timeouts.

    Args:
        tick_ms: Interval between checks for due timers.
        heartbeat_ms: Interval between heartbeats to a peer.
        suspect_ms: Time without a heartbeat after which a peer is suspected
            to have failed and gets no new work.
        gone_ms: Time without a heartbeat after which a peer is removed from
            the membership view.
        link_retry_ms: Longest backoff before reconnecting to a peer.
        announce_ms: Interval between announcements that is requested from
            endpoints.
        endpoint_lease_ms: Time without an announcement after which an endpoint
            is considered gone.
        connect_ms: Timeout for opening a connection to an endpoint.
        idle_connection_ms: Time that an unused connection to an endpoint is
            kept open.
        silent_factor: Multiple of the expected run time of a task after which
            its connection counts as silent, and the state of the task is
            queried on a new connection.
        silent_floor_ms: Shortest run time after which a connection counts as
            silent.
    """

    tick_ms: Annotated[int, (1, 50)] = 40
    heartbeat_ms: Annotated[int, (10, 60_000)] = 500
    suspect_ms: Annotated[int, (20, 600_000)] = 1500
    gone_ms: Annotated[int, (30, 3_600_000)] = 10_000
    link_retry_ms: Annotated[int, (10, 60_000)] = 1000
    announce_ms: Annotated[int, (10, 60_000)] = 1000
    endpoint_lease_ms: Annotated[int, (30, 600_000)] = 5000
    connect_ms: Annotated[int, (10, 60_000)] = 500
    idle_connection_ms: Annotated[int, (10, 3_600_000)] = 30_000
    silent_factor: Annotated[float, (1, 1000)] = 4
    silent_floor_ms: Annotated[int, (10, 3_600_000)] = 2000


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Section `[logs]`: level and destination of the log.

    Args:
        level: Lowest level that is written.
        path: File to which lines are appended; standard error if None.
    """

    level: LogLevel = LogLevel.info
    path: Path | None = None


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an instance."""

    instance: InstanceSettings
    dispatch: DispatchSettings
    listen: ListenSettings = field(default_factory=ListenSettings)
    peers: tuple[PeerSettings, ...] = ()
    limits: LimitSettings = field(default_factory=LimitSettings)
    timeouts: TimeoutSettings = field(default_factory=TimeoutSettings)
    logs: LogSettings = field(default_factory=LogSettings)

    @property
    def is_standalone(self) -> bool:
        """Whether this instance is the only one of the deployment."""
        return not self.other_peers

    @property
    def is_replica(self) -> bool:
        """Whether this instance stores the configuration on disk."""
        return self.instance.data_folder is not None

    @property
    def other_peers(self) -> tuple[PeerSettings, ...]:
        """The instances of the deployment except this one."""
        own = self.instance.name
        return tuple(peer for peer in self.peers if peer.name != own)
