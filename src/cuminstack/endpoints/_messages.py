"""Peer messages that spread what endpoints announce."""

from dataclasses import dataclass

from cuminstack import wire
from cuminstack.core import EndpointId, EndpointRecord


@wire.message('endpoints.delta')
@dataclass(frozen=True, slots=True)
class TableDelta:
    """Changes that take an owner's table from the version before to this one.

    Args:
        incarnation: Of the owner; a new one starts with an empty table.
        version: Of the table after the change; 1 is the first change.
        changed: Records that are new or differ.
        gone: Endpoints that left or fell silent.
    """

    incarnation: int
    version: int
    changed: tuple[EndpointRecord, ...] = ()
    gone: tuple[EndpointId, ...] = ()


@wire.message('endpoints.pull')
@dataclass(frozen=True, slots=True)
class TablePull:
    """Asks an owner for its whole table."""


@wire.message('endpoints.whole')
@dataclass(frozen=True, slots=True)
class WholeTable:
    """All records of an owner, at one version."""

    incarnation: int
    version: int
    records: tuple[EndpointRecord, ...]
