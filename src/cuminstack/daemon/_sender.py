"""Starts tasks at endpoints over HTTP, each attempt at most once.

A start is sent as POST, which neither a client library nor an intermediary
retries by itself.  If the connection stays silent past the expected time, the
state of the task is queried on a new connection.
"""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import replace
from types import MappingProxyType
from typing import Any, Final

import aiohttp
import msgspec

from cuminstack.core import EndpointRecord, TaskId
from cuminstack.daemon._endpoint_replies import (
    AttemptEnd,
    StaleResponse,
    StartBody,
    StopBody,
    StoppedBody,
    classify_response,
    parse_state,
    parse_stopped,
)
from cuminstack.daemon._problems import JSON_TYPE
from cuminstack.daemon._watch import (
    MAX_FAILED_QUERIES,
    MAX_QUERY_INTERVAL_SECONDS,
    REQUEST_ERRORS,
    AttemptWatchdog,
)
from cuminstack.jobs import AttemptOutcome, SendStart
from cuminstack.settings import TimeoutSettings

_MS_PER_SECOND: Final = 1000

#: Timeout of a query for the state of a task or a stop, in seconds.
_QUERY_TIMEOUT_SECONDS: Final = 2.0

#: Delay before the first query after a stale response, in seconds.
_INITIAL_QUERY_INTERVAL_SECONDS: Final = 0.05

_JSON_HEADERS: Final = MappingProxyType({'Content-Type': JSON_TYPE})

Finished = Callable[[SendStart, AttemptEnd], None]


class TaskSender:
    """Sends starts, state queries and stop requests to endpoints.

    Args:
        finished: Called once for each start that was sent, with its result.
        timeouts: Timeouts of connections and of silent attempts.
        max_answer_bytes: Maximum size of the answer of one task.
    """

    def __init__(
        self,
        finished: Finished,
        *,
        timeouts: TimeoutSettings,
        max_answer_bytes: int,
    ) -> None:
        self._finished = finished
        self._timeouts = timeouts
        self._max_answer_bytes = max_answer_bytes
        self._attempts: set[asyncio.Task[None]] = set()
        self._start_session: aiohttp.ClientSession | None = None
        self._query_session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the connection pools."""
        connect = self._timeouts.connect_ms / _MS_PER_SECOND
        self._start_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                # The number of tasks at an endpoint limits the connections.
                limit=0,
                keepalive_timeout=(
                    self._timeouts.idle_connection_ms / _MS_PER_SECOND
                ),
            ),
            timeout=aiohttp.ClientTimeout(total=None, connect=connect),
            auto_decompress=False,
        )
        self._query_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=_QUERY_TIMEOUT_SECONDS),
        )

    async def close(self) -> None:
        """Cancel all attempts and close all connections."""
        for attempt in tuple(self._attempts):
            attempt.cancel()
        for session in (self._start_session, self._query_session):
            if session is not None:
                await session.close()

    def start(self, sent: SendStart, record: EndpointRecord) -> None:
        """Send a start; `finished` is called with its result."""
        self._run(self._attempt(sent, record))

    def stop(
        self,
        record: EndpointRecord,
        tasks: tuple[TaskId, ...],
    ) -> None:
        """Request an endpoint to stop tasks, without retrying."""
        self._run(self._stop(record, tasks))

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        attempt = asyncio.ensure_future(work)
        self._attempts.add(attempt)
        attempt.add_done_callback(self._attempts.discard)

    async def _attempt(self, sent: SendStart, record: EndpointRecord) -> None:
        watchdog = AttemptWatchdog(self, sent, record)
        request = asyncio.current_task()
        assert request is not None
        watchdog.schedule(request, self._silence_timeout(sent))
        try:
            ended = await self._send(sent, record)
        except asyncio.CancelledError:
            if watchdog.recovered is None:
                raise
            ended = watchdog.recovered
        finally:
            watchdog.stop()
        self._finished(sent, ended)

    def _silence_timeout(self, sent: SendStart) -> float:
        floor = self._timeouts.silent_floor_ms / _MS_PER_SECOND
        return max(floor, sent.expected * self._timeouts.silent_factor)

    async def _send(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd:
        assert self._start_session is not None
        body = StartBody(
            member=sent.service.member,
            service=sent.service.service,
            payload=msgspec.Raw(sent.payload),
            start_within_ms=int(sent.start_within * _MS_PER_SECOND),
        )
        try:
            async with self._start_session.post(
                f'{record.url}/v1/tasks/{sent.task}',
                data=msgspec.json.encode(body),
                headers=_JSON_HEADERS,
            ) as response:
                return await self._classify(sent, response)
        except StaleResponse:
            return await self._poll_until_ended(sent, record)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # No byte of the request was sent.
            return AttemptEnd(AttemptOutcome.not_started)
        except REQUEST_ERRORS:
            return AttemptEnd(AttemptOutcome.unknown)

    async def _classify(
        self,
        sent: SendStart,
        response: aiohttp.ClientResponse,
    ) -> AttemptEnd:
        raw = await self._read(response)
        try:
            return classify_response(str(sent.task), response.status, raw)
        except StaleResponse:
            # Later responses on this connection may be stale as well.
            response.close()
            raise

    async def _poll_until_ended(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd:
        """Poll an attempt on new connections until it has ended."""
        interval = _INITIAL_QUERY_INTERVAL_SECONDS
        failed_queries = 0
        while failed_queries < MAX_FAILED_QUERIES:
            await asyncio.sleep(interval)
            interval = min(interval * 2, MAX_QUERY_INTERVAL_SECONDS)
            try:
                ended = await self.query_attempt(sent, record)
            except REQUEST_ERRORS:
                failed_queries += 1
            else:
                failed_queries = 0
                if ended is not None:
                    return replace(ended, stale=True)
        return AttemptEnd(AttemptOutcome.unknown, stale=True)

    async def _read(self, response: aiohttp.ClientResponse) -> bytes | None:
        """Read a body; return None if it exceeds `max_answer_bytes`."""
        if (response.content_length or 0) > self._max_answer_bytes:
            response.close()
            return None
        raw = await response.content.read(self._max_answer_bytes + 1)
        while not response.content.at_eof():
            raw += await response.content.read(self._max_answer_bytes + 1)
            if len(raw) > self._max_answer_bytes:
                response.close()
                return None
        return raw

    async def query_attempt(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd | None:
        """Query an attempt on a new connection.

        An attempt that the endpoint does not know is prevented from starting.

        Returns:
            The result of the attempt, None while it runs.

        Raises:
            aiohttp.ClientError: The request failed.
            BadStateReply: The reply can't be decoded.
            TimeoutError: There was no reply within the timeout.
        """
        assert self._query_session is not None
        url = f'{record.url}/v1/tasks/{sent.task}'
        async with self._query_session.get(url) as response:
            raw = await self._read(response)
        state = parse_state(raw)
        if not state.is_absent:
            return state.ended
        return await self._prevent_start(sent, record)

    async def _prevent_start(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd | None:
        """Prevent an absent attempt from starting if it arrives later.

        The start may still be in transit on the silent connection, or may
        have arrived since the query; a started attempt is not stopped.
        """
        body = StopBody((str(sent.task),), unstarted_only=True)
        reply = await self._delete(record, body)
        if str(sent.task) in reply.never_started:
            return AttemptEnd(AttemptOutcome.not_started, recovered=True)
        return None

    async def _stop(
        self,
        record: EndpointRecord,
        tasks: tuple[TaskId, ...],
    ) -> None:
        # Stopping only saves resources; the job has already ended.
        with suppress(*REQUEST_ERRORS):
            await self._delete(record, StopBody(tuple(map(str, tasks))))

    async def _delete(
        self,
        record: EndpointRecord,
        body: StopBody,
    ) -> StoppedBody:
        assert self._query_session is not None
        async with self._query_session.delete(
            f'{record.url}/v1/tasks',
            data=msgspec.json.encode(body),
            headers=_JSON_HEADERS,
        ) as response:
            return parse_stopped(await self._read(response))
