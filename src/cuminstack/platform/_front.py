"""HTTP API of an entry, for callers and load balancers."""

import math
import random
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
from cuminstack.listeners import RequestLimits
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
from cuminstack.platform._metrics import outcome_label
from cuminstack.pool import RefusalReason
from cuminstack.roles import EntryRole, steady_now
from cuminstack.settings import LogLevel

#: Request header with the time that the caller waits, in milliseconds.
_DEADLINE_HEADER: Final = 'X-Deadline-Ms'
#: Used if this header is missing or malformed.
_DEFAULT_TIMEOUT_MS: Final = 2000.0
#: Longest time that a job is kept for a caller: an hour.
_MAX_TIMEOUT_MS: Final = 3600000.0
_MS_PER_SECOND: Final = 1000.0
#: Decimal places of seconds in the log.
_LOG_DECIMALS: Final = 3
#: `Retry-After` of jobs that the entry itself refuses: it has received no
#: desired state yet, or doesn't support the job.
_RETRY_AFTER_SECONDS: Final = 1


class EntryApi:
    """Serves the requests of callers, and the readiness check of an entry.

    Args:
        exposition: Metrics that count the answered jobs.
        random_source: Spreads the times at which refused callers return.
    """

    def __init__(
        self,
        exposition: Exposition,
        *,
        random_source: random.Random | None = None,
    ) -> None:
        self._exposition = exposition
        self._random_source = random_source or random.Random()
        self._role: EntryRole | None = None
        self._state = NO_STATE
        self._is_draining = False
        self._requests = 0

    @property
    def requests(self) -> int:
        """Number of callers' requests in progress."""
        return self._requests

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new connections here."""
        is_ready = self._role is not None and self._role.is_ready
        return is_ready and not self._is_draining

    def request_limits(self) -> RequestLimits:
        """Return what the desired state allows requests."""
        return self._state.request_limits

    def attach(self, role: EntryRole) -> None:
        """Set the role that runs the submitted jobs."""
        self._role = role

    def apply(self, value: Value) -> None:
        """Apply a newer desired state; keep the present one on error."""
        try:
            self._state = decode_state(value.body)
        except InvalidState as error:
            # States are validated before they are stored, so this one was
            # stored by another software version.
            log_event(
                'desired_state.unreadable',
                LogLevel.error,
                version=value.version,
                error=error,
            )

    def start_draining(self) -> None:
        """Fail readiness checks, and close connections after each response.

        Requests that still arrive are served.
        """
        self._is_draining = True

    def make_app(self) -> web.Application:
        """Return the application that serves callers."""
        app = web.Application(client_max_size=0)
        app.router.add_route('*', '/{path:.*}', self._handle)
        return app

    def make_readiness_app(self) -> web.Application:
        """Return the application that serves readiness checks."""
        app = web.Application()
        app.router.add_get('/api/readiness', self._check_readiness)
        return app

    async def _check_readiness(self, request: web.Request) -> web.Response:
        is_ready = self.is_ready
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return web.Response(status=status)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self._requests += 1
        try:
            response = await self._route(request)
        finally:
            self._requests -= 1
        if self._is_draining:
            response.force_close()
        return response

    async def _route(self, request: web.Request) -> web.StreamResponse:
        if not self._state.version or self._role is None:
            return self._refuse('no_desired_state', _RETRY_AFTER_SECONDS)
        if _is_header_too_large(request, self._state.max_header_bytes):
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
        # Jobs are not stored, so a job is unknown once its caller has left.
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
            return self._refuse('unsupported', _RETRY_AFTER_SECONDS)
        submitted_at = steady_now()
        timeout = _parse_timeout(request)
        log_event(
            'job.submitted',
            LogLevel.info,
            key=key,
            queue=queue.terms.name,
            patience=timeout,
            version=self._state.version,
            dispatcher=role.dispatcher,
        )
        answer = await role.run_job(job, queue.terms, seconds=timeout)
        seconds = steady_now() - submitted_at
        self._exposition.record_answer(
            queue.terms.name,
            outcome_label(answer),
            seconds=seconds,
        )
        log_event(
            'job.answered',
            LogLevel.info,
            key=key,
            outcome=outcome_label(answer),
            seconds=round(seconds, _LOG_DECIMALS),
            dispatcher=role.dispatcher,
        )
        return self._to_response(answer)

    def _to_response(self, answer: Answer) -> web.Response:
        if isinstance(answer, NotRun):
            return self._refuse(answer.reason, answer.retry_after)
        return _to_final_response(answer)

    def _refuse(self, reason: str, retry_after: float) -> web.Response:
        """Return the response to a job that has not run.

        Callers that are refused together would all come back together and be
        refused again, so each is told a time of its own: at random between
        the given one and twice that, in whole seconds.
        """
        seconds = max(1, math.ceil(retry_after))
        spread = self._random_source.randint(seconds, 2 * seconds)
        return _not_run_response(reason, spread)


async def _read_body(request: web.Request, limit: int) -> bytes | None:
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if limit and size > limit:
            return None
        chunks.append(chunk)
    return b''.join(chunks)


def _is_header_too_large(request: web.Request, limit: int) -> bool:
    size = sum(
        len(name) + len(header_value)
        for name, header_value in request.raw_headers
    )
    return bool(limit) and size > limit


def _parse_timeout(request: web.Request) -> float:
    text = request.headers.get(_DEADLINE_HEADER, '')
    try:
        timeout_ms = float(text)
    except ValueError:
        timeout_ms = _DEFAULT_TIMEOUT_MS
    # Not a number compares as false, too.
    if not timeout_ms >= 0:
        timeout_ms = _DEFAULT_TIMEOUT_MS
    return min(timeout_ms, _MAX_TIMEOUT_MS) / _MS_PER_SECOND


def _to_final_response(answer: Completed | MayHaveRun) -> web.Response:
    match answer:
        case Completed():
            return web.json_response({'state': answer.state.value})
        case MayHaveRun():
            is_interrupted = answer.failure is Failure.interrupted
            status = (
                HTTPStatus.BAD_GATEWAY
                if is_interrupted
                else HTTPStatus.GATEWAY_TIMEOUT
            )
            return web.json_response(
                _reason_body(answer.failure.value), status=status
            )


def _not_run_response(reason: str, retry_after: int) -> web.Response:
    is_overload = reason == RefusalReason.overload.value
    status = (
        HTTPStatus.TOO_MANY_REQUESTS
        if is_overload
        else HTTPStatus.SERVICE_UNAVAILABLE
    )
    headers = {'Retry-After': str(retry_after)}
    return web.json_response(
        _reason_body(reason), status=status, headers=headers
    )


def _reason_body(reason: str) -> dict[str, Any]:
    return {'reason': reason}
