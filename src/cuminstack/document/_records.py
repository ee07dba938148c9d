"""A versioned document, and the replicas that hold it."""

import hashlib
from dataclasses import dataclass
from functools import cached_property
from typing import Final, NewType

from cuminstack.core import InstanceId

#: Names the disk of an instance: one that lost its disk is another replica.
DiskId = NewType('DiskId', int)

#: Disk of an instance at the first start of the whole deployment.
FIRST_DISK: Final = DiskId(0)


@dataclass(frozen=True, slots=True, order=True)
class Replica:
    """A disk that votes on the document."""

    instance: InstanceId
    disk: DiskId


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Number of a proposal; no two proposals share one."""

    number: int
    proposer: InstanceId


NO_BALLOT: Final = Ballot(0, InstanceId(''))


@dataclass(frozen=True)
class Value:
    """What the replicas agree on.

    Args:
        version: Version of the document; 0 if there is none yet.
        body: The document.
        replicas: Who votes on the next value.
        incoming: Who votes on it too, and alone after that; empty unless
            the replicas are being changed.
    """

    version: int
    body: bytes
    replicas: tuple[Replica, ...]
    incoming: tuple[Replica, ...] = ()

    @cached_property
    def digest(self) -> bytes:
        """Digest of the document."""
        return hashlib.sha256(self.body).digest()

    @property
    def voters(self) -> frozenset[Replica]:
        """All that vote on the next value."""
        return frozenset((*self.replicas, *self.incoming))

    def is_agreed(self, agreeing: frozenset[Replica]) -> bool:
        """Tell whether enough of the voters agree on the next value."""
        sets = [self.replicas]
        if self.incoming:
            sets.append(self.incoming)
        return all(_has_majority(replicas, agreeing) for replicas in sets)


#: What a replica holds that never voted.
EMPTY_VALUE: Final = Value(0, b'', ())


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What a replica must not forget.

    Args:
        disk: Its disk.
        promised: It takes part in no ballot below this one.
        accepted: Ballot that it accepted last.
        value: The value of that ballot.
    """

    disk: DiskId
    promised: Ballot
    accepted: Ballot
    value: Value


def _has_majority(
    replicas: tuple[Replica, ...],
    agreeing: frozenset[Replica],
) -> bool:
    votes = sum(replica in agreeing for replica in replicas)
    return votes > len(replicas) // 2
