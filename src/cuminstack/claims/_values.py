"""Values that claim replicas vote on."""

from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId, JobId


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Orders the proposals for one job.

    Any claimant may use the first ballot; a later one belongs to the
    incarnation of the claimant that it names.
    """

    number: int
    proposer: InstanceId = InstanceId('')
    incarnation: int = 0


#: First ballot, which needs no promises: each replica accepts the first
#: proposal that it receives.
FAST: Final = Ballot(0)


@dataclass(frozen=True, slots=True)
class Claim:
    """Value of a claim: the instance that alone may start the job.

    Args:
        holder: The claiming instance.
        incarnation: Its incarnation.
        digest: Digest of the body of the submission.
        nonce: Distinguishes the attempts of one incarnation at one job, so
            that none is granted twice.
    """

    holder: InstanceId
    incarnation: int
    digest: bytes
    nonce: int


@dataclass(frozen=True, slots=True)
class VoteState:
    """State of one job at a replica.

    Args:
        promised: Ballot below which no proposal is accepted any more.
        accepted: Ballot of the claim, if there is one.
        claim: The claim that was accepted last.
        firm: Whether this replica itself accepted the claim; false for one
            that it adopted from other replicas after a restart.
        murky: Whether the replica lost its vote and can't determine which of
            several claims it had accepted.
        decided: Whether the claim is known to be decided.
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
    """State of one job, as handed over to a replica that restarted.

    Args:
        job: The job.
        state: State of the job at the sender.
        voters: Replicas of the job.
        left: Remaining lifetime of the claim, in seconds.
    """

    job: JobId
    state: VoteState
    voters: tuple[InstanceId, ...]
    left: float
