"""Messages and effects of the failure detector."""

import enum
from dataclasses import dataclass

from cuminstack import wire
from cuminstack.core import Instance, InstanceId


class Standing(enum.IntEnum):
    """State of an instance; of two with one counter, the higher wins."""

    alive = 0
    suspect = 1
    leaving = 2
    gone = 3


@dataclass(frozen=True, slots=True)
class Summary:
    """State that an instance advertises in each heartbeat.

    Args:
        version: Version of the sheet in force at the instance.
        digest: Digest of that sheet.
        stamp: Version of the instance's endpoint table.
        load: Encoded load report of the instance's dispatch policy.
    """

    version: int = 0
    digest: bytes = b''
    stamp: int = 0
    load: bytes = b''


@dataclass(frozen=True, slots=True)
class Record:
    """The standing of one instance in one incarnation.

    `counter` orders the records of one incarnation.  Only the instance
    itself increments it, to refute a suspicion or to announce that it
    leaves.
    """

    instance: InstanceId
    incarnation: int
    counter: int = 0
    standing: Standing = Standing.alive

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key; a record replaces those of the instance that rank lower."""
        return (self.incarnation, self.counter, self.standing)


@wire.message('membership.beat')
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat, sent to each neighbour once per interval.

    Args:
        incarnation: Incarnation of the sender.
        counter: Counter of the sender's own record.
        leaving: Whether the sender is leaving and takes no new work.
        seq: Sequence number of the heartbeat within the incarnation.
        heard: Highest `seq` that the sender received from this neighbour.
        table: Digest of the records that the sender holds.
        summary: State that the sender advertises.
    """

    incarnation: int
    counter: int
    leaving: bool
    seq: int
    heard: int
    table: bytes
    summary: Summary


@wire.message('membership.records')
@dataclass(frozen=True, slots=True)
class Records:
    """Records that changed, or all that the sender holds."""

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The set of alive instances or that of routable ones changed.

    Args:
        alive: Instances that are not gone, this one included.
        routable: Alive instances that work may be sent to.
    """

    alive: tuple[Instance, ...]
    routable: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class PeerSummary:
    """A neighbour advertised a summary that differs from its last one."""

    sender: InstanceId
    summary: Summary


@dataclass(frozen=True, slots=True)
class Superseded:
    """A later incarnation of this instance exists.

    The process must exit, or restart with a higher incarnation.
    """

    incarnation: int
