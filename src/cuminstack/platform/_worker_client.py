"""HTTP client that sends orders to workers."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, TypeVar

import aiohttp
import msgspec

from cuminstack.platform._jobs import task_name
from cuminstack.platform._workers import (
    BODY_ERRORS,
    decode_clock,
    decode_refusal,
    decode_view,
)
from cuminstack.pool import (
    EndpointView,
    Hold,
    NoAnswer,
    OrderRefused,
    Refusal,
    Started,
    StartRun,
    StopRun,
)

#: Header with the id of the endpoint that an order is meant for; another
#: lifetime of the worker refuses the order.
_LIFETIME_HEADER: Final = 'X-Expected-Instance'
#: Time-out of a request.  An order is useless after this time, as the
#: dispatcher has voided it long before.
_ORDER_TIMEOUT_SECONDS: Final = 1.0
#: Largest number of connections to one worker, which accepts 64 from all
#: instances together.
_MAX_CONNECTIONS: Final = 32
_KEEPALIVE_SECONDS: Final = 30.0

#: Default headers that workers ignore.
_SKIPPED_HEADERS: Final = ('Accept', 'Accept-Encoding', 'User-Agent')

_UNHEALTHY_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)
_Decoded = TypeVar('_Decoded')

_CONNECTION_ERRORS: Final = (aiohttp.ClientError, TimeoutError, OSError)


class WorkerClient:
    """Sends orders to workers over HTTP.

    Orders are sent on pooled connections.  Those that must not wait for an
    unresponsive connection are sent on new ones.
    """

    def __init__(self) -> None:
        self._pooled: aiohttp.ClientSession | None = None
        self._unpooled: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the HTTP sessions, which `close` closes."""
        timeout = aiohttp.ClientTimeout(total=_ORDER_TIMEOUT_SECONDS)
        self._pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=_MAX_CONNECTIONS,
                keepalive_timeout=_KEEPALIVE_SECONDS,
            ),
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_SKIPPED_HEADERS,
        )
        self._unpooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_SKIPPED_HEADERS,
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._unpooled):
            if session is not None:
                await session.close()

    async def start(self, order: StartRun) -> Started | OrderRefused | NoAnswer:
        """Order a worker to start a run."""
        body = {
            'task': task_name(order.run.task),
            'run': order.run.number,
            'spec': order.payload,
            'expiresMs': order.expires_ms,
            'fencingToken': order.token,
        }
        answer = await self._post(order, 'run-start', body)
        if isinstance(answer, bytes):
            return _decode_answer(answer, _decode_started)
        return answer

    async def stop(self, order: StopRun) -> None:
        """Order a worker to stop a run; its end is reported by `hold`."""
        body = {
            'task': task_name(order.run.task),
            'run': order.run.number,
            'fencingToken': order.token,
        }
        await self._post(order, 'run-stop', body)

    async def hold(self, order: Hold) -> EndpointView | OrderRefused | NoAnswer:
        """Renew a lease, and list the running and the ended runs."""
        body = {
            'fencingToken': order.token,
            'lastSeen': order.last_end,
        }
        if order.expires_ms is not None:
            body['expiresMs'] = order.expires_ms
        if order.wait_ms:
            body['waitMs'] = order.wait_ms
        answer = await self._post(
            order, 'hold', body, new_connection=order.fresh
        )
        if isinstance(answer, bytes):
            return _decode_answer(answer, decode_view)
        return answer

    async def _post(
        self,
        order: StartRun | StopRun | Hold,
        action: str,
        body: dict[str, Any],
        *,
        new_connection: bool = False,
    ) -> bytes | OrderRefused | NoAnswer:
        session = self._unpooled if new_connection else self._pooled
        if session is None:
            return NoAnswer('closed')
        headers = {
            _LIFETIME_HEADER: order.endpoint,
            'Content-Type': 'application/json',
        }
        try:
            async with session.post(
                f'http://{order.address}/api/{action}',
                data=msgspec.json.encode(body),
                headers=headers,
            ) as response:
                return _classify_response(
                    response.status, await response.read()
                )
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return OrderRefused(Refusal.unreachable)
            return NoAnswer(str(error))
        except _CONNECTION_ERRORS as error:
            return NoAnswer(repr(error))


def _classify_response(
    status: int, body: bytes
) -> bytes | OrderRefused | NoAnswer:
    if status == HTTPStatus.OK:
        return body
    if status == HTTPStatus.CONFLICT:
        return OrderRefused(decode_refusal(body))
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return OrderRefused(Refusal.other_lifetime)
    if status in _UNHEALTHY_STATUSES:
        return OrderRefused(Refusal.unhealthy)
    if status == HTTPStatus.BAD_REQUEST:
        return OrderRefused(Refusal.invalid)
    return NoAnswer(f'status {status}')


def _decode_started(body: bytes) -> Started:
    return Started(decode_clock(body))


def _decode_answer(
    body: bytes,
    decode: Callable[[bytes], _Decoded],
) -> _Decoded | NoAnswer:
    try:
        return decode(body)
    except BODY_ERRORS as error:
        return NoAnswer(str(error))
