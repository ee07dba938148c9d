"""Starts tasks at endpoints over HTTP, each attempt once.

A start is sent as POST, which neither a client library nor an intermediary
repeats by itself.  A connection that stays silent past the expected time is
left: the endpoint is asked for the task on a new one.
"""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, replace
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, TypeVar

import aiohttp
import msgspec

from cuminstack.core import EndpointRecord, TaskId
from cuminstack.daemon._problems import JSON_TYPE
from cuminstack.jobs import SendStart, StartEnd
from cuminstack.settings import TimeoutSettings

NOT_STARTED_TYPE: Final = 'urn:cuminstack:problem:not-started'

_MILLISECONDS: Final = 1000

#: Longest wait for the answer to a question about a task, in seconds.
_ASK_SECONDS: Final = 2.0

#: Questions in a row without an answer after which an attempt is unknown.
_MAX_UNANSWERED: Final = 3

#: First pause between two questions about one attempt, in seconds.
_FIRST_PAUSE_SECONDS: Final = 0.05

#: Longest pause between two questions about one attempt, in seconds.
_LONGEST_PAUSE_SECONDS: Final = 10.0

_JSON_HEADERS: Final = MappingProxyType({'Content-Type': JSON_TYPE})


@dataclass(frozen=True, slots=True)
class StartBody:
    """Body of a start."""

    member: str
    service: str
    payload: msgspec.Raw
    start_within_ms: int


@dataclass(frozen=True, slots=True)
class AnswerBody:
    """What an endpoint answers to a start, with the task it is about."""

    task: str
    answer: msgspec.Raw


@dataclass(frozen=True, slots=True)
class ProblemBody:
    """The part of an endpoint's problem that matters here."""

    type: str = ''
    task: str = ''


@dataclass(frozen=True, slots=True)
class StateBody:
    """What an endpoint answers to a question about a task.

    `state` is one of `running`, `answered`, `failed` and `absent`.
    """

    state: str


@dataclass(frozen=True, slots=True)
class RecoveredBody:
    """The part of such an answer that only an answered task has.

    The decoder reads raw text only into fields without a default.
    """

    answer: msgspec.Raw


@dataclass(frozen=True, slots=True)
class StopBody:
    """Asks an endpoint to stop tasks, or only those that did not start."""

    tasks: tuple[str, ...]
    unstarted_only: bool = False


@dataclass(frozen=True, slots=True)
class StoppedBody:
    """What an endpoint answers to that.

    Args:
        stopped: Tasks that ran, and were stopped.
        never_started: Tasks that did not start, and never will.
    """

    stopped: tuple[str, ...] = ()
    never_started: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended.

    Args:
        end: Its end.
        answer: JSON text.
        recovered: Whether it was asked for on another connection.
        stale: Whether the first response was that of another task.
    """

    end: StartEnd
    answer: bytes = b''
    recovered: bool = False
    stale: bool = False


class StaleResponse(Exception):
    """A response on a reused connection belongs to an earlier request."""


class BadStateReply(Exception):
    """An endpoint's answer to a question about a task can't be read."""


_NO_ANSWER: Final = (
    aiohttp.ClientError,
    BadStateReply,
    OSError,
    TimeoutError,
)

_Body = TypeVar('_Body')

Finished = Callable[[SendStart, AttemptEnd], None]

_answer_decoder = msgspec.json.Decoder(AnswerBody)
_problem_decoder = msgspec.json.Decoder(ProblemBody)
_state_decoder = msgspec.json.Decoder(StateBody)
_stopped_decoder = msgspec.json.Decoder(StoppedBody)
_recovered_decoder = msgspec.json.Decoder(RecoveredBody)


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
        watch = _Watch(self, sent, record)
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
            return AttemptEnd(StartEnd.not_started)
        except _NO_ANSWER:
            return AttemptEnd(StartEnd.unknown)

    async def _judge(
        self,
        sent: SendStart,
        response: aiohttp.ClientResponse,
    ) -> AttemptEnd:
        raw = await self._read(response)
        try:
            return _judge(str(sent.task), response.status, raw)
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
        while unanswered < _MAX_UNANSWERED:
            await asyncio.sleep(pause)
            pause = min(pause * 2, _LONGEST_PAUSE_SECONDS)
            try:
                ended = await self.ask(sent, record)
            except _NO_ANSWER:
                unanswered += 1
            else:
                unanswered = 0
                if ended is not None:
                    return replace(ended, stale=True)
        return AttemptEnd(StartEnd.unknown, stale=True)

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
        state = _decode(_state_decoder, raw).state
        if state == 'running':
            return None
        if state == 'answered':
            answer = bytes(_decode(_recovered_decoder, raw).answer)
            return AttemptEnd(StartEnd.answered, answer, recovered=True)
        if state == 'failed':
            return AttemptEnd(StartEnd.failed, recovered=True)
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
            return AttemptEnd(StartEnd.not_started, recovered=True)
        return None

    async def _stop(
        self,
        record: EndpointRecord,
        tasks: tuple[TaskId, ...],
    ) -> None:
        # Stopping only saves work; the job has ended already.
        with suppress(*_NO_ANSWER):
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
            return _decode(_stopped_decoder, await self._read(response))


class _Watch:
    """Looks after one attempt whose connection may have gone silent."""

    def __init__(
        self,
        sender: TaskSender,
        sent: SendStart,
        record: EndpointRecord,
    ) -> None:
        self._sender = sender
        self._sent = sent
        self._record = record
        self._timer: asyncio.TimerHandle | None = None
        self._asking: asyncio.Task[None] | None = None
        self._unanswered = 0
        self.recovered: AttemptEnd | None = None

    def begin(self, request: 'asyncio.Task[None]', pause: float) -> None:
        """Ask after the attempt once it has taken `pause` seconds."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause, self._ask_soon, request, pause)

    def end(self) -> None:
        """Ask no more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._asking is not None:
            self._asking.cancel()

    def _ask_soon(self, request: 'asyncio.Task[None]', pause: float) -> None:
        self._asking = asyncio.ensure_future(self._ask(request, pause))

    async def _ask(
        self,
        request: 'asyncio.Task[None]',
        pause: float,
    ) -> None:
        try:
            ended = await self._sender.ask(self._sent, self._record)
        except _NO_ANSWER:
            ended = self._count_unanswered()
        else:
            self._unanswered = 0
        if ended is None:
            self.begin(request, min(pause * 2, _LONGEST_PAUSE_SECONDS))
            return
        self._asking = None
        self.recovered = ended
        request.cancel()

    def _count_unanswered(self) -> AttemptEnd | None:
        self._unanswered += 1
        if self._unanswered < _MAX_UNANSWERED:
            return None
        return AttemptEnd(StartEnd.unknown)


def _judge(task: str, status: int, raw: bytes | None) -> AttemptEnd:
    if raw is None:
        return AttemptEnd(StartEnd.failed)
    if status == HTTPStatus.OK:
        return _judge_answer(task, raw)
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return _judge_refusal(task, raw)
    return AttemptEnd(StartEnd.failed)


def _judge_answer(task: str, raw: bytes) -> AttemptEnd:
    try:
        body = _answer_decoder.decode(raw)
    except msgspec.DecodeError:
        return AttemptEnd(StartEnd.failed)
    if body.task != task:
        raise StaleResponse
    return AttemptEnd(StartEnd.answered, bytes(body.answer))


def _judge_refusal(task: str, raw: bytes) -> AttemptEnd:
    try:
        problem = _problem_decoder.decode(raw)
    except msgspec.DecodeError:
        return AttemptEnd(StartEnd.failed)
    if problem.type != NOT_STARTED_TYPE:
        return AttemptEnd(StartEnd.failed)
    if problem.task != task:
        raise StaleResponse
    return AttemptEnd(StartEnd.not_started)


def _decode(
    decoder: msgspec.json.Decoder[_Body],
    raw: bytes | None,
) -> _Body:
    try:
        return decoder.decode(raw or b'')
    except msgspec.DecodeError as error:
        raise BadStateReply from error
