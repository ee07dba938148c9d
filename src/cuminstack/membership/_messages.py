"""What instances tell each other about themselves and their peers."""

import enum
from dataclasses import dataclass

from cuminstack import wire
from cuminstack.core import Instance, InstanceId


class Standing(enum.IntEnum):
    """What is known of an instance; at one counter the higher value wins."""

    alive = 0
    suspect = 1
    leaving = 2
    gone = 3


@dataclass(frozen=True, slots=True)
class Summary:
    """What an instance advertises of itself on each heartbeat.

    Args:
        version: Version of the sheet that it has in force.
        digest: Digest of that sheet.
        stamp: Stamp of its endpoint table.
        load: What its dispatch policy tells the others, encoded.
    """

    version: int = 0
    digest: bytes = b''
    stamp: int = 0
    load: bytes = b''


@dataclass(frozen=True, slots=True)
class Record:
    """The standing of one instance in one incarnation.

    `counter` orders the claims about one incarnation; only the instance
    itself raises it, to refute a suspicion or to say that it leaves.
    """

    instance: InstanceId
    incarnation: int
    counter: int = 0
    standing: Standing = Standing.alive

    @property
    def rank(self) -> tuple[int, int, int]:
        """The order of records of one instance; a higher one replaces."""
        return (self.incarnation, self.counter, self.standing)


@wire.message('membership.beat')
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent to each neighbour once an interval.

    Args:
        incarnation: Of the sender.
        counter: Of the sender.
        leaving: Whether the sender takes no new work.
        seq: Counts the heartbeats of this incarnation of the sender.
        heard: Highest `seq` that the sender got from this neighbour.
        table: Digest of the records that the sender holds.
        summary: What the sender advertises.
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
    """News of some instances, or all that the sender knows."""

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The instances that count as alive, or those to route to, changed.

    Args:
        alive: Instances that are not gone, this one included.
        routable: Those of them that work may be sent to.
    """

    alive: tuple[Instance, ...]
    routable: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class PeerSummary:
    """A neighbour advertised something else than before."""

    sender: InstanceId
    summary: Summary


@dataclass(frozen=True, slots=True)
class Superseded:
    """A later incarnation of this very instance is about.

    The process must end, or start anew with a higher incarnation.
    """

    incarnation: int
