"""Messages between entries and control instances."""

from dataclasses import dataclass

from cuminstack.core import InstanceId, JobKey, ZoneName
from cuminstack.fleet._speed_exchange import SpeedUpdate
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
        term: Highest term that the sender knows.
        leads: Whether the sender dispatches in that term.
        weight: Number of control instances that the sender is in touch with,
            and of entries that follow it.
        revision: Number that grows with each desired state that the sender
            knows to be in force.
        controls: Control instances that the sender knows.
        leaves: Whether the sender is about to end and no longer leads.
        resigned_term: Latest term in which the sender led and that it resigned
            from; 0 if there is none.
        leaderless: Whether the sender knows no live dispatcher.
    """

    term: int
    leads: bool
    weight: int
    revision: int
    controls: tuple[InstanceId, ...]
    leaves: bool = False
    resigned_term: int = 0
    leaderless: bool = False


@dataclass(frozen=True, slots=True)
class HeardDispatcher:
    """A dispatcher that an entry hears beside the one that it follows.

    Args:
        name: Its instance.
        term: Its term.
        reach: Number of instances that it is in touch with.
    """

    name: InstanceId
    term: int
    reach: int


@message('fleet.leader_beat')
@dataclass(frozen=True, slots=True)
class LeaderBeat:
    """Heartbeat of a control instance, or of a deputy, to the entries.

    Args:
        term: Term of the sender; 0 if it doesn't dispatch.
        stamp: Clock of the sender in seconds; entries return it.
        controls: Control instances that the sender knows.
        waiting: Number of jobs of which no task was started, by queue.
        deputies: Entries that may dispatch if all control instances are lost.
        entries: Number of entries that follow the same deputies and that the
            sender is in touch with.
        from_deputy: Whether the sender is one of the deputies.
        zones: Availability zones of the endpoints that those deputies have;
            empty for all.
        reach: Number of control instances and entries that the sender is in
            touch with, whichever dispatcher they follow.
    """

    term: int
    stamp: float
    controls: tuple[InstanceId, ...]
    waiting: dict[str, int]
    deputies: tuple[InstanceId, ...] = ()
    entries: int = 0
    from_deputy: bool = False
    zones: tuple[ZoneName, ...] = ()
    reach: int = 0


@message('fleet.entry_beat')
@dataclass(frozen=True, slots=True)
class EntryBeat:
    """Heartbeat of an entry to a control instance.

    Args:
        stamp: Latest stamp that came from that instance, in seconds; 0 if
            there was none.
        version: Version of the desired state that the entry has.
        leader: The entry's live dispatcher; None if there is none.
        jobs: Jobs that the entry sent to the receiver and whose callers are
            waiting; None if the receiver isn't its dispatcher.
        term: Term of the entry's present or last dispatcher.
        zone: Availability zone of the entry.
        capacity: Number of endpoints that the entry can dispatch for; 0 if it
            isn't known.
        heard: Other control instances that dispatch and that the entry hears.
        revision: Ballot number of the newest value in force that the entry
            knows; None from entries of earlier versions, which don't tell.
        evacuations: Availability zones that this value evacuates.
    """

    stamp: float
    version: int
    leader: InstanceId | None
    jobs: tuple[JobKey, ...] | None = None
    term: int = 0
    zone: ZoneName = ZoneName('')
    capacity: int = 0
    heard: tuple[HeardDispatcher, ...] = ()
    revision: int | None = None
    evacuations: tuple[ZoneName, ...] = ()


@message('fleet.submit')
@dataclass(frozen=True, slots=True)
class Submit:
    """A job that an entry submits to the dispatcher.

    Args:
        request: The job.
        terms: Terms of its queue in the desired state.
        waited: Seconds since the caller submitted it.
        remaining: Seconds for which the caller will still wait.
        stamp: Latest stamp that came from the receiver, in seconds.
        held: Seconds for which tasks of the job may still be running that an
            earlier dispatcher started.
        from_rival: Whether that dispatcher ran at the same time as the
            receiver, with endpoints that the receiver may not know.
        resumed: Whether tasks of the job may have run.
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
    """The dispatcher has accepted a job and will report its end."""

    job: JobKey


@message('fleet.unknown')
@dataclass(frozen=True, slots=True)
class UnknownJobs:
    """Jobs that an entry lists and the dispatcher doesn't have."""

    jobs: tuple[JobKey, ...]


@message('fleet.ended')
@dataclass(frozen=True, slots=True)
class Ended:
    """The final answer of a job.

    Args:
        job: Key of the job.
        state: Its final state; `failed` if it was ended as useless, as
            receivers of earlier versions know no other state for it.
        useless: Whether it was ended as it could not be useful any more; it
            isn't known which of its tasks ran.
    """

    job: JobKey
    state: JobState
    useless: bool = False


def make_ended(job: JobKey, state: JobState) -> Ended:
    """Return the message that reports the final state of a job."""
    if state is JobState.useless:
        return Ended(job, JobState.failed, useless=True)
    return Ended(job, state)


@message('fleet.refused')
@dataclass(frozen=True, slots=True)
class Refused:
    """A job was refused: none of its tasks has run or will run."""

    job: JobKey
    reason: RefusalReason
    retry_after: float


@message('fleet.dropped')
@dataclass(frozen=True, slots=True)
class Dropped:
    """The caller of a job no longer waits for it."""

    job: JobKey


@message('fleet.endpoint_reports')
@dataclass(frozen=True, slots=True)
class EndpointReports:
    """Heartbeats of endpoints that a control instance received.

    Args:
        reports: The heartbeats.
        speeds: Speeds of endpoints that the sender has learned; None if it
            doesn't dispatch or they haven't changed.
    """

    reports: tuple[EndpointReport, ...]
    speeds: SpeedUpdate | None = None


@message('fleet.endpoint_left')
@dataclass(frozen=True, slots=True)
class EndpointLeft:
    """An endpoint has deregistered."""

    endpoint: str
