"""The on-disk record of a replica, encoded as CBOR."""

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
    """Result of decoding a record that is not a valid replica state.

    It may be damaged or written by another program or version.

    Args:
        reason: The decoding error.
    """

    reason: str


def initial_state(
    disk: DiskId,
    founders: tuple[Replica, ...] = (),
) -> ReplicaState:
    """Return the state of an empty disk.

    Args:
        disk: The id of the disk.
        founders: The initial replica set at the first start of the
            deployment; otherwise empty.
    """
    value = replace(EMPTY_VALUE, replicas=founders)
    return ReplicaState(disk, NO_BALLOT, NO_BALLOT, value)


def encode_state(state: ReplicaState) -> bytes:
    """Encode a state as a record."""
    plain: Any = msgspec.to_builtins(state, builtin_types=(bytes,))
    return cbor2.dumps(plain)


def decode_state(record: bytes) -> ReplicaState | BadState:
    """Decode a record."""
    try:
        plain = cbor2.loads(record)
    except (cbor2.CBORError, ValueError, RecursionError) as error:
        return BadState(str(error))
    try:
        return msgspec.convert(plain, ReplicaState, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        return BadState(str(error))
