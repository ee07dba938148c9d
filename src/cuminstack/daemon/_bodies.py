"""Decodes and validates request bodies into typed values."""

import hashlib
import secrets
from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Annotated, Final, TypeVar
from urllib.parse import urlsplit

import msgspec

from cuminstack.core import (
    WILDCARD,
    EndpointId,
    EndpointRecord,
    EndpointState,
    InstanceId,
    JobId,
    JobKey,
    MemberName,
    Needs,
    ServiceName,
    ServiceRef,
    ZoneName,
    is_name,
)
from cuminstack.daemon._problems import KEY_HEADER, BadRequest
from cuminstack.jobs import JobRequest, TaskSpec
from cuminstack.settings import LimitSettings

_MS_PER_SECOND: Final = 1000
_KEY_RANDOM_BYTES: Final = 12
_DIGEST_BYTES: Final = 16

#: Separates the name of the instance that generated a key from the rest.
_KEY_SEPARATOR: Final = '..'

#: Upper bound of durations in a body: one day, in milliseconds.
_MAX_DURATION_MS: Final = 86_400_000

_MAX_AMOUNT: Final = 1_000_000
_MAX_COUNT: Final = 1_000_000_000

_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=_MAX_AMOUNT)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]
_Duration = Annotated[float, msgspec.Meta(gt=0, le=_MAX_DURATION_MS)]
_ExpectedDuration = Annotated[float, msgspec.Meta(ge=0, le=_MAX_DURATION_MS)]
_Body = TypeVar('_Body')


@dataclass(frozen=True, slots=True)
class NeedsBody:
    """Resources: `needs` of a task, or `offers` of an endpoint."""

    processors: _Amount = 0
    memory_mb: _Count = 0
    accelerators: _Count = 0


@dataclass(frozen=True, slots=True)
class TaskBody:
    """One task of a job."""

    payload: msgspec.Raw
    needs: NeedsBody = field(default_factory=NeedsBody)
    expected_ms: _ExpectedDuration = 0


@dataclass(frozen=True, slots=True)
class JobBody:
    """A job as submitted by a caller."""

    tasks: list[TaskBody]
    idempotent: bool = True
    deadline_ms: _Duration | None = None


@dataclass(frozen=True, slots=True)
class JobOutline:
    """A job whose tasks are not decoded, which take far less memory so."""

    tasks: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class ServedBody:
    """One service whose tasks an endpoint runs."""

    member: str
    service: str


@dataclass(frozen=True, slots=True)
class AnnouncementBody:
    """An announcement of an endpoint."""

    incarnation: Annotated[int, msgspec.Meta(ge=0)]
    zone: str
    url: str
    serves: Annotated[list[ServedBody], msgspec.Meta(min_length=1)]
    slots: _Positive
    connections: _Positive
    offers: NeedsBody = field(default_factory=NeedsBody)
    state: EndpointState = EndpointState.serving
    busy: _Count = 0


#: Size of the shortest task, with a comma.
_MIN_TASK_BYTES: Final = len('{"payload":0},')

_job_decoder = msgspec.json.Decoder(JobBody)
_outline_decoder = msgspec.json.Decoder(JobOutline)
_announcement_decoder = msgspec.json.Decoder(AnnouncementBody)


def read_job(
    raw: bytes,
    *,
    service: ServiceRef,
    key: str | None,
    own: InstanceId,
    limits: LimitSettings,
) -> JobRequest:
    """Decode and validate a job submission.

    Args:
        raw: Request body, as JSON.
        service: Member and service, from the path.
        key: Idempotency key, None if the caller sent none.
        own: This instance, whose name is part of a generated key.
        limits: Limits on tasks, payloads and deadlines.

    Returns:
        The job, with a generated key if the caller sent none.

    Raises:
        BadRequest: The submission is invalid; names the field at fault.
    """
    _check_name('member', service.member)
    _check_name('service', service.service)
    if key is not None and not is_name(key):
        raise _unprocessable('names consist of letters', KEY_HEADER)
    if len(raw) > _MIN_TASK_BYTES * limits.max_tasks:
        _check_number(_decode(_outline_decoder, raw).tasks, limits)
    body = _decode(_job_decoder, raw)
    if key is None and not body.idempotent:
        raise _unprocessable('required where idempotent is false', KEY_HEADER)
    _check_tasks(body, limits)
    minted = key is None
    job = JobId(service.member, JobKey(key or _generate_key(own)))
    return JobRequest(
        job=job,
        service=service,
        tasks=tuple(_task_spec(task) for task in body.tasks),
        idempotent=body.idempotent,
        within=_deadline_seconds(body, limits),
        digest=_digest(service, raw),
        minted=minted,
    )


def read_announcement(endpoint: str, raw: bytes) -> EndpointRecord:
    """Decode and validate an endpoint announcement.

    Args:
        endpoint: Name of the endpoint, from the path.
        raw: Request body, as JSON.

    Returns:
        The record of the endpoint.

    Raises:
        BadRequest: The announcement is invalid; names the field at fault.
    """
    _check_name('endpoint', endpoint)
    body = _decode(_announcement_decoder, raw)
    _check_name('zone', body.zone)
    _check_url(body.url)
    return EndpointRecord(
        endpoint=EndpointId(endpoint),
        incarnation=body.incarnation,
        zone=ZoneName(body.zone),
        url=body.url.rstrip('/'),
        serves=tuple(_served(each) for each in body.serves),
        slots=body.slots,
        connections=body.connections,
        offers=_needs(body.offers),
        state=body.state,
        busy=body.busy,
    )


def _decode(decoder: msgspec.json.Decoder[_Body], raw: bytes) -> _Body:
    try:
        return decoder.decode(raw)
    except msgspec.ValidationError as error:
        detail, _, path = str(error).partition(' - at `$')
        field_name = path.rstrip('`').lstrip('.')
        names = filter(None, (field_name, _missing_field_name(detail)))
        field_path = '.'.join(names) or 'body'
        raise _unprocessable(detail, field_path) from error
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise BadRequest(
            HTTPStatus.BAD_REQUEST,
            'not-json',
            detail=str(error),
            field='body',
        ) from error


def _missing_field_name(detail: str) -> str:
    """Extract the field from: Object missing required field `tasks`."""
    return detail.split('`')[1] if 'required field' in detail else ''


def _check_tasks(body: JobBody, limits: LimitSettings) -> None:
    if not body.tasks:
        raise _unprocessable('at least one task', 'tasks')
    _check_number(body.tasks, limits)
    for index, task in enumerate(body.tasks):
        if len(bytes(task.payload)) > limits.max_payload_bytes:
            raise _too_large(
                f'at most {limits.max_payload_bytes} bytes',
                f'tasks[{index}].payload',
            )


def _check_number(tasks: Sequence[object], limits: LimitSettings) -> None:
    if len(tasks) > limits.max_tasks:
        raise _too_large(f'at most {limits.max_tasks} tasks', 'tasks')


def _check_name(field_name: str, text: str) -> None:
    if not is_name(text):
        raise _unprocessable(
            'letters, digits, dot, hyphen, underscore', field_name
        )


def _check_url(url: str) -> None:
    try:
        parts = urlsplit(url)
        is_valid = parts.scheme == 'http' and parts.port is not None
    except ValueError:
        is_valid = False
    if not is_valid:
        raise _unprocessable('http://ip:port', 'url')


def _served(body: ServedBody) -> ServiceRef:
    for field_name, text in (
        ('member', body.member),
        ('service', body.service),
    ):
        if text != WILDCARD:
            _check_name(f'serves.{field_name}', text)
    return ServiceRef(MemberName(body.member), ServiceName(body.service))


def _task_spec(body: TaskBody) -> TaskSpec:
    return TaskSpec(
        payload=bytes(body.payload),
        needs=_needs(body.needs),
        expected=body.expected_ms / _MS_PER_SECOND,
    )


def _needs(body: NeedsBody) -> Needs:
    return Needs(
        processors=body.processors,
        memory_mb=body.memory_mb,
        accelerators=body.accelerators,
    )


def _deadline_seconds(body: JobBody, limits: LimitSettings) -> float:
    deadline_ms = body.deadline_ms or limits.default_deadline_ms
    if deadline_ms > limits.max_deadline_ms:
        raise _unprocessable(
            f'at most {limits.max_deadline_ms}',
            'deadline_ms',
        )
    return deadline_ms / _MS_PER_SECOND


def _digest(service: ServiceRef, raw: bytes) -> bytes:
    digest = hashlib.blake2b(raw, digest_size=_DIGEST_BYTES)
    digest.update(f'\n{service.member}/{service.service}'.encode())
    return digest.digest()


def _generate_key(own: InstanceId) -> str:
    return f'{own}{_KEY_SEPARATOR}{secrets.token_hex(_KEY_RANDOM_BYTES)}'


def _unprocessable(detail: str, field_name: str) -> BadRequest:
    return BadRequest(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'invalid-field',
        detail=detail,
        field=field_name,
    )


def _too_large(detail: str, field_name: str) -> BadRequest:
    return BadRequest(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'too-large',
        detail=detail,
        field=field_name,
    )
