"""What entries and control instances tell one another."""

from dataclasses import dataclass

from cuminstack.core import InstanceId, JobKey
from cuminstack.pool import (
    EndpointReport,
    JobRequest,
    JobState,
    QueueTerms,
    RefusalReason,
)
from cuminstack.wire import message


@message('fleet.control_beat')
@dataclass(frozen=True, slots=True)
class ControlBeat:
    """Heartbeat between control instances.

    Args:
        term: Highest term that the sender knows of.
        leads: Whether the sender dispatches in that term.
        weight: How many instances the sender is in touch with.
        revision: Grows with each desired state that it knows to be in force.
        controls: Control instances that it knows.
        leaves: Whether it is about to end, and leads no more.
    """

    term: int
    leads: bool
    weight: int
    revision: int
    controls: tuple[InstanceId, ...]
    leaves: bool = False


@message('fleet.leader_beat')
@dataclass(frozen=True, slots=True)
class LeaderBeat:
    """Heartbeat of a control instance, or of a deputy, to the entries.

    Args:
        term: Its term; 0 if it doesn't dispatch.
        stamp: Its clock in seconds; entries send it back.
        controls: Control instances that it knows.
        waiting: Jobs of which nothing was started, by queue.
        deputies: Entries that may dispatch if all control instances are lost.
        entries: How many entries the sender is in touch with.
        from_deputy: Whether the sender is one of the deputies.
    """

    term: int
    stamp: float
    controls: tuple[InstanceId, ...]
    waiting: dict[str, int]
    deputies: tuple[InstanceId, ...] = ()
    entries: int = 0
    from_deputy: bool = False


@message('fleet.entry_beat')
@dataclass(frozen=True, slots=True)
class EntryBeat:
    """Heartbeat of an entry to a control instance.

    Args:
        stamp: Newest stamp of that instance; 0 if none came.
        version: Version of the desired state that the entry holds.
        leader: The dispatcher that it hears; None if it hears none.
        jobs: Jobs that it handed to the receiver and whose callers wait;
            None if the receiver isn't its dispatcher.
        term: Term of the dispatcher that it hears, or heard last.
    """

    stamp: float
    version: int
    leader: InstanceId | None
    jobs: tuple[JobKey, ...] | None = None
    term: int = 0


@message('fleet.submit')
@dataclass(frozen=True, slots=True)
class Submit:
    """A job that an entry hands over.

    Args:
        request: The job.
        terms: What the desired state says of its queue.
        waited: Seconds since the caller submitted it.
        remaining: Seconds that the caller goes on waiting.
        stamp: Newest stamp of the receiver.
        held: Seconds for which tasks of it may still be running on orders
            of an earlier dispatcher.
        from_rival: Whether that one dispatched beside the receiver, at
            endpoints that the receiver may not know.
        resumed: Whether tasks of it may have run.
    """

    request: JobRequest
    terms: QueueTerms
    waited: float
    remaining: float
    stamp: float
    held: float = 0
    from_rival: bool = False
    resumed: bool = False


@message('fleet.taken')
@dataclass(frozen=True, slots=True)
class Taken:
    """A job was taken; the dispatcher tells its end."""

    job: JobKey


@message('fleet.unknown')
@dataclass(frozen=True, slots=True)
class Unknown:
    """Jobs that the dispatcher doesn't have."""

    jobs: tuple[JobKey, ...]


@message('fleet.ended')
@dataclass(frozen=True, slots=True)
class Ended:
    """The final answer of a job."""

    job: JobKey
    state: JobState


@message('fleet.refused')
@dataclass(frozen=True, slots=True)
class Refused:
    """A job was not taken; none of its tasks ran, nor will."""

    job: JobKey
    reason: RefusalReason
    retry_after: float


@message('fleet.dropped')
@dataclass(frozen=True, slots=True)
class Dropped:
    """The caller of a job has left."""

    job: JobKey


@message('fleet.endpoint_reports')
@dataclass(frozen=True, slots=True)
class EndpointNews:
    """Heartbeats of endpoints, as one control instance got them."""

    reports: tuple[EndpointReport, ...]


@message('fleet.endpoint_left')
@dataclass(frozen=True, slots=True)
class EndpointLeft:
    """An endpoint has deregistered."""

    endpoint: str
