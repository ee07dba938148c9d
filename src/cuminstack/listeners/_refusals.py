"""Responses and requests that end a connection."""

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


def refusal(cause: Cause) -> bytes:
    """Return the response to a request that was not handled."""
    status = _REFUSALS.get(cause, HTTPStatus.SERVICE_UNAVAILABLE)
    lines = [
        f'HTTP/1.1 {status.value} {status.phrase}',
        'Content-Length: 0',
        'Connection: close',
    ]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(_RETRY_AFTER)
    return '\r\n'.join((*lines, '', '')).encode()


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
