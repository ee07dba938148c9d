"""Starts tasks at endpoints over HTTP, each attempt once.

A start is sent as POST, which neither a client library nor an intermediary
repeats by itself.  A connection that stays silent past the expected time is
left: the endpoint is asked for the task on a new one.
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
    judge,
    read_state,
    read_stopped,
)
from cuminstack.daemon._problems import JSON_TYPE
from cuminstack.daemon._watch import (
    LONGEST_PAUSE_SECONDS,
    MAX_UNANSWERED,
    NO_ANSWER,
    Watch,
)
from cuminstack.jobs import AttemptOutcome, SendStart
from cuminstack.settings import TimeoutSettings

_MILLISECONDS: Final = 1000

#: Longest wait for the answer to a question about a task, in seconds.
_ASK_SECONDS: Final = 2.0

#: First pause between two questions about one attempt, in seconds.
_FIRST_PAUSE_SECONDS: Final = 0.05

_JSON_HEADERS: Final = MappingProxyType({'Content-Type': JSON_TYPE})

Finished = Callable[[SendStart, AttemptEnd], None]


class TaskSender:
    """Sends starts, questions and stops to endpoints.

    Args:
        finished: Called once for each start that was sent.
        timeouts: How long to wait for what.
        max_answer_bytes: Largest answer of one task.
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
        self._starts: aiohttp.ClientSession | None = None
        self._questions: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Make the connection pools."""
        connect = self._timeouts.connect_ms / _MILLISECONDS
        self._starts = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                # How many tasks run at an endpoint bounds the connections.
                limit=0,
                keepalive_timeout=(
                    self._timeouts.idle_connection_ms / _MILLISECONDS
                ),
            ),
            timeout=aiohttp.ClientTimeout(total=None, connect=connect),
            auto_decompress=False,
        )
        self._questions = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=_ASK_SECONDS),
        )

    async def close(self) -> None:
        """Leave all connections."""
        for attempt in tuple(self._attempts):
            attempt.cancel()
        for session in (self._starts, self._questions):
            if session is not None:
                await session.close()

    def start(self, sent: SendStart, record: EndpointRecord) -> None:
        """Send a start; `finished` is called with its end."""
        self._run(self._attempt(sent, record))

    def stop(
        self,
        record: EndpointRecord,
        tasks: tuple[TaskId, ...],
    ) -> None:
        """Ask an endpoint, once, to stop tasks."""
        self._run(self._stop(record, tasks))

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        attempt = asyncio.ensure_future(work)
        self._attempts.add(attempt)
        attempt.add_done_callback(self._attempts.discard)

    async def _attempt(self, sent: SendStart, record: EndpointRecord) -> None:
        watch = Watch(self, sent, record)
        request = asyncio.current_task()
        assert request is not None
        watch.begin(request, self._silent_after(sent))
        try:
            ended = await self._send(sent, record)
        except asyncio.CancelledError:
            if watch.recovered is None:
                raise
            ended = watch.recovered
        finally:
            watch.end()
        self._finished(sent, ended)

    def _silent_after(self, sent: SendStart) -> float:
        floor = self._timeouts.silent_floor_ms / _MILLISECONDS
        return max(floor, sent.expected * self._timeouts.silent_factor)

    async def _send(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd:
        assert self._starts is not None
        body = StartBody(
            member=sent.service.member,
            service=sent.service.service,
            payload=msgspec.Raw(sent.payload),
            start_within_ms=int(sent.start_within * _MILLISECONDS),
        )
        try:
            async with self._starts.post(
                f'{record.url}/v1/tasks/{sent.task}',
                data=msgspec.json.encode(body),
                headers=_JSON_HEADERS,
            ) as response:
                return await self._judge(sent, response)
        except StaleResponse:
            return await self._follow(sent, record)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # No byte was sent.
            return AttemptEnd(AttemptOutcome.not_started)
        except NO_ANSWER:
            return AttemptEnd(AttemptOutcome.unknown)

    async def _judge(
        self,
        sent: SendStart,
        response: aiohttp.ClientResponse,
    ) -> AttemptEnd:
        raw = await self._read(response)
        try:
            return judge(str(sent.task), response.status, raw)
        except StaleResponse:
            # What else waits on this connection belongs to others too.
            response.close()
            raise

    async def _follow(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd:
        """Ask for an attempt on new connections until it has ended."""
        pause = _FIRST_PAUSE_SECONDS
        unanswered = 0
        while unanswered < MAX_UNANSWERED:
            await asyncio.sleep(pause)
            pause = min(pause * 2, LONGEST_PAUSE_SECONDS)
            try:
                ended = await self.ask(sent, record)
            except NO_ANSWER:
                unanswered += 1
            else:
                unanswered = 0
                if ended is not None:
                    return replace(ended, stale=True)
        return AttemptEnd(AttemptOutcome.unknown, stale=True)

    async def _read(self, response: aiohttp.ClientResponse) -> bytes | None:
        """Read a body; none if it is larger than an answer may be."""
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

    async def ask(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd | None:
        """Ask for an attempt on a new connection; none while it runs.

        Raises:
            aiohttp.ClientError: There was no answer.
            BadStateReply: There was none that can be read.
            TimeoutError: There was no answer in time.
        """
        assert self._questions is not None
        url = f'{record.url}/v1/tasks/{sent.task}'
        async with self._questions.get(url) as response:
            raw = await self._read(response)
        state = read_state(raw)
        if not state.is_absent:
            return state.ended
        return await self._forbid(sent, record)

    async def _forbid(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd | None:
        """Have an absent attempt never start, however late it arrives.

        The start may still be on its way on the silent connection, or have
        arrived since; one that has started is left alone.
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
        # Stopping only saves work; the job has ended already.
        with suppress(*NO_ANSWER):
            await self._delete(record, StopBody(tuple(map(str, tasks))))

    async def _delete(
        self,
        record: EndpointRecord,
        body: StopBody,
    ) -> StoppedBody:
        assert self._questions is not None
        async with self._questions.delete(
            f'{record.url}/v1/tasks',
            data=msgspec.json.encode(body),
            headers=_JSON_HEADERS,
        ) as response:
            return read_stopped(await self._read(response))
