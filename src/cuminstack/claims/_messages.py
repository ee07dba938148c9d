"""Messages between claimants and claim replicas, and the effects."""

import enum
from dataclasses import dataclass

from cuminstack import wire
from cuminstack.claims._values import Ballot, Claim, Entry, VoteState
from cuminstack.core import InstanceId, JobId


@wire.message('claims.propose')
@dataclass(frozen=True, slots=True)
class Propose:
    """Ask a replica to accept a claim.

    Args:
        job: The job.
        serial: Matches votes to the request; not used twice by a claimant.
        number: View number of the claimant.
        voters: All replicas of the job in that view, in a fixed order.
        ballot: Of the proposal.
        claim: What is proposed.
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
    """Ask a replica to accept nothing below a ballot; see `Propose`."""

    job: JobId
    serial: int
    number: int
    voters: tuple[InstanceId, ...]
    ballot: Ballot


class Answer(enum.IntEnum):
    """How a replica answers a request."""

    granted = 0
    refused = 1
    not_ready = 2
    full = 3
    stale_view = 4


@wire.message('claims.vote')
@dataclass(frozen=True, slots=True)
class Vote:
    """A replica's answer.

    Args:
        job: The job.
        serial: Of the request.
        answer: Whether it was granted.
        vector: For each of the request's voters the latest incarnation
            that this replica handed claims over to, or its own.
        state: What the replica holds; absent where a proposal was granted.
    """

    job: JobId
    serial: int
    answer: Answer
    vector: tuple[int, ...] = ()
    state: VoteState | None = None


@wire.message('claims.pull')
@dataclass(frozen=True, slots=True)
class Pull:
    """A restarted replica asks for the claims that it shares with another.

    Args:
        incarnation: Of the sender.
        number: View number of the sender.
        serial: Tells apart the times that it asked this instance.
        page: Which part of the claims, from 0.
    """

    incarnation: int
    number: int
    serial: int
    page: int


@dataclass(frozen=True, slots=True)
class Fence:
    """An incarnation that a replica knows another to have reached."""

    instance: InstanceId
    incarnation: int


@wire.message('claims.handover')
@dataclass(frozen=True, slots=True)
class Handover:
    """One page of the claims that were asked for.

    Args:
        incarnation: Of the instance that asked.
        number: View number of the sender.
        age: Seconds since the sender started.
        serial: Of the request.
        page: Which part this is, from 0.
        last: Whether it is the last one.
        whole: Whether the sender votes on every job.
        caught_up: Else the instances that it caught up with.
        fences: The restarts that the sender knows of, its own included.
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
    """The outcome of a job, from the holder of its claim."""

    job: JobId
    claim: Claim
    outcome: bytes
    voters: tuple[InstanceId, ...]


@wire.message('claims.outcomes')
@dataclass(frozen=True, slots=True)
class Outcomes:
    """Outcomes to record."""

    serial: int
    settled: tuple[Settled, ...]


@wire.message('claims.recorded')
@dataclass(frozen=True, slots=True)
class Recorded:
    """Confirms `Outcomes`."""

    serial: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """This instance alone may start the job; given once at most."""

    job: JobId


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """The job is another's, or was claimed here before.

    Args:
        job: The job.
        holder: Who alone may have started it.
        incarnation: Of the holder at that time.
        body_digest: Digest of the body that it was claimed with.
        outcome: The recorded outcome, if it is held.
    """

    job: JobId
    holder: InstanceId
    incarnation: int
    body_digest: bytes
    outcome: bytes | None


@dataclass(frozen=True, slots=True)
class NoMajority:
    """The claim was given up; this instance must not start the job.

    Args:
        job: The job.
        answers: The last answer of each replica that answered.
    """

    job: JobId
    answers: tuple[Answer, ...]
