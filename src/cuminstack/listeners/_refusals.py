"""Responses and requests that end a connection."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from aiohttp.http import RawRequestMessage

from cuminstack.listeners._connections import Cause

_RETRY_AFTER: Final = 'Retry-After: 1'
_REFUSALS: Final = MappingProxyType(
    {
        Cause.large_header: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        Cause.malformed: HTTPStatus.BAD_REQUEST,
        Cause.slow_header: HTTPStatus.REQUEST_TIMEOUT,
        Cause.slow_body: HTTPStatus.REQUEST_TIMEOUT,
    },
)


def without_keepalive(message: RawRequestMessage) -> RawRequestMessage:
    """Return a request after which the connection is closed."""
    should_close = True
    return RawRequestMessage(
        message.method,
        message.path,
        message.version,
        message.headers,
        message.raw_headers,
        should_close,
        message.compression,
        message.upgrade,
        message.chunked,
        message.url,
    )


@dataclass(frozen=True, slots=True)
class RefusalBody:
    """Content of a refusal.

    Args:
        content: The content, in bytes.
        media_type: Its media type; empty for none.
    """

    content: bytes = b''
    media_type: str = ''


#: Returns the content of refusals with a status.
DescribeRefusal = Callable[[HTTPStatus], RefusalBody]


def no_content(status: HTTPStatus) -> RefusalBody:
    """Return an empty content."""
    return RefusalBody()


def refusal(cause: Cause, describe: DescribeRefusal) -> bytes:
    """Return the response to a request that was not handled."""
    status = _REFUSALS.get(cause, HTTPStatus.SERVICE_UNAVAILABLE)
    body = describe(status)
    lines = [
        f'HTTP/1.1 {status.value} {status.phrase}',
        f'Content-Length: {len(body.content)}',
        'Connection: close',
    ]
    if body.media_type:
        lines.append(f'Content-Type: {body.media_type}')
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(_RETRY_AFTER)
    return '\r\n'.join((*lines, '', '')).encode() + body.content


def forget_frames(error: object) -> None:
    """Release what the frames hold in which an error was raised.

    These hold the body that was read so far.  An error that refuses a body is
    a response, too, and one that a body raises refers to itself by them, so
    that its memory would stay until garbage is collected.

    Args:
        error: An exception; anything else is left alone.
    """
    if isinstance(error, BaseException):
        error.__traceback__ = None
        error.__context__ = None
