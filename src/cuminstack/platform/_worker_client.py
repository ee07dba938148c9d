"""Orders to workers over HTTP."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, TypeVar

import aiohttp
import msgspec

from cuminstack.platform._jobs import task_name
from cuminstack.platform._workers import (
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

#: Names the lifetime that an order is meant for.
_LIFETIME_HEADER: Final = 'X-Expected-Instance'
#: After this an order is of no use: what decides on orders has long voided
#: it.  In seconds.
_GIVE_UP_SECONDS: Final = 1.0
#: Channels to one worker at most; it takes 64 from all of us.
_CHANNELS: Final = 32
_KEEP_SECONDS: Final = 30.0

#: Headers that workers have no use for.
_LEFT_OUT: Final = ('Accept', 'Accept-Encoding', 'User-Agent')

_UNHEALTHY: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)
_Decoded = TypeVar('_Decoded')

_LOST: Final = (aiohttp.ClientError, TimeoutError, OSError)


class WorkerClient:
    """Sends orders to workers.

    Orders that must not wait behind a silent connection go out on new ones.
    """

    def __init__(self) -> None:
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Take orders until `close`."""
        timeout = aiohttp.ClientTimeout(total=_GIVE_UP_SECONDS)
        self._kept = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=_CHANNELS,
                keepalive_timeout=_KEEP_SECONDS,
            ),
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_LEFT_OUT,
        )
        self._fresh = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_LEFT_OUT,
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._kept, self._fresh):
            if session is not None:
                await session.close()

    async def start(self, order: StartRun) -> Started | OrderRefused | NoAnswer:
        """Start a run."""
        body = {
            'task': task_name(order.run.task),
            'run': order.run.number,
            'spec': order.payload,
            'expiresMs': order.expires_ms,
            'fencingToken': order.token,
        }
        answer = await self._post(order, 'run-start', body)
        if isinstance(answer, bytes):
            return _decoded(answer, _decode_started)
        return answer

    async def stop(self, order: StopRun) -> None:
        """Stop a run; holds tell whether it ended."""
        body = {
            'task': task_name(order.run.task),
            'run': order.run.number,
            'fencingToken': order.token,
        }
        await self._post(order, 'run-stop', body)

    async def hold(self, order: Hold) -> EndpointView | OrderRefused | NoAnswer:
        """Renew a lease, and list what runs and what has ended."""
        body = {
            'fencingToken': order.token,
            'lastSeen': order.last_end,
        }
        if order.expires_ms is not None:
            body['expiresMs'] = order.expires_ms
        if order.wait_ms:
            body['waitMs'] = order.wait_ms
        answer = await self._post(order, 'hold', body, fresh=order.fresh)
        if isinstance(answer, bytes):
            return _decoded(answer, decode_view)
        return answer

    async def _post(
        self,
        order: StartRun | StopRun | Hold,
        call: str,
        body: dict[str, Any],
        *,
        fresh: bool = False,
    ) -> bytes | OrderRefused | NoAnswer:
        session = self._fresh if fresh else self._kept
        if session is None:
            return NoAnswer('closed')
        headers = {
            _LIFETIME_HEADER: order.endpoint,
            'Content-Type': 'application/json',
        }
        try:
            async with session.post(
                f'http://{order.address}/api/{call}',
                data=msgspec.json.encode(body),
                headers=headers,
            ) as response:
                return _judge(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return OrderRefused(Refusal.unreachable)
            return NoAnswer(str(error))
        except _LOST as error:
            return NoAnswer(repr(error))


def _judge(status: int, body: bytes) -> bytes | OrderRefused | NoAnswer:
    if status == HTTPStatus.OK:
        return body
    if status == HTTPStatus.CONFLICT:
        return OrderRefused(decode_refusal(body))
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return OrderRefused(Refusal.other_lifetime)
    if status in _UNHEALTHY:
        return OrderRefused(Refusal.unhealthy)
    if status == HTTPStatus.BAD_REQUEST:
        return OrderRefused(Refusal.invalid)
    return NoAnswer(f'status {status}')


def _decode_started(body: bytes) -> Started:
    return Started(decode_clock(body))


def _decoded(
    body: bytes,
    decode: Callable[[bytes], _Decoded],
) -> _Decoded | NoAnswer:
    try:
        return decode(body)
    except msgspec.DecodeError as error:
        return NoAnswer(str(error))
