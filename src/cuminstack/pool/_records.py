"""Records of queues, jobs and endpoints."""

from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId, JobKey, ZoneName


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources of an endpoint, or the demand of a task.

    Args:
        millicores: Processor capacity in thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Number of whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def can_fit(self, other: 'Resources') -> bool:
        """Return whether a demand fits into these resources."""
        return (
            other.millicores <= self.millicores
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of two amounts of resources."""
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference, of which parts may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_RESOURCES: Final = Resources()


@dataclass(frozen=True, slots=True)
class Step:
    """A group of identical tasks of a job.

    Args:
        count: Number of tasks.
        needs: Resources that each task needs.
        estimate: Declared run time in seconds; off by tens of per cent.
        after: Indices of earlier steps that must be done first.
        label: Label that the endpoint must have; empty for any.
        rack: Label of the rack with the data; empty for any.
        spread: Most tasks of the step on one endpoint; 0 for no limit.
    """

    count: int
    needs: Resources
    estimate: float = 0
    after: tuple[int, ...] = ()
    label: str = ''
    rack: str = ''
    spread: int = 0


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job that need not outlast the instances that handle it.

    Args:
        key: Key that the client gave the job.
        queue: Queue to which it was submitted.
        payload: Data passed to each task.
        steps: Steps of the job.
    """

    key: JobKey
    queue: str
    payload: str
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Key of a task: its job, step and index within the step."""

    job: JobKey
    step: int
    index: int


@dataclass(frozen=True, slots=True, order=True)
class RunKey:
    """Key of a run: one start of a task; numbers of a task only increase."""

    task: TaskKey
    number: int


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """Terms of a queue in the desired state.

    Args:
        name: Name of the queue.
        service: Service whose endpoints run its tasks.
        priority: Priority; 0 is the most urgent.
        attempts: Number of failed runs of one task at which the job fails.
        stretch: Factor on the critical path of a job in its objective.
        slack: Seconds that the objective allows in addition.
    """

    name: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1
    slack: float = 0


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """Heartbeat of an endpoint.

    Args:
        endpoint: Id of the endpoint.
        lifetime: Start time in Unix milliseconds; 0 if it is not reported.
        sequence: Serial number of the heartbeat in its lifetime; increasing.
        address: Network address as `host:port`.
        zone: Availability zone.
        service: Service whose tasks it runs.
        room: Its total resources, whether in use or not.
        labels: Labels for its kind and its rack.
        draining: Whether it accepts no new tasks.
        cold_seconds: Seconds for which it will still be slow after its start.
    """

    endpoint: EndpointId
    lifetime: int
    sequence: int
    address: str
    zone: ZoneName
    service: str
    room: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    cold_seconds: float = 0

    def is_as_new_as(self, other: 'EndpointReport') -> bool:
        """Return whether this heartbeat is not older than another one."""
        if self.lifetime != other.lifetime:
            return self.lifetime > other.lifetime
        return self.sequence >= other.sequence
