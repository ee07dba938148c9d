"""Peer messages that replicate the endpoint table of each owner."""

from dataclasses import dataclass

from cuminstack import wire
from cuminstack.core import EndpointId, EndpointRecord


@wire.message('endpoints.delta')
@dataclass(frozen=True, slots=True)
class TableDelta:
    """The change of an owner's table from the previous version to this one.

    Args:
        incarnation: The incarnation of the owner; each starts with an empty
            table.
        version: The version of the table after the change, from 1.
        changed: Records that are new or differ.
        gone: Endpoints that the owner no longer lists: they left, stopped
            announcing or announce to another owner.
    """

    incarnation: int
    version: int
    changed: tuple[EndpointRecord, ...] = ()
    gone: tuple[EndpointId, ...] = ()


@wire.message('endpoints.pull')
@dataclass(frozen=True, slots=True)
class TablePull:
    """Request for the whole table of an owner."""


@wire.message('endpoints.whole')
@dataclass(frozen=True, slots=True)
class WholeTable:
    """All records of an owner at one version of its table."""

    incarnation: int
    version: int
    records: tuple[EndpointRecord, ...]
