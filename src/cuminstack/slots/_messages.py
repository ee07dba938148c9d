"""What the lease policies of a deployment tell each other."""

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

    A stamp grows each time the lease changes hands.
    """

    endpoint: EndpointId
    slots: tuple[int, ...]
    stamps: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Wanted:
    """Tasks of a job that wait at the sender.

    Args:
        job: The job.
        service: What its tasks are tasks of.
        needs: Resources of one endpoint that each must fit in.
        count: Slots wanted.
        age: Since the job arrived, in seconds.
        attained: Slot-seconds that the job has had, or needs besides.
    """

    job: JobId
    service: ServiceRef
    needs: Needs
    count: int
    age: float
    attained: float


@dataclass(frozen=True, slots=True)
class Use:
    """Use of a member through the sender.

    Args:
        member: The member.
        seconds: Slot-seconds that it has had, in all.
        running: Its tasks that run now.
    """

    member: MemberName
    seconds: float
    running: int


@dataclass(frozen=True, slots=True)
class Hint:
    """Slots that an instance was last known to hold.

    Args:
        instance: The instance.
        free: Its free slots.
        busy: Those in use.
        age: Since that was known, in seconds.
    """

    instance: InstanceId
    free: int
    busy: int
    age: float


@wire.message('slots.summary')
@dataclass(frozen=True, slots=True)
class SlotSummary:
    """What heartbeats carry for the policy.

    Args:
        free: Free slots that the sender holds.
        busy: Those in use.
        uses: Use of the members that run tasks there.
    """

    free: int = 0
    busy: int = 0
    uses: tuple[Use, ...] = ()


@wire.message('slots.ask')
@dataclass(frozen=True, slots=True)
class Ask:
    """What the sender wants for a member; replaces its last one.

    Args:
        member: Whose tasks wait.
        wanted: By job; no more slots in all than are wanted of the receiver.
        busy: Slots that are in use at the sender.
        uses: What members have used through the sender.
        stands: Whether slots that are freed later are wanted too.  If so,
            there is no reply but the grants; if not, there is one at once.
        spare: Slots wanted beyond those, if the receiver has plenty.
    """

    member: MemberName
    wanted: tuple[Wanted, ...]
    busy: int = 0
    uses: tuple[Use, ...] = ()
    stands: bool = False
    spare: int = 0


@wire.message('slots.grant')
@dataclass(frozen=True, slots=True)
class Grant:
    """Leases that now are the receiver's.

    Args:
        member: For whom they were asked; none if they weren't.
        slots: The slots; may be none.
        hints: Where free slots may be found.
        reply: Whether this answers an `Ask`.
    """

    member: MemberName | None
    slots: tuple[EndpointSlots, ...]
    hints: tuple[Hint, ...] = ()
    reply: bool = False


@wire.message('slots.claim')
@dataclass(frozen=True, slots=True)
class Claim:
    """All the leases that the sender holds of the receiver's endpoints."""

    serial: int
    slots: tuple[EndpointSlots, ...]


@wire.message('slots.claimed')
@dataclass(frozen=True, slots=True)
class Claimed:
    """Renews the leases of a claim, but for those to drop."""

    serial: int
    dropped: tuple[EndpointSlots, ...] = ()
