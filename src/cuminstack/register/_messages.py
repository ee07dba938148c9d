"""What proposers and replicas say to each other."""

import enum
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.register._ballots import Ballot
from cuminstack.register._values import Transfer
from cuminstack.wire import message

#: Bytes of the digest that stands for a replica set.
_SET_STAMP_BYTES: Final = 8


class Standing(enum.Enum):
    """What a replica may do.

    `blank` never voted, `recovering` lost what it voted, `voting` votes.
    """

    blank = 'blank'
    recovering = 'recovering'
    voting = 'voting'


class Refusal(enum.Enum):
    """Why a replica doesn't do what a proposer asks."""

    promised = 'promised'
    not_voting = 'not_voting'
    other_set = 'other_set'
    unknown_base = 'unknown_base'


@dataclass(frozen=True, slots=True)
class Founder:
    """A replica that had never voted when the register was founded.

    Args:
        replica: Its name.
        birth: Incarnation of the process that found no file.
    """

    replica: InstanceId
    birth: int


@dataclass(frozen=True, slots=True)
class Fence:
    """What a replica knows of the life of another.

    Args:
        replica: The other.
        life: The ballot with which it recovered; what it promised in an
            earlier life counts no longer.
    """

    replica: InstanceId
    life: Ballot


@message('register.prepare')
@dataclass(frozen=True, slots=True)
class Prepare:
    """Ask a replica to take part in no ballot below this one.

    Args:
        ballot: The ballot.
        replica_set: Stands for the replica set of the proposer.
        recovers: Whether the proposer is a replica that recovers with it.
    """

    ballot: Ballot
    replica_set: bytes
    recovers: bool = False


@message('register.promise')
@dataclass(frozen=True, slots=True)
class Promise:
    """Promise that, and tell what was accepted before.

    Args:
        ballot: The ballot of the promise.
        life: The ballot with which the replica recovered last.
        accepted: The ballot that was accepted last.
        stamp: Stamp of the value that was accepted last.
        fences: What the replica knows of the lives of others.
    """

    ballot: Ballot
    life: Ballot
    accepted: Ballot
    stamp: bytes
    fences: tuple[Fence, ...] = ()


@message('register.accept')
@dataclass(frozen=True, slots=True)
class Accept:
    """Ask a replica that promised to accept."""

    ballot: Ballot
    replica_set: bytes
    transfer: Transfer


@message('register.accepted')
@dataclass(frozen=True, slots=True)
class Accepted:
    """Tell that the value of a ballot is accepted, and synced."""

    ballot: Ballot


@message('register.refused')
@dataclass(frozen=True, slots=True)
class Refused:
    """Tell that a ballot gets nothing from this replica.

    Args:
        ballot: The ballot that was refused.
        promised: The highest ballot that the replica promised.
        refusal: Why.
        accepting: Whether it was to accept, not to promise.
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
        base: Stamp of what the asker has: a sheet without its history.
    """

    stamp: bytes
    base: bytes


@message('register.fetched')
@dataclass(frozen=True, slots=True)
class Fetched:
    """Give the value that was asked for."""

    transfer: Transfer


@message('register.greet')
@dataclass(frozen=True, slots=True)
class Greet:
    """Ask another replica whether it votes; from one that doesn't."""

    birth: int
    replica_set: bytes


@message('register.greeting')
@dataclass(frozen=True, slots=True)
class Greeting:
    """Tell what this replica may do.

    Args:
        asked: Birth of the replica that asked.
        birth: Birth of the one that answers.
        standing: What it may do.
        founders: Who founded the register that it votes on.
    """

    asked: int
    birth: int
    standing: Standing
    founders: tuple[Founder, ...]


ReplicaRequest = Prepare | Accept | Fetch | Greet
ReplicaReply = Promise | Accepted | Refused | Fetched | Greeting


def set_stamp(replicas: Iterable[InstanceId]) -> bytes:
    """Give what stands for a replica set in messages."""
    names = '\n'.join(sorted(replicas)).encode()
    return hashlib.sha256(names).digest()[:_SET_STAMP_BYTES]
