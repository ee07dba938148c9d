"""What the pool knows of queues, jobs and endpoints."""

import enum
from dataclasses import dataclass
from typing import Any, Final

from cuminstack.core import EndpointId, InstanceId, JobKey, ZoneName


@dataclass(frozen=True, slots=True)
class Room:
    """Resources of an endpoint, or what a task takes of them.

    Args:
        millicores: Thousandths of a core.
        memory_mb: Memory.
        accelerators: Whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def holds(self, other: 'Room') -> bool:
        """Tell whether another room fits into this one."""
        return (
            other.millicores <= self.millicores
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )

    def plus(self, other: 'Room') -> 'Room':
        """Add another room."""
        return Room(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Room') -> 'Room':
        """Take another room away; parts may become negative."""
        return Room(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_ROOM: Final = Room()


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of a job that are alike.

    Args:
        count: How many tasks.
        needs: Room that each takes.
        estimate: Declared run time in seconds; off by tens of per cent.
        after: Earlier steps that must be done first.
        label: Label that the endpoint must have; empty for any.
        rack: Label of the rack with the data; empty for any.
        spread: Most tasks of the step on one endpoint; 0 for no bound.
    """

    count: int
    needs: Room
    estimate: float = 0
    after: tuple[int, ...] = ()
    label: str = ''
    rack: str = ''
    spread: int = 0


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job that needn't outlast the instances that handle it.

    Args:
        key: The caller's name for it.
        queue: Queue that it was submitted to.
        payload: Passed to each task.
        steps: Its work.
    """

    key: JobKey
    queue: str
    payload: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """One task of a job."""

    job: JobKey
    step: int
    index: int


@dataclass(frozen=True, slots=True, order=True)
class RunKey:
    """One start of a task; numbers of the same task only grow."""

    task: TaskKey
    number: int


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """What the desired state says of a queue.

    Args:
        name: Its name.
        service: Endpoints of this service run its tasks.
        priority: 0 comes first.
        attempts: Runs of one task that may fail.
        stretch: Factor on the longest chain of work in the objective.
        slack: Seconds that the objective allows beyond that.
    """

    name: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1
    slack: float = 0


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """What an endpoint says of itself in a heartbeat.

    Args:
        endpoint: Its id.
        lifetime: Unix milliseconds of its start; 0 if it doesn't tell.
        sequence: Grows with each heartbeat of a lifetime.
        address: `host:port`.
        zone: Its availability zone.
        service: What it runs tasks of.
        room: All of its room.
        labels: Its kind and its rack.
        draining: Whether it takes no new tasks.
        cold_seconds: How much longer it is slow after its start.
    """

    endpoint: EndpointId
    lifetime: int
    sequence: int
    address: str
    zone: ZoneName
    service: str
    room: Room
    labels: tuple[str, ...] = ()
    draining: bool = False
    cold_seconds: float = 0


class EndKind(enum.Enum):
    """How a run ended."""

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    lapsed = 'lapsed'
    broken = 'broken'
    alone = 'alone'


@dataclass(frozen=True, slots=True)
class RunProgress:
    """A run that an endpoint lists as running; `percent` is 0 to 100."""

    run: RunKey
    percent: float


@dataclass(frozen=True, slots=True)
class RunEnd:
    """An end that an endpoint lists until it is acknowledged."""

    number: int
    run: RunKey
    kind: EndKind


@dataclass(frozen=True, slots=True)
class EndpointView:
    """What an endpoint answers to a hold.

    Args:
        lifetime: Unix milliseconds of its start; 0 if it doesn't tell.
        clock_ms: Its steady clock.
        running: All that runs there.
        ends: Ends above the acknowledged one, the lowest first.
    """

    lifetime: int
    clock_ms: int
    running: tuple[RunProgress, ...]
    ends: tuple[RunEnd, ...]


class Refusal(enum.Enum):
    """Why an endpoint refused an order; it has done nothing."""

    fenced = 'fenced'
    outdated = 'outdated'
    late = 'late'
    room = 'room'
    unhealthy = 'unhealthy'
    other_lifetime = 'other_lifetime'
    invalid = 'invalid'
    unreachable = 'unreachable'


@dataclass(frozen=True, slots=True)
class StartRun:
    """Order to start a task at an endpoint."""

    endpoint: EndpointId
    address: str
    run: RunKey
    payload: str
    token: int
    expires_ms: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Order to stop a run at an endpoint."""

    endpoint: EndpointId
    address: str
    run: RunKey
    token: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Order to renew the lease of an endpoint's runs, and to list them.

    Args:
        endpoint: Who is asked.
        address: Where it is reached.
        number: Grows with each hold of this dispatcher.
        token: Orders with lower tokens are void once it is answered.
        last_end: Ends up to this number are forgotten.
        expires_ms: Lease on the endpoint's clock; None leaves it alone.
        wait_ms: How long the answer may wait for an end.
        fresh: Whether to use a new connection.
    """

    endpoint: EndpointId
    address: str
    number: int
    token: int
    last_end: int
    expires_ms: int | None
    wait_ms: int
    fresh: bool = False


@dataclass(frozen=True, slots=True)
class Started:
    """The run is at the endpoint; tells the endpoint's steady clock."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order was refused, so that nothing was done."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The order may have been carried out, or may be later."""

    reason: str


@dataclass(frozen=True, slots=True)
class Fenced:
    """An endpoint obeys a token above the newest one of this dispatcher."""

    endpoint: EndpointId


class JobState(enum.Enum):
    """How a job ended."""

    completed = 'completed'
    failed = 'failed'


class RefusalReason(enum.Enum):
    """Why a job was refused; none of its tasks has run."""

    no_room = 'no_room'
    overload = 'overload'
    not_serving = 'not_serving'


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has its final answer, for the instance that waits for it."""

    job: JobKey
    entry: InstanceId
    state: JobState


@dataclass(frozen=True, slots=True)
class JobRefused:
    """A job was not taken and never runs."""

    job: JobKey
    entry: InstanceId
    reason: RefusalReason
    retry_after: float


@dataclass(frozen=True, slots=True)
class Noted:
    """A decision worth a log line.

    Args:
        event: Name of the event.
        values: What decided it, as pairs.
    """

    event: str
    values: tuple[tuple[str, Any], ...] = ()


Effect = StartRun | StopRun | Hold | JobEnded | JobRefused | Noted | Fenced
Effects = tuple[Effect, ...]
