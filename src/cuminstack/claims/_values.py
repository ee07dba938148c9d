"""The values that claim replicas vote on."""

from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId, JobId


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Orders the proposals for one job.

    Only the first ballot is open to every claimant; a later one belongs to
    the incarnation of the claimant that it names.
    """

    number: int
    proposer: InstanceId = InstanceId('')
    incarnation: int = 0


#: Proposals at this ballot need no first phase; each replica takes the first
#: one that it sees.
FAST: Final = Ballot(0)


@dataclass(frozen=True, slots=True)
class Claim:
    """The value of a claim: who alone may start the job.

    Args:
        holder: The claiming instance.
        incarnation: Its incarnation.
        digest: Digest of the body of the submission.
        nonce: Tells apart the attempts of one incarnation at one job, so
            that none is granted twice.
    """

    holder: InstanceId
    incarnation: int
    digest: bytes
    nonce: int


@dataclass(frozen=True, slots=True)
class VoteState:
    """What a replica holds on one job.

    Args:
        promised: No proposal below this ballot is accepted any more.
        accepted: Ballot of the claim, if there is one.
        claim: The claim that was accepted last.
        firm: Whether this replica itself accepted the claim; false for one
            that it took over from others after a restart.
        murky: Whether the replica lost its vote and can't tell which of
            several claims it had accepted.
        decided: Whether the claim is known to be final.
        outcome: Recorded outcome of the job, if there is one.
    """

    promised: Ballot = FAST
    accepted: Ballot | None = None
    claim: Claim | None = None
    firm: bool = False
    murky: bool = False
    decided: bool = False
    outcome: bytes | None = None


@dataclass(frozen=True, slots=True)
class Entry:
    """One job as it is handed over to a replica that restarted.

    Args:
        job: The job.
        state: What the sender holds on it.
        voters: Its replicas.
        left: Seconds of its lifetime that are left.
    """

    job: JobId
    state: VoteState
    voters: tuple[InstanceId, ...]
    left: float
