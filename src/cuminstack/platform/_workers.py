"""What workers say of themselves and of what they run."""

from collections.abc import Iterator
from types import MappingProxyType
from typing import Any, Final, Literal

import msgspec

from cuminstack.core import EndpointId, ZoneName
from cuminstack.logs import log_event
from cuminstack.platform._jobs import decode_run
from cuminstack.pool import (
    EndKind,
    EndpointReport,
    EndpointView,
    Refusal,
    Resources,
    RunEnd,
    RunProgress,
)
from cuminstack.settings import Address, LogLevel, NotReadable

_MS: Final = 1000.0


class BadReport(Exception):
    """A heartbeat that names no worker to use."""


class _Capacity(msgspec.Struct, rename='camel'):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    state: Literal['ready', 'draining']
    sequence: int
    # All of its room, whatever runs there.
    free_capacity: _Capacity
    labels: tuple[str, ...] = ()
    # How much longer it is slow after its start.
    cold_left_ms: float = 0
    # Unix milliseconds of its start.
    born: int = 0


class _Lists(msgspec.Struct, rename='camel'):
    clock_ms: int
    # Rows of task, run, checkpoint, percent, and a rough figure of load.
    running: list[Any]
    # Rows of number, task, run, how, checkpoint.
    finished: list[Any]
    born: int = 0


class _Clock(msgspec.Struct, rename='camel'):
    clock_ms: int
    # Why an order was refused; empty if it wasn't.
    reason: str = ''


#: What the words of a refused order mean.
_REFUSALS: Final = MappingProxyType(
    {
        'fence': Refusal.fenced,
        'old': Refusal.outdated,
        'late': Refusal.late,
        'room': Refusal.room,
    },
)


#: Task, run, checkpoint, percent.
_ProgressRow = tuple[str, int, Any, float]
#: Number, task, run, how it ended.
_EndRow = tuple[int, str, int, str]
#: What a row that can't be read raises: no list, another type, no run.
_BAD_ROW: Final = (TypeError, msgspec.ValidationError, ValueError)


def decode_heartbeat(endpoint: str, body: bytes) -> EndpointReport:
    """Decode a heartbeat.

    Raises:
        BadReport: A field is missing or of another type or meaning.
    """
    try:
        found = msgspec.json.decode(body, type=_Heartbeat)
        Address.parse(found.address)
    except (msgspec.DecodeError, NotReadable, RecursionError) as error:
        raise BadReport(str(error)) from error
    capacity = found.free_capacity
    return EndpointReport(
        endpoint=EndpointId(endpoint),
        lifetime=found.born,
        sequence=found.sequence,
        address=found.address,
        zone=ZoneName(found.zone),
        service=found.service,
        room=Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        labels=found.labels,
        draining=found.state == 'draining',
        cold_seconds=found.cold_left_ms / _MS,
    )


def decode_clock(body: bytes) -> int:
    """Read the worker's clock out of an answer.

    Raises:
        msgspec.DecodeError: It has none.
    """
    return msgspec.json.decode(body, type=_Clock).clock_ms


def decode_refusal(body: bytes) -> Refusal:
    """Read why an order was refused."""
    try:
        reason = msgspec.json.decode(body, type=_Clock).reason
    except msgspec.DecodeError:
        return Refusal.invalid
    return _REFUSALS.get(reason, Refusal.invalid)


def decode_view(body: bytes) -> EndpointView:
    """Decode the lists of a worker; rows that can't be read are left out.

    Raises:
        msgspec.DecodeError: The lists can't be read.
    """
    found = msgspec.json.decode(body, type=_Lists)
    return EndpointView(
        lifetime=found.born,
        clock_ms=found.clock_ms,
        running=tuple(_rows(found.running, _decode_progress)),
        ends=tuple(_rows(found.finished, _decode_end)),
    )


def _rows(rows: list[Any], decode: Any) -> Iterator[Any]:
    for row in rows:
        try:
            yield decode(row)
        except _BAD_ROW as error:
            log_event('worker.bad_row', LogLevel.warning, row=row, error=error)


def _decode_progress(row: list[Any]) -> RunProgress:
    task, number, _, percent = msgspec.convert(row[:4], _ProgressRow)
    return RunProgress(decode_run(task, number), percent)


def _decode_end(row: list[Any]) -> RunEnd:
    number, task, run, how = msgspec.convert(row[:4], _EndRow)
    return RunEnd(number, decode_run(task, run), EndKind(how))
