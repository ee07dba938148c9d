"""Bodies of requests: decoded, checked, and turned into typed values."""

import hashlib
import secrets
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

_MILLISECONDS: Final = 1000
_KEY_BYTES: Final = 12
_DIGEST_BYTES: Final = 16

#: Separates the instance that minted a key from the rest of the key.
_MINT_SEPARATOR: Final = '..'

#: A day, in milliseconds.
_LONGEST_MS: Final = 86_400_000

_MANY: Final = 1_000_000
_VERY_MANY: Final = 1_000_000_000

_Count = Annotated[int, msgspec.Meta(ge=0, le=_VERY_MANY)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=_MANY)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=_MANY)]
_Duration = Annotated[float, msgspec.Meta(gt=0, le=_LONGEST_MS)]
_Expected = Annotated[float, msgspec.Meta(ge=0, le=_LONGEST_MS)]
_Body = TypeVar('_Body')


@dataclass(frozen=True, slots=True)
class NeedsBody:
    """`needs` of a task, or `offers` of an endpoint."""

    processors: _Amount = 0
    memory_mb: _Count = 0
    accelerators: _Count = 0


@dataclass(frozen=True, slots=True)
class TaskBody:
    """One task of a job."""

    payload: msgspec.Raw
    needs: NeedsBody = field(default_factory=NeedsBody)
    expected_ms: _Expected = 0


@dataclass(frozen=True, slots=True)
class JobBody:
    """A caller's job."""

    tasks: list[TaskBody]
    idempotent: bool = True
    deadline_ms: _Duration | None = None


@dataclass(frozen=True, slots=True)
class ServedBody:
    """One service that an endpoint runs tasks of."""

    member: str
    service: str


@dataclass(frozen=True, slots=True)
class AnnouncementBody:
    """What an endpoint says of itself."""

    incarnation: Annotated[int, msgspec.Meta(ge=0)]
    zone: str
    url: str
    serves: Annotated[list[ServedBody], msgspec.Meta(min_length=1)]
    slots: _Positive
    connections: _Positive
    offers: NeedsBody = field(default_factory=NeedsBody)
    state: EndpointState = EndpointState.serving
    busy: _Count = 0


_job_decoder = msgspec.json.Decoder(JobBody)
_announcement_decoder = msgspec.json.Decoder(AnnouncementBody)


def read_job(
    raw: bytes,
    *,
    service: ServiceRef,
    key: str | None,
    own: InstanceId,
    limits: LimitSettings,
) -> JobRequest:
    """Check a submission whole.

    Args:
        raw: The body.
        service: Member and service, from the path.
        key: The idempotency key, if the caller sent one.
        own: This instance; a minted key names it.
        limits: Bounds on tasks, payloads and deadlines.

    Raises:
        BadRequest: Names the field at fault.
    """
    _check_name('member', service.member)
    _check_name('service', service.service)
    if key is not None and not is_name(key):
        raise _unprocessable('names consist of letters', KEY_HEADER)
    body = _decode(_job_decoder, raw)
    if key is None and not body.idempotent:
        raise _unprocessable('required where idempotent is false', KEY_HEADER)
    _check_tasks(body, limits)
    minted = key is None
    job = JobId(service.member, JobKey(key or _mint(own)))
    return JobRequest(
        job=job,
        service=service,
        tasks=tuple(_task_spec(task) for task in body.tasks),
        idempotent=body.idempotent,
        within=_within_seconds(body, limits),
        digest=_digest(service, raw),
        minted=minted,
    )


def read_announcement(endpoint: str, raw: bytes) -> EndpointRecord:
    """Check an announcement whole.

    Raises:
        BadRequest: Names the field at fault.
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
        place = path.rstrip('`').lstrip('.')
        names = filter(None, (place, _missing_field(detail)))
        faulty = '.'.join(names) or 'body'
        raise _unprocessable(detail, faulty) from error
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise BadRequest(
            HTTPStatus.BAD_REQUEST,
            'not-json',
            detail=str(error),
            field='body',
        ) from error


def _missing_field(detail: str) -> str:
    """Take the field's name out of a message like: missing field `tasks`."""
    return detail.split('`')[1] if 'required field' in detail else ''


def _check_tasks(body: JobBody, limits: LimitSettings) -> None:
    if not body.tasks:
        raise _unprocessable('at least one task', 'tasks')
    if len(body.tasks) > limits.max_tasks:
        raise _too_large(f'at most {limits.max_tasks} tasks', 'tasks')
    for index, task in enumerate(body.tasks):
        if len(bytes(task.payload)) > limits.max_payload_bytes:
            raise _too_large(
                f'at most {limits.max_payload_bytes} bytes',
                f'tasks[{index}].payload',
            )


def _check_name(place: str, text: str) -> None:
    if not is_name(text):
        raise _unprocessable('letters, digits, dot, hyphen, underscore', place)


def _check_url(url: str) -> None:
    try:
        parts = urlsplit(url)
        is_good = parts.scheme == 'http' and parts.port is not None
    except ValueError:
        is_good = False
    if not is_good:
        raise _unprocessable('http://ip:port', 'url')


def _served(body: ServedBody) -> ServiceRef:
    for place, text in (('member', body.member), ('service', body.service)):
        if text != WILDCARD:
            _check_name(f'serves.{place}', text)
    return ServiceRef(MemberName(body.member), ServiceName(body.service))


def _task_spec(body: TaskBody) -> TaskSpec:
    return TaskSpec(
        payload=bytes(body.payload),
        needs=_needs(body.needs),
        expected=body.expected_ms / _MILLISECONDS,
    )


def _needs(body: NeedsBody) -> Needs:
    return Needs(
        processors=body.processors,
        memory_mb=body.memory_mb,
        accelerators=body.accelerators,
    )


def _within_seconds(body: JobBody, limits: LimitSettings) -> float:
    declared = body.deadline_ms or limits.default_deadline_ms
    if declared > limits.max_deadline_ms:
        raise _unprocessable(
            f'at most {limits.max_deadline_ms}',
            'deadline_ms',
        )
    return declared / _MILLISECONDS


def _digest(service: ServiceRef, raw: bytes) -> bytes:
    digest = hashlib.blake2b(raw, digest_size=_DIGEST_BYTES)
    digest.update(f'\n{service.member}/{service.service}'.encode())
    return digest.digest()


def _mint(own: InstanceId) -> str:
    return f'{own}{_MINT_SEPARATOR}{secrets.token_hex(_KEY_BYTES)}'


def _unprocessable(detail: str, place: str) -> BadRequest:
    return BadRequest(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'invalid-field',
        detail=detail,
        field=place,
    )


def _too_large(detail: str, place: str) -> BadRequest:
    return BadRequest(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'too-large',
        detail=detail,
        field=place,
    )
