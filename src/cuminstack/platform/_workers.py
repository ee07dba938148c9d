"""Decoding of heartbeats, and of the answers of workers to orders."""

from collections.abc import Iterator
from types import MappingProxyType
from typing import Annotated, Any, Final, Literal

import msgspec

from cuminstack.core import EndpointId, ZoneName
from cuminstack.logs import log_event
from cuminstack.platform._jobs import decode_task
from cuminstack.platform._numbers import (
    Amount,
    Milliseconds,
    Percent,
    RunNumber,
    Timestamp,
)
from cuminstack.pool import (
    EndKind,
    EndpointReport,
    EndpointView,
    Refusal,
    Resources,
    RunEnd,
    RunKey,
    RunProgress,
)
from cuminstack.settings import Address, LogLevel, NotReadable

_MS_PER_SECOND: Final = 1000.0
#: Longest text of a malformed row in the log, in characters.
_MAX_LOGGED_ROW: Final = 200
#: Raised for a body that can't be decoded.  Deeply nested JSON exceeds the
#: recursion limit, even in a field that is skipped.
BODY_ERRORS: Final = (msgspec.DecodeError, RecursionError)
_REPORT_ERRORS: Final = (*BODY_ERRORS, NotReadable)

#: A name that must not be empty.
_Name = Annotated[str, msgspec.Meta(min_length=1)]


class BadReport(Exception):
    """A heartbeat is malformed."""


class UnreadableRun(msgspec.DecodeError):
    """A list of running tasks has one of ours without a valid run number."""


class _Capacity(msgspec.Struct, rename='camel'):
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _Heartbeat(msgspec.Struct, rename='camel'):
    service: _Name
    address: str
    zone: _Name
    state: Literal['ready', 'draining']
    sequence: Timestamp
    # Total capacity of the worker, not reduced by running tasks.
    free_capacity: _Capacity
    labels: tuple[str, ...] = ()
    # Remaining warm-up time, in which the worker is slower.
    cold_left_ms: Milliseconds = 0
    # Start time of the worker, in Unix milliseconds.
    born: Timestamp = 0


class _RunLists(msgspec.Struct, rename='camel'):
    clock_ms: Timestamp
    # Rows of task, run, checkpoint, percent and approximate load.
    running: list[Any]
    # Rows of number, task, run, kind of end and checkpoint.
    finished: list[Any]
    born: Timestamp = 0


class _OrderAnswer(msgspec.Struct, rename='camel'):
    clock_ms: Timestamp
    # Why the order was refused; empty if it was accepted.
    reason: str = ''


#: Refusals by the reason that a worker gives.
_REFUSAL_BY_REASON: Final = MappingProxyType(
    {
        'fence': Refusal.fenced,
        'old': Refusal.outdated,
        'late': Refusal.late,
        'room': Refusal.room,
    },
)


#: Columns of a row of the running tasks, after the name of the task.
_RUN_COLUMN: Final = 1
_PERCENT_COLUMN: Final = 3
#: Number, task, run, kind of end.
_EndRow = tuple[Timestamp, str, RunNumber, str]
#: Raised for malformed rows: not a list, a wrong type, or not a run's name.
_ROW_ERRORS: Final = (
    LookupError,
    TypeError,
    msgspec.ValidationError,
    ValueError,
)


def decode_heartbeat(endpoint: str, body: bytes) -> EndpointReport:
    """Decode a heartbeat.

    Args:
        endpoint: Id of the worker, from the path of the request.
        body: JSON body of the request.

    Raises:
        BadReport: A field is missing, or has a wrong type or value.
    """
    try:
        decoded = msgspec.json.decode(body, type=_Heartbeat)
        address = Address.parse(decoded.address)
    except _REPORT_ERRORS as error:
        raise BadReport(str(error)) from error
    if not (address.port and is_endpoint_id(endpoint)):
        raise BadReport('endpoint without a port or with a malformed id')
    capacity = decoded.free_capacity
    return EndpointReport(
        endpoint=EndpointId(endpoint),
        lifetime=decoded.born,
        sequence=decoded.sequence,
        address=decoded.address,
        zone=ZoneName(decoded.zone),
        service=decoded.service,
        room=Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        labels=decoded.labels,
        draining=decoded.state == 'draining',
        cold_seconds=decoded.cold_left_ms / _MS_PER_SECOND,
    )


def is_endpoint_id(text: str) -> bool:
    """Return whether a text can name an endpoint.

    The id is sent in a header of each order, so it may hold visible ASCII
    characters only.
    """
    return bool(text) and text.isascii() and text.isprintable()


def decode_clock(body: bytes) -> int:
    """Decode the worker's clock from the answer to an order.

    Returns:
        Milliseconds of the worker's steady clock.

    Raises:
        msgspec.DecodeError: The answer is malformed.
        RecursionError: The answer is nested too deeply.
    """
    return msgspec.json.decode(body, type=_OrderAnswer).clock_ms


def decode_refusal(body: bytes) -> Refusal:
    """Decode why a worker refused an order.

    Returns:
        The reason; `Refusal.invalid` if it is unknown or malformed.
    """
    try:
        reason = msgspec.json.decode(body, type=_OrderAnswer).reason
    except BODY_ERRORS:
        return Refusal.invalid
    return _REFUSAL_BY_REASON.get(reason, Refusal.invalid)


def decode_view(body: bytes) -> EndpointView:
    """Decode the running and the ended runs that a worker lists.

    Malformed rows are logged and skipped, except those of running tasks that
    this system may have started.

    Raises:
        UnreadableRun: It isn't clear which run of a task is running.
        msgspec.DecodeError: The answer as a whole is malformed.
        RecursionError: The answer is nested too deeply.
    """
    decoded = msgspec.json.decode(body, type=_RunLists)
    return EndpointView(
        lifetime=decoded.born,
        clock_ms=decoded.clock_ms,
        running=tuple(_decode_rows(decoded.running, _decode_progress)),
        ends=tuple(_decode_rows(decoded.finished, _decode_end)),
    )


def _decode_rows(rows: list[Any], decode_row: Any) -> Iterator[Any]:
    for row in rows:
        try:
            yield decode_row(row)
        except UnreadableRun as error:
            _log_row('worker.unreadable_run', row, error)
            raise
        except _ROW_ERRORS as error:
            _log_row('worker.bad_row', row, error)


def _log_row(event: str, row: Any, error: Exception) -> None:
    log_event(
        event,
        LogLevel.warning,
        row=_describe_row(row),
        error=error,
    )


def _describe_row(row: Any) -> str:
    return msgspec.json.encode(row)[:_MAX_LOGGED_ROW].decode(errors='replace')


def _decode_progress(row: list[Any]) -> RunProgress:
    name = msgspec.convert(row[0], str)
    task = decode_task(name)
    try:
        number = msgspec.convert(row[_RUN_COLUMN], RunNumber)
    except (IndexError, msgspec.ValidationError) as error:
        # Skipping the row would make the run count as lost, so that the task
        # would be started again.
        raise UnreadableRun(f'{name}: {error}') from error
    return RunProgress(RunKey(task, number), _decode_percent(row))


def _decode_percent(row: list[Any]) -> float:
    """Return the progress of a run; 0 if it is malformed.

    The run must be listed all the same: a run that is missing in the list is
    started again.
    """
    try:
        return msgspec.convert(row[_PERCENT_COLUMN], Percent)
    except (IndexError, msgspec.ValidationError):
        return 0


def _decode_end(row: list[Any]) -> RunEnd:
    number, task, run, kind = msgspec.convert(row[:4], _EndRow)
    return RunEnd(number, RunKey(decode_task(task), run), EndKind(kind))
