"""Messages between proposers and replicas."""

import enum
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.register._ballots import Ballot
from cuminstack.register._values import Transfer
from cuminstack.wire import message

#: Length in bytes of the digest that identifies a replica set.
_SET_DIGEST_BYTES: Final = 8


class Standing(enum.Enum):
    """Whether a replica may vote.

    `blank`: no file was found, so the replica is new or has lost its disk.
    `recovering`: the file was damaged, so the replica has lost its votes.
    `voting`: the replica votes.
    """

    blank = 'blank'
    recovering = 'recovering'
    voting = 'voting'


class Refusal(enum.Enum):
    """Why a replica refuses the request of a proposer."""

    promised = 'promised'
    not_voting = 'not_voting'
    other_set = 'other_set'
    unknown_base = 'unknown_base'


@dataclass(frozen=True, slots=True)
class Founder:
    """A replica that was blank when the register was founded.

    Args:
        replica: Name of the replica.
        birth: Incarnation of the process that found no file.
    """

    replica: InstanceId
    birth: int


@dataclass(frozen=True, slots=True)
class Fence:
    """The latest known recovery of a replica.

    Args:
        replica: The replica that recovered.
        life: The ballot with which it recovered; promises that it made
            before are void.
    """

    replica: InstanceId
    life: Ballot


@message('register.prepare')
@dataclass(frozen=True, slots=True)
class Prepare:
    """Ask a replica to promise to ignore ballots below this one.

    Args:
        ballot: The ballot.
        replica_set: Digest of the names of the proposer's replica set.
        recovers: Whether the proposer is a replica that recovers with this
            ballot.
    """

    ballot: Ballot
    replica_set: bytes
    recovers: bool = False


@message('register.promise')
@dataclass(frozen=True, slots=True)
class Promise:
    """Promise to ignore lower ballots, and report the accepted value.

    Args:
        ballot: The ballot of the promise.
        life: The ballot with which the replica last recovered.
        accepted: The ballot that the replica accepted last.
        stamp: Stamp of the value that was accepted last.
        fences: Recoveries of other replicas that the replica knows.
    """

    ballot: Ballot
    life: Ballot
    accepted: Ballot
    stamp: bytes
    fences: tuple[Fence, ...] = ()


@message('register.accept')
@dataclass(frozen=True, slots=True)
class Accept:
    """Ask a replica that promised the ballot to accept its value.

    Args:
        ballot: The ballot.
        replica_set: Digest of the names of the proposer's replica set.
        transfer: The value.
    """

    ballot: Ballot
    replica_set: bytes
    transfer: Transfer


@message('register.accepted')
@dataclass(frozen=True, slots=True)
class Accepted:
    """Confirm that the value of a ballot is accepted and synced."""

    ballot: Ballot


@message('register.refused')
@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse to promise or accept a ballot.

    Args:
        ballot: The ballot that was refused.
        promised: The highest ballot that the replica promised.
        refusal: Reason of the refusal.
        accepting: Whether an Accept was refused, rather than a Prepare.
    """

    ballot: Ballot
    promised: Ballot
    refusal: Refusal
    accepting: bool


@message('register.fetch')
@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask a replica for the value that it accepted.

    Args:
        stamp: Stamp of the value.
        base: Stamp of a value that the requester has: a sheet without its
            history.
    """

    stamp: bytes
    base: bytes


@message('register.fetched')
@dataclass(frozen=True, slots=True)
class Fetched:
    """Reply to a Fetch with the value."""

    transfer: Transfer


@message('register.greet')
@dataclass(frozen=True, slots=True)
class StandingRequest:
    """Ask another replica for its standing; sent by one that doesn't vote.

    Args:
        birth: Birth of the replica that asks.
        replica_set: Digest of the names of its replica set.
    """

    birth: int
    replica_set: bytes


@message('register.greeting')
@dataclass(frozen=True, slots=True)
class StandingReply:
    """Reply with the standing of a replica.

    Args:
        asked: Birth of the replica that asked.
        birth: Birth of the replica that replies.
        standing: Standing of the replica that replies.
        founders: Founders of the register that it votes on.
    """

    asked: int
    birth: int
    standing: Standing
    founders: tuple[Founder, ...]


ReplicaRequest = Prepare | Accept | Fetch | StandingRequest
ReplicaReply = Promise | Accepted | Refused | Fetched | StandingReply


def digest_replica_set(replicas: Iterable[InstanceId]) -> bytes:
    """Return the digest that identifies a replica set in messages."""
    names = '\n'.join(sorted(replicas)).encode()
    return hashlib.sha256(names).digest()[:_SET_DIGEST_BYTES]
