"""Messages between the lease policies of a deployment."""

from dataclasses import dataclass

from cuminstack import wire
from cuminstack.core import (
    EndpointId,
    InstanceId,
    JobId,
    MemberName,
    Needs,
    ServiceRef,
)


@dataclass(frozen=True, slots=True)
class EndpointSlots:
    """Slots of one endpoint, each with the stamp of its lease.

    A stamp increases each time the lease is transferred.
    """

    endpoint: EndpointId
    slots: tuple[int, ...]
    stamps: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class JobDemand:
    """Waiting tasks of a job at the sender.

    Args:
        job: The job.
        service: The service that runs its tasks.
        needs: Resources of one endpoint that each task needs.
        count: Number of requested slots.
        age: Time since the job arrived, in seconds.
        attained: Slot-seconds that the job has used, or needs for tasks beyond
            `count`.
    """

    job: JobId
    service: ServiceRef
    needs: Needs
    count: int
    age: float
    attained: float


@dataclass(frozen=True, slots=True)
class MemberUsage:
    """Slot usage of a member through the sender.

    Args:
        member: The member.
        seconds: Total slot-seconds that it has used.
        running: Number of its running tasks.
    """

    member: MemberName
    seconds: float
    running: int


@dataclass(frozen=True, slots=True)
class Hint:
    """Slots that an instance held when it was last observed.

    Args:
        instance: The instance.
        free: Number of its free slots.
        busy: Number of its busy slots.
        age: Time since the observation, in seconds.
    """

    instance: InstanceId
    free: int
    busy: int
    age: float


@wire.message('slots.summary')
@dataclass(frozen=True, slots=True)
class SlotSummary:
    """Slot counts and usage, as carried by heartbeats.

    Args:
        free: Number of free slots that the sender holds.
        busy: Number of busy slots at the sender.
        uses: Usage of the members that run tasks there.
    """

    free: int = 0
    busy: int = 0
    uses: tuple[MemberUsage, ...] = ()


@wire.message('slots.ask')
@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for slots for a member; replaces the previous one.

    Args:
        member: The member whose tasks are waiting.
        wanted: Demand by job; in total, the slots requested from the receiver.
        busy: Number of busy slots at the sender.
        uses: Usage of members through the sender.
        stands: Whether the request stays open for slots that are freed later.
            If so, grants are the only replies; if not, a reply is sent at
            once.
        spare: Additional slots requested, if the receiver has enough of them.
    """

    member: MemberName
    wanted: tuple[JobDemand, ...]
    busy: int = 0
    uses: tuple[MemberUsage, ...] = ()
    stands: bool = False
    spare: int = 0


@wire.message('slots.grant')
@dataclass(frozen=True, slots=True)
class Grant:
    """A transfer of leases to the receiver.

    Args:
        member: The member they were requested for; None if unrequested.
        slots: The leased slots; may be empty.
        hints: Slot counts of instances that may have free slots.
        reply: Whether this is the direct reply to a `SlotRequest`.
    """

    member: MemberName | None
    slots: tuple[EndpointSlots, ...]
    hints: tuple[Hint, ...] = ()
    reply: bool = False


@wire.message('slots.claim')
@dataclass(frozen=True, slots=True)
class Claim:
    """Requests renewal of all leases held of the receiver's endpoints."""

    serial: int
    slots: tuple[EndpointSlots, ...]


@wire.message('slots.claimed')
@dataclass(frozen=True, slots=True)
class Claimed:
    """Renews the leases of a claim, except for those to drop."""

    serial: int
    dropped: tuple[EndpointSlots, ...] = ()
