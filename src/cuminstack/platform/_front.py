"""What callers of an entry speak."""

import math
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web

from cuminstack.core import JobKey
from cuminstack.document import Value
from cuminstack.fleet import (
    Answer,
    Completed,
    Failure,
    MayHaveRun,
    NotRun,
)
from cuminstack.logs import log_event
from cuminstack.metrics import Exposition
from cuminstack.platform._desired_state import (
    NO_STATE,
    InvalidState,
    Queue,
    decode_state,
)
from cuminstack.platform._jobs import (
    BadJob,
    UnsupportedJob,
    decode_job,
    is_job_key,
)
from cuminstack.platform._metrics import outcome_word
from cuminstack.pool import RefusalReason
from cuminstack.roles import EntryRole, steady_now
from cuminstack.settings import LogLevel

#: How long the caller waits, in milliseconds.
_PATIENCE_HEADER: Final = 'X-Deadline-Ms'
#: Patience of a caller that doesn't tell.
_DEFAULT_PATIENCE_MS: Final = 2000.0
_MS: Final = 1000.0
#: Digits of seconds after the point, in the log.
_DIGITS: Final = 3
#: When to come back to an entry that was not told any desired state.
_NO_STATE_SECONDS: Final = 1


class Front:
    """Answers callers of an entry."""

    def __init__(self, exposition: Exposition) -> None:
        """Take where the answers of jobs are counted."""
        self._exposition = exposition
        self._role: EntryRole | None = None
        self._state = NO_STATE
        self._drains = False
        self._requests = 0

    @property
    def requests(self) -> int:
        """Requests of callers that have no answer yet."""
        return self._requests

    @property
    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        is_ready = self._role is not None and self._role.is_ready
        return is_ready and not self._drains

    def attach(self, role: EntryRole) -> None:
        """Hand jobs to a role from now on."""
        self._role = role

    def apply(self, value: Value) -> None:
        """Take a desired state that is in force."""
        try:
            self._state = decode_state(value.body)
        except InvalidState as error:
            # Checked before it was stored, so another version stored it.
            log_event(
                'desired_state.unreadable',
                LogLevel.error,
                version=value.version,
                error=error,
            )

    def drain(self) -> None:
        """Send callers elsewhere, but serve those that come."""
        self._drains = True

    def make_app(self) -> web.Application:
        """Give the application that serves callers."""
        app = web.Application(client_max_size=0)
        app.router.add_route('*', '/{path:.*}', self._serve)
        return app

    def make_readiness_app(self) -> web.Application:
        """Give the application that serves the balancer's checks."""
        app = web.Application()
        app.router.add_get('/api/readiness', self._tell_readiness)
        return app

    async def _tell_readiness(self, request: web.Request) -> web.Response:
        is_ready = self.is_ready
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return web.Response(status=status)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self._requests += 1
        try:
            response = await self._answer(request)
        finally:
            self._requests -= 1
        if self._drains:
            response.force_close()
        return response

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        if not self._state.version or self._role is None:
            return _not_run('no_desired_state', _NO_STATE_SECONDS)
        if _is_head_too_large(request, self._state.max_header_bytes):
            too_large = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            return web.Response(status=too_large)
        queue = self._state.find_queue(request.host, request.path)
        if queue is None:
            return web.Response(status=HTTPStatus.NOT_FOUND)
        name = request.path[len(queue.prefix) :]
        if not name and request.method == 'GET':
            waiting = self._role.waiting.get(queue.terms.name, 0)
            return web.json_response({'pending': waiting})
        if not is_job_key(name):
            return web.Response(status=HTTPStatus.NOT_FOUND)
        key = JobKey(name)
        if request.method == 'POST':
            return await self._submit(request, queue, key, self._role)
        # No job is stored, so none is known once its caller has left.
        return web.Response(status=HTTPStatus.GONE)

    async def _submit(
        self,
        request: web.Request,
        queue: Queue,
        key: JobKey,
        role: EntryRole,
    ) -> web.StreamResponse:
        body = await _read_body(request, self._state.max_body_bytes)
        if body is None:
            too_large = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return web.Response(status=too_large)
        try:
            job = decode_job(body, key=key, queue=queue.terms.name)
        except BadJob as error:
            log_event('job.unreadable', LogLevel.info, key=key, error=error)
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        except UnsupportedJob as error:
            log_event('job.unsupported', LogLevel.info, key=key, error=error)
            return _not_run('unsupported', _NO_STATE_SECONDS)
        asked_at = steady_now()
        patience = _patience(request)
        log_event(
            'job.submitted',
            LogLevel.info,
            key=key,
            queue=queue.terms.name,
            patience=patience,
            version=self._state.version,
            dispatcher=role.dispatcher,
        )
        answer = await role.run_job(job, queue.terms, seconds=patience)
        seconds = steady_now() - asked_at
        self._exposition.record_answer(
            queue.terms.name,
            outcome_word(answer),
            seconds=seconds,
        )
        log_event(
            'job.answered',
            LogLevel.info,
            key=key,
            outcome=outcome_word(answer),
            seconds=round(seconds, _DIGITS),
            dispatcher=role.dispatcher,
        )
        return _to_response(answer)


async def _read_body(request: web.Request, limit: int) -> bytes | None:
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if limit and size > limit:
            return None
        chunks.append(chunk)
    return b''.join(chunks)


def _is_head_too_large(request: web.Request, limit: int) -> bool:
    size = sum(len(name) + len(found) for name, found in request.raw_headers)
    return bool(limit) and size > limit


def _patience(request: web.Request) -> float:
    text = request.headers.get(_PATIENCE_HEADER, '')
    try:
        patience_ms = float(text)
    except ValueError:
        patience_ms = _DEFAULT_PATIENCE_MS
    return patience_ms / _MS


def _to_response(answer: Answer) -> web.Response:
    match answer:
        case Completed():
            return web.json_response({'state': answer.state.value})
        case NotRun():
            return _not_run(answer.reason, answer.retry_after)
        case MayHaveRun():
            is_interrupted = answer.failure is Failure.interrupted
            status = (
                HTTPStatus.BAD_GATEWAY
                if is_interrupted
                else HTTPStatus.GATEWAY_TIMEOUT
            )
            return web.json_response(
                _reason(answer.failure.value), status=status
            )


def _not_run(reason: str, retry_after: float) -> web.Response:
    is_overload = reason == RefusalReason.overload.value
    status = (
        HTTPStatus.TOO_MANY_REQUESTS
        if is_overload
        else HTTPStatus.SERVICE_UNAVAILABLE
    )
    headers = {'Retry-After': str(max(1, math.ceil(retry_after)))}
    return web.json_response(_reason(reason), status=status, headers=headers)


def _reason(reason: str) -> dict[str, Any]:
    return {'reason': reason}
