"""The replicated value, its replicas and the state of one replica."""

import hashlib
from dataclasses import dataclass
from functools import cached_property
from typing import Final, NewType

from cuminstack.core import InstanceId, ZoneName

#: Identifies the disk of an instance.  An instance that lost its disk has
#: lost its promises, so it returns as another replica.
DiskId = NewType('DiskId', int)

#: The disk id of each replica at the first start of the deployment.
FIRST_DISK: Final = DiskId(0)


@dataclass(frozen=True, slots=True, order=True)
class Replica:
    """A voting member of a replica set: one disk of one instance."""

    instance: InstanceId
    disk: DiskId


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """A proposal number, unique and totally ordered.

    Args:
        number: The round, compared first.
        proposer: The instance that proposes; it breaks ties.
        start: A random number of the proposer's process, which may not know
            the ballots that it used before a restart.
    """

    number: int
    proposer: InstanceId
    start: int = 0


NO_BALLOT: Final = Ballot(0, InstanceId(''))


@dataclass(frozen=True)
class Value:
    """The value that the replicas agree on.

    Args:
        version: The version of the document; 0 if there is none yet.
        body: The document.
        replicas: The replica set that votes on the next value.
        incoming: The next replica set, which votes on the next value as
            well and replaces `replicas` after that; empty unless the
            replica set is changing.
        evacuations: The availability zones in which no task may be started,
            in ascending order; earlier versions know none.
    """

    version: int
    body: bytes
    replicas: tuple[Replica, ...]
    incoming: tuple[Replica, ...] = ()
    evacuations: tuple[ZoneName, ...] = ()

    @cached_property
    def digest(self) -> bytes:
        """SHA-256 digest of the document."""
        return hashlib.sha256(self.body).digest()

    @property
    def voters(self) -> frozenset[Replica]:
        """All replicas that vote on the next value."""
        return frozenset((*self.replicas, *self.incoming))

    def is_quorum(self, agreeing: frozenset[Replica]) -> bool:
        """Return whether these replicas suffice to decide the next value.

        While the replica set changes, a majority of both sets is needed.
        """
        sets = [self.replicas]
        if self.incoming:
            sets.append(self.incoming)
        return all(_has_majority(replicas, agreeing) for replicas in sets)


#: The value of a replica that has never accepted one.
EMPTY_VALUE: Final = Value(0, b'', ())


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """The durable state of a replica.

    Args:
        disk: The id of its disk.
        promised: The highest ballot that it promised; it refuses lower ones.
        accepted: The ballot that it accepted last.
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
