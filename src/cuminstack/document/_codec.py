"""The record of a replica on its disk."""

from dataclasses import dataclass, replace
from typing import Any

import cbor2
import msgspec

from cuminstack.document._records import (
    EMPTY_VALUE,
    NO_BALLOT,
    DiskId,
    Replica,
    ReplicaState,
)


@dataclass(frozen=True, slots=True)
class BadState:
    """A record that was saved by another program or version."""

    reason: str


def first_state(
    disk: DiskId,
    founders: tuple[Replica, ...] = (),
) -> ReplicaState:
    """Give the state of an empty disk.

    Args:
        disk: The disk.
        founders: The first replicas, if the deployment starts for the first
            time.
    """
    value = replace(EMPTY_VALUE, replicas=founders)
    return ReplicaState(disk, NO_BALLOT, NO_BALLOT, value)


def encode_state(state: ReplicaState) -> bytes:
    """Give the record of a state."""
    plain: Any = msgspec.to_builtins(state, builtin_types=(bytes,))
    return cbor2.dumps(plain)


def decode_state(record: bytes) -> ReplicaState | BadState:
    """Read a record."""
    try:
        plain = cbor2.loads(record)
    except (cbor2.CBORError, ValueError) as error:
        return BadState(str(error))
    try:
        return msgspec.convert(plain, ReplicaState, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        return BadState(str(error))
