"""Durable state of a replica, and its encoding as a record."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

import cbor2
import msgspec

from cuminstack.core import InstanceId
from cuminstack.register._ballots import NO_BALLOT, Ballot
from cuminstack.register._messages import Fence, Founder, Standing
from cuminstack.register._values import EMPTY_VALUE, Superseded, Value
from cuminstack.sheet import SheetFaults, parse  # noqa: WPS347

_RECORD_VERSION: Final = 1


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """Durable state of a replica.

    Args:
        replicas: The replica set that the replica belongs to, sorted.
        birth: Incarnation of the process that found no usable file.
        standing: Whether the replica may vote.
        promised: The replica ignores ballots below this one.
        accepted: The ballot that the replica accepted last.
        value: The value of that ballot.
        life: The ballot with which the replica last recovered; NO_BALLOT
            if it never did.
        fences: Recoveries of other replicas that the replica knows.
        founders: Founders of the register that the replica votes on.
    """

    replicas: tuple[InstanceId, ...]
    birth: int
    standing: Standing
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value = EMPTY_VALUE
    life: Ballot = NO_BALLOT
    fences: tuple[Fence, ...] = ()
    founders: tuple[Founder, ...] = ()


@dataclass(frozen=True, slots=True)
class BadRecord:
    """A record that can't be decoded, as of another program or version.

    Args:
        reason: What is wrong with the record.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class _Record:
    """Encoded form of a state.

    The history and the sheet make up the value; the sheet is its canonical
    text, or empty for version 0.
    """

    record_version: int
    replicas: tuple[InstanceId, ...]
    birth: int
    standing: Standing
    promised: Ballot
    accepted: Ballot
    life: Ballot
    fences: tuple[Fence, ...]
    founders: tuple[Founder, ...]
    history: tuple[Superseded, ...]
    sheet: bytes


def encode_state(state: AcceptorState) -> bytes:
    """Return the record of a state, in CBOR."""
    sheet = state.value.sheet
    record = _Record(
        record_version=_RECORD_VERSION,
        replicas=state.replicas,
        birth=state.birth,
        standing=state.standing,
        promised=state.promised,
        accepted=state.accepted,
        life=state.life,
        fences=state.fences,
        founders=state.founders,
        history=state.value.history,
        sheet=sheet.canonical if sheet.version else b'',
    )
    return cbor2.dumps(msgspec.to_builtins(record, builtin_types=(bytes,)))


def decode_state(record: bytes) -> AcceptorState | BadRecord:
    """Return the state of a record, or why it can't be decoded."""
    try:
        plain = cbor2.loads(record)
    except (cbor2.CBORError, ValueError) as error:
        return BadRecord(str(error))
    return _validate_record(plain)


def _validate_record(plain: Any) -> AcceptorState | BadRecord:
    """Return the state of a record that was parsed as CBOR."""
    try:
        found = msgspec.convert(plain, _Record, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        return BadRecord(str(error))
    sheet = parse(found.sheet) if found.sheet else EMPTY_VALUE.sheet
    if isinstance(sheet, SheetFaults):
        return BadRecord(str(sheet.faults[0]))
    if found.record_version != _RECORD_VERSION:
        return BadRecord(f'record version {found.record_version}')
    return AcceptorState(
        replicas=found.replicas,
        birth=found.birth,
        standing=found.standing,
        promised=found.promised,
        accepted=found.accepted,
        value=Value(sheet, found.history),
        life=found.life,
        fences=found.fences,
        founders=found.founders,
    )


@dataclass(frozen=True, slots=True)
class OtherReplicaSet:
    """The replica set of the record differs from that of the settings.

    Args:
        found: The replica set of the record.
    """

    found: tuple[InstanceId, ...]


def starting_state(
    replicas: Iterable[InstanceId],
    *,
    incarnation: int,
    record: bytes | None,
    damaged: bool = False,
) -> AcceptorState | OtherReplicaSet:
    """Return the state that a replica starts with.

    Args:
        replicas: The replica set, from the settings.
        incarnation: Number that grows with each start of the process; it
            becomes the birth of a replica without a usable record.
        record: The record that was loaded; None if there was none or it was
            damaged.
        damaged: Whether there was a damaged record.

    Returns:
        The state, or OtherReplicaSet if the record belongs to another one.
    """
    replica_set = tuple(sorted(replicas))
    standing = Standing.recovering if damaged else Standing.blank
    empty = AcceptorState(replica_set, incarnation, standing)
    if record is None:
        return empty
    found = decode_state(record)
    if isinstance(found, BadRecord):
        return replace(empty, standing=Standing.recovering)
    if found.replicas != replica_set:
        return OtherReplicaSet(found.replicas)
    return found
