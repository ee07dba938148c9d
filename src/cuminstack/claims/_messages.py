"""Messages between claimants and claim replicas, and their effects."""

import enum
from dataclasses import dataclass

from cuminstack import wire
from cuminstack.claims._values import Ballot, Claim, Entry, VoteState
from cuminstack.core import InstanceId, JobId


@wire.message('claims.propose')
@dataclass(frozen=True, slots=True)
class Propose:
    """Request to a replica to accept a claim.

    Args:
        job: The job.
        serial: Matches votes to the request; a claimant never reuses it.
        number: View number of the claimant.
        voters: All replicas of the job in that view, in a fixed order.
        ballot: Ballot of the proposal.
        claim: The proposed claim.
    """

    job: JobId
    serial: int
    number: int
    voters: tuple[InstanceId, ...]
    ballot: Ballot
    claim: Claim


@wire.message('claims.prepare')
@dataclass(frozen=True, slots=True)
class Prepare:
    """Request to a replica to promise a ballot.

    The replica then accepts nothing below the ballot.  The fields are those of
    `Propose`.
    """

    job: JobId
    serial: int
    number: int
    voters: tuple[InstanceId, ...]
    ballot: Ballot


class Answer(enum.IntEnum):
    """Answer of a replica to a request."""

    granted = 0
    refused = 1
    not_ready = 2
    full = 3
    stale_view = 4


@wire.message('claims.vote')
@dataclass(frozen=True, slots=True)
class Vote:
    """Answer of a replica to a claimant.

    Args:
        job: The job.
        serial: Serial of the request.
        answer: Whether the request was granted, or why not.
        vector: For each voter of the request, the latest incarnation that
            this replica knows to have restarted and requested claims; for
            this replica its own incarnation.
        state: State of the job at the replica; absent if a proposal was
            granted.
    """

    job: JobId
    serial: int
    answer: Answer
    vector: tuple[int, ...] = ()
    state: VoteState | None = None


@wire.message('claims.pull')
@dataclass(frozen=True, slots=True)
class Pull:
    """Request of a restarted replica for the claims shared with another.

    Args:
        incarnation: Incarnation of the sender.
        number: View number of the sender.
        serial: Identifies the handover among those requested from this
            instance.
        page: Index of the requested page, from 0.
    """

    incarnation: int
    number: int
    serial: int
    page: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Incarnation that an instance is known to have reached."""

    instance: InstanceId
    incarnation: int


@wire.message('claims.handover')
@dataclass(frozen=True, slots=True)
class Handover:
    """One page of the requested claims.

    Args:
        incarnation: Incarnation of the requesting instance.
        number: View number of the sender.
        age: Seconds since the sender started.
        serial: Serial of the request.
        page: Index of this page, from 0.
        last: Whether this is the last page.
        whole: Whether the sender votes on every job.
        caught_up: Instances whose claims the sender has recovered, which
            matter if it does not vote on every job.
        fences: Incarnations that the sender knows, including its own.
        entries: The claims.
    """

    incarnation: int
    number: int
    age: float
    serial: int
    page: int
    last: bool
    whole: bool
    caught_up: tuple[InstanceId, ...]
    fences: tuple[Fence, ...]
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Settled:
    """Outcome of a job, from the holder of its claim."""

    job: JobId
    claim: Claim
    outcome: bytes
    voters: tuple[InstanceId, ...]


@wire.message('claims.outcomes')
@dataclass(frozen=True, slots=True)
class Outcomes:
    """Batch of outcomes to record."""

    serial: int
    settled: tuple[Settled, ...]


@wire.message('claims.recorded')
@dataclass(frozen=True, slots=True)
class Recorded:
    """Confirmation of `Outcomes`."""

    serial: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """The exclusive right to start the job; granted once at most."""

    job: JobId


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The job has another holder, or was claimed here before.

    Args:
        job: The job.
        holder: Instance that has the exclusive right to start the job.
        incarnation: Incarnation of the holder when it claimed the job.
        body_digest: Digest of the body in the claim.
        outcome: The recorded outcome, if the replica holds it.
    """

    job: JobId
    holder: InstanceId
    incarnation: int
    body_digest: bytes
    outcome: bytes | None


@dataclass(frozen=True, slots=True)
class NoMajority:
    """The attempt was given up; this instance must not start the job.

    Args:
        job: The job.
        answers: The last answer of each replica that answered.
    """

    job: JobId
    answers: tuple[Answer, ...]
