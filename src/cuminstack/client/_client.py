"""Requests that fall back to other instances."""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from types import TracebackType
from typing import Final, Generic, Self, TypeVar

import aiohttp
import msgspec

from cuminstack.client._errors import (
    Attempt,
    BadAddress,
    ClientError,
    MalformedReply,
    Problem,
    RequestRefused,
    Unreachable,
)

_ADDRESS: Final = re.compile(r'(http://)?(\[[0-9a-fA-F:]+\]|[0-9.]+):\d+/?')
_SCHEME: Final = 'http://'
_TRANSPORT_ERRORS: Final = (aiohttp.ClientError, OSError, TimeoutError)

_Body = TypeVar('_Body')


@dataclass(frozen=True, slots=True)
class Partial(Generic[_Body]):
    """What several instances answered.

    Args:
        replies: One for each instance that answered.
        failures: Why each of the others did not.
    """

    replies: tuple[_Body, ...]
    failures: tuple[ClientError, ...]


@dataclass(frozen=True, slots=True)
class _Request:
    """What is sent to one instance after another."""

    method: str
    path: str
    body: bytes | None = None
    content_type: str | None = None

    def headers(self) -> dict[str, str]:
        """Give the headers that differ from the client's own."""
        if self.content_type is None:
            return {}
        return {'Content-Type': self.content_type}


class OperatorClient:
    """Asks instances in turn until one can answer.

    Args:
        instances: Their addresses, `http://ip:port` or `ip:port`.
        timeout_seconds: How long one instance may take to answer.

    Raises:
        BadAddress: An address has another form.
    """

    def __init__(
        self,
        instances: Sequence[str],
        *,
        timeout_seconds: float,
    ) -> None:
        self._instances = tuple(map(_base_url, instances))
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        self._open_session: aiohttp.ClientSession | None = None

    @property
    def instances(self) -> tuple[str, ...]:
        """Base URLs of the instances, in the order they are asked."""
        return self._instances

    async def get(self, path: str, shape: type[_Body]) -> _Body:
        """Ask for a JSON body of a type; see `fetch`.

        Raises:
            ClientError: No instance gave one.
        """
        instance, body = await self.fetch('GET', path)
        return _decode(instance, body, shape)

    async def get_each(self, path: str, shape: type[_Body]) -> Partial[_Body]:
        """Ask every instance for a JSON body of a type."""
        request = _Request('GET', path)
        replies = []
        failures: list[ClientError] = []
        for instance in self._instances:
            try:
                body = await self._ask(instance, request)
                replies.append(_decode(instance, body, shape))
            except ClientError as error:
                failures.append(error)
        return Partial(tuple(replies), tuple(failures))

    async def fetch(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        content_type: str | None = None,
    ) -> tuple[str, bytes]:
        """Send one request to each instance in turn until one answers it.

        An instance that answers 503 can't do it now, and the next one is
        asked.  The request must be safe to repeat.

        Returns:
            Base URL of the instance that answered, and the body.

        Raises:
            Unreachable: No instance answered.
            RequestRefused: The answer is a problem; of several 503 the
                first.
        """
        request = _Request(method, path, body, content_type)
        errors: list[ClientError] = []
        for instance in self._instances:
            try:
                return instance, await self._ask(instance, request)
            except ClientError as error:
                if not _may_go_elsewhere(error):
                    raise
                errors.append(error)
        raise _sum_of(errors)

    async def _ask(self, instance: str, request: '_Request') -> bytes:
        try:
            async with self._session.request(
                request.method,
                f'{instance}{request.path}',
                data=request.body,
                headers=request.headers(),
            ) as response:
                return await _read(instance, response)
        except _TRANSPORT_ERRORS as error:
            name = error.__class__.__name__
            attempt = Attempt(instance, name, str(error))
            raise Unreachable((attempt,)) from error

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:
            self._open_session = aiohttp.ClientSession(timeout=self._timeout)
        return self._open_session

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._open_session is not None:
            await self._open_session.close()


def _base_url(address: str) -> str:
    if _ADDRESS.fullmatch(address) is None:
        raise BadAddress(address)
    bare = address.removeprefix(_SCHEME).removesuffix('/')
    return f'{_SCHEME}{bare}'


def _decode(instance: str, body: bytes, shape: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.DecodeError as error:
        raise MalformedReply(instance, str(error)) from error


async def _read(instance: str, response: aiohttp.ClientResponse) -> bytes:
    body = await response.read()
    if response.ok:
        return body
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.DecodeError as error:
        reason = f'status {response.status} without a problem'
        raise MalformedReply(instance, reason) from error
    raise RequestRefused(instance, problem)


def _may_go_elsewhere(error: ClientError) -> bool:
    if isinstance(error, RequestRefused):
        return error.problem.status == HTTPStatus.SERVICE_UNAVAILABLE
    return isinstance(error, Unreachable)


def _sum_of(errors: Sequence[ClientError]) -> ClientError:
    """Give the first refusal if all refused, else every attempt."""
    refusals = [each for each in errors if isinstance(each, RequestRefused)]
    if refusals and len(refusals) == len(errors):
        return refusals[0]
    return Unreachable(
        tuple(attempt for each in errors for attempt in _attempts_of(each)),
    )


def _attempts_of(error: ClientError) -> tuple[Attempt, ...]:
    if isinstance(error, Unreachable):
        return error.attempts
    assert isinstance(error, RequestRefused)
    problem = error.problem
    told = problem.detail or problem.title
    return (Attempt(error.instance, error.__class__.__name__, told),)
