"""What the pool knows of queues, jobs and endpoints."""

from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, JobKey, ZoneName


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

    def is_as_new_as(self, other: 'EndpointReport') -> bool:
        """Tell whether this is not older than another heartbeat."""
        if self.lifetime != other.lifetime:
            return self.lifetime > other.lifetime
        return self.sequence >= other.sequence
