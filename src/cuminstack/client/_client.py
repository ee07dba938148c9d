"""HTTP client for the operator API with failover between instances."""

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

_ADDRESS_PATTERN: Final = re.compile(
    r'(http://)?(\[[0-9a-fA-F:]+\]|[0-9.]+):\d+/?'
)
_SCHEME: Final = 'http://'
_TRANSPORT_ERRORS: Final = (aiohttp.ClientError, OSError, TimeoutError)

_Body = TypeVar('_Body')


@dataclass(frozen=True, slots=True)
class PartialResult(Generic[_Body]):
    """The results of one request to every instance; some may have failed.

    Args:
        replies: Decoded body of each instance that answered.
        failures: Error of each instance that did not.
    """

    replies: tuple[_Body, ...]
    failures: tuple[ClientError, ...]


@dataclass(frozen=True, slots=True)
class _Request:
    """An HTTP request that can be sent to any instance.

    Args:
        method: HTTP method.
        path: Path of the URL, with the leading slash.
        body: Request body, if there is one.
        content_type: Media type of the body.
    """

    method: str
    path: str
    body: bytes | None = None
    content_type: str | None = None

    def headers(self) -> dict[str, str]:
        """Return the headers to add to the defaults of the session."""
        if self.content_type is None:
            return {}
        return {'Content-Type': self.content_type}


class OperatorClient:
    """HTTP client that tries instances in order until one answers.

    Use it as an asynchronous context manager, which closes the connections.

    Args:
        instances: Addresses, `http://ip:port` or `ip:port`, in the order in
            which the instances are tried.
        timeout_seconds: Total time limit of the request to one instance, in
            seconds.

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
        """Base URLs of the instances, in the order in which they are tried."""
        return self._instances

    async def get(self, path: str, body_type: type[_Body]) -> _Body:
        """Fetch a JSON document from the first instance that answers.

        Args:
            path: Path of the URL.
            body_type: Type that the body is decoded as.

        Returns:
            The decoded body.

        Raises:
            ClientError: As for `fetch`, or the body can't be decoded.
        """
        instance, body = await self.fetch('GET', path)
        return _decode(instance, body, body_type)

    async def get_each(
        self, path: str, body_type: type[_Body]
    ) -> PartialResult[_Body]:
        """Fetch a JSON document from every instance, one after another.

        Args:
            path: Path of the URL.
            body_type: Type that the bodies are decoded as.

        Returns:
            The decoded bodies, and the errors of the other instances.
        """
        request = _Request('GET', path)
        replies = []
        failures: list[ClientError] = []
        for instance in self._instances:
            try:
                body = await self._send(instance, request)
                replies.append(_decode(instance, body, body_type))
            except ClientError as error:
                failures.append(error)
        return PartialResult(tuple(replies), tuple(failures))

    async def fetch(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        content_type: str | None = None,
    ) -> tuple[str, bytes]:
        """Send a request to each instance in order until one answers it.

        On a transport error or status 503 (temporarily unavailable) the next
        instance is tried.  The request must therefore be idempotent.

        Args:
            method: HTTP method.
            path: Path of the URL.
            body: Request body, if there is one.
            content_type: Media type of the body.

        Returns:
            Base URL of the instance that answered, and the body.

        Raises:
            Unreachable: No instance answered, or some did not and the
                others answered 503.
            RequestRefused: An instance answered with a problem other than
                503, or every instance answered 503 (the first is raised).
            MalformedReply: An error response other than 503 has no problem
                document.
        """
        request = _Request(method, path, body, content_type)
        errors: list[ClientError] = []
        for instance in self._instances:
            try:
                return instance, await self._send(instance, request)
            except ClientError as error:
                if not _is_retryable(error):
                    raise
                errors.append(error)
        raise _combine_errors(errors)

    async def _send(self, instance: str, request: '_Request') -> bytes:
        try:
            async with self._session.request(
                request.method,
                f'{instance}{request.path}',
                data=request.body,
                headers=request.headers(),
            ) as response:
                return await _read_body(instance, response)
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
    if _ADDRESS_PATTERN.fullmatch(address) is None:
        raise BadAddress(address)
    bare = address.removeprefix(_SCHEME).removesuffix('/')
    return f'{_SCHEME}{bare}'


def _decode(instance: str, body: bytes, body_type: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.DecodeError as error:
        raise MalformedReply(instance, str(error)) from error


async def _read_body(instance: str, response: aiohttp.ClientResponse) -> bytes:
    body = await response.read()
    if response.ok:
        return body
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except msgspec.DecodeError as error:
        reason = f'status {response.status} without a problem document'
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            # Control instances of the platform answer 503 with an empty body.
            attempt = Attempt(instance, MalformedReply.__name__, reason)
            raise Unreachable((attempt,)) from error
        raise MalformedReply(instance, reason) from error
    raise RequestRefused(instance, problem)


def _is_retryable(error: ClientError) -> bool:
    if isinstance(error, RequestRefused):
        return error.problem.status == HTTPStatus.SERVICE_UNAVAILABLE
    return isinstance(error, Unreachable)


def _combine_errors(errors: Sequence[ClientError]) -> ClientError:
    """Combine the errors of all instances into the one to raise.

    Returns:
        The first refusal if every instance refused the request, else an
        `Unreachable` that lists every attempt.
    """
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
    description = problem.detail or problem.title
    return (Attempt(error.instance, error.__class__.__name__, description),)
