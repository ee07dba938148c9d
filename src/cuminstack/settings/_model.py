"""The settings themselves, with their defaults, units and ranges.

A numeric field is annotated with the smallest and the largest value that it
may take.
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
    """How much an event matters, least first."""

    debug = 'debug'
    info = 'info'
    warning = 'warning'
    error = 'error'


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Section `[instance]`: who this instance is.

    Args:
        name: Its name, unique in the deployment.
        zone: Its availability zone.
        region: The region of the zone, if there are several.
        data_folder: Where it keeps its state on disk; makes it a replica
            of the configuration.
    """

    name: InstanceId
    zone: ZoneName
    region: ZoneName | None = None
    data_folder: Path | None = None


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Section `[listen]`: where it is reached; port 0 takes a free port.

    Args:
        callers: Jobs of callers.
        endpoints: Announcements of endpoints, and requests of operators.
        peers: Links from other instances.
    """

    callers: Address = _LOCAL_CALLERS
    endpoints: Address = _LOCAL_ENDPOINTS
    peers: Address = _LOCAL_PEERS


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """One line of section `[peers]`: an instance of the deployment.

    Args:
        name: Its name.
        zone: Its availability zone.
        peer_address: Where its peers reach it.
        endpoint_address: Where endpoints reach it.
        replica: Whether it has a data folder.
    """

    name: InstanceId
    zone: ZoneName
    peer_address: Address
    endpoint_address: Address
    replica: bool = False


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Section `[dispatch]`: how starts are decided.

    Args:
        policy: Registered name of the dispatch policy.
        seed: What its choices by chance derive from.
    """

    policy: str
    seed: Annotated[int, (0, 9_223_372_036_854_775_807)] = 0


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Section `[limits]`: what an instance takes on, and for how long.

    Args:
        max_body_bytes: Largest body of a caller's request.
        max_payload_bytes: Largest payload of one task, as JSON.
        max_answer_bytes: Largest answer of one task, as JSON.
        max_sheet_bytes: Largest sheet.
        max_tasks: Most tasks of a job.
        max_running_jobs: Most jobs that an instance holds at once.
        max_attempts: Most attempts at a task; only a task that provably did
            not start is attempted again.
        retry_budget_percent: Attempts after the first, in percent of the
            tasks that ended well lately.
        default_deadline_ms: Deadline of a job that declares none, where its
            service has none either.
        max_deadline_ms: Longest deadline that a job may declare.
        drain_seconds: How long a graceful shutdown waits for running jobs.
        resend_grace_seconds: How long a job goes on after its caller hung
            up.
        outcome_lifetime_seconds: How long an outcome is kept for resends.
        claim_timeout_ms: How long a submission waits for a majority of
            claim replicas.
        sheet_timeout_ms: How long an operator's submission waits for a
            majority of configuration replicas.
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


@dataclass(frozen=True, slots=True)
class TimeoutSettings:
    """Section `[timeouts]`: rhythms, and what counts as silence.

    Args:
        tick_ms: Pause between two looks at what is due.
        heartbeat_ms: Pause between two heartbeats to a peer.
        suspect_ms: Silence after which a peer is sent nothing new.
        gone_ms: Silence after which a peer leaves the view.
        link_retry_ms: Longest pause before a peer is dialled again.
        announce_ms: Pause that endpoints are told to keep between two
            announcements.
        endpoint_lease_ms: Silence after which an endpoint is gone.
        connect_ms: How long a connection to an endpoint may take to open.
        idle_connection_ms: How long an unused connection to an endpoint is
            kept.
        silent_factor: A connection is asked about on a new one once a task
            took this many times its expected run time.
        silent_floor_ms: But not before the task took this long.
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
    """Section `[logs]`.

    Args:
        level: Least level that is written.
        path: File that lines are appended to; standard error if absent.
    """

    level: LogLevel = LogLevel.info
    path: Path | None = None


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that an instance is told at its start."""

    instance: InstanceSettings
    dispatch: DispatchSettings
    listen: ListenSettings = field(default_factory=ListenSettings)
    peers: tuple[PeerSettings, ...] = ()
    limits: LimitSettings = field(default_factory=LimitSettings)
    timeouts: TimeoutSettings = field(default_factory=TimeoutSettings)
    logs: LogSettings = field(default_factory=LogSettings)

    @property
    def is_embedded(self) -> bool:
        """Whether this instance is the whole deployment."""
        return not self.other_peers

    @property
    def is_replica(self) -> bool:
        """Whether this instance keeps the configuration on its disk."""
        return self.instance.data_folder is not None

    @property
    def other_peers(self) -> tuple[PeerSettings, ...]:
        """The instances of the deployment without this one."""
        own = self.instance.name
        return tuple(peer for peer in self.peers if peer.name != own)
