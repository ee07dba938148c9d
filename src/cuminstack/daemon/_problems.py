"""Builds HTTP responses, with errors as RFC 9457 problem documents."""

import math
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec
from aiohttp import web

from cuminstack.core import JobId
from cuminstack.jobs import (
    Complete,
    Failed,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)
from cuminstack.listeners import RefusalBody

PROBLEM_TYPE: Final = 'application/problem+json'
JSON_TYPE: Final = 'application/json'
KEY_HEADER: Final = 'Idempotency-Key'

_URN_PREFIX: Final = 'urn:cuminstack:problem:'

_REFUSAL_STATUS: Final = MappingProxyType(
    {
        RefusalReason.unknown_member: HTTPStatus.NOT_FOUND,
        RefusalReason.unknown_service: HTTPStatus.NOT_FOUND,
        RefusalReason.never_runnable: HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalReason.over_claim: HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalReason.queue_full: HTTPStatus.TOO_MANY_REQUESTS,
        RefusalReason.key_conflict: HTTPStatus.CONFLICT,
        RefusalReason.cancelled: HTTPStatus.CONFLICT,
        RefusalReason.deadline_passed: HTTPStatus.GATEWAY_TIMEOUT,
    }
)

_FAILURE_STATUS: Final = MappingProxyType(
    {
        FailureReason.deadline_passed: HTTPStatus.GATEWAY_TIMEOUT,
        FailureReason.cancelled: HTTPStatus.CONFLICT,
        FailureReason.outcome_expired: HTTPStatus.GONE,
    }
)

#: Problems of requests that the limits on connections end.
_UNHANDLED_NAMES: Final = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: 'bad-request',
        HTTPStatus.REQUEST_TIMEOUT: 'request-timeout',
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: 'header-too-large',
    }
)


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem document; its fields are the members of the JSON object.

    Args:
        type: Problem type, as a URN.
        title: Human-readable name of the problem type.
        status: HTTP status code.
        detail: Explanation of this occurrence.
        not_run: Whether it is certain that no task was started.
        field: Field of the request at fault, empty if there is none.
    """

    type: str
    title: str
    status: int
    detail: str = ''
    not_run: bool = True
    field: str = ''


class BadRequest(Exception):
    """An invalid request, with the problem document to respond with."""

    def __init__(
        self,
        status: HTTPStatus,
        name: str,
        *,
        detail: str = '',
        not_run: bool = True,
        field: str = '',
    ) -> None:
        super().__init__(name, detail, field)
        self.problem = make_problem(
            name,
            status,
            detail=detail,
            not_run=not_run,
            field=field,
        )


def make_problem(
    name: str,
    status: HTTPStatus,
    *,
    detail: str = '',
    not_run: bool = True,
    field: str = '',
) -> Problem:
    """Build a problem document from the name of its type."""
    title = name.replace('-', ' ')
    return Problem(
        _URN_PREFIX + name, title, status.value, detail, not_run, field
    )


def problem_response(
    problem: Problem,
    *,
    retry_after: float = 0,
    key: str = '',
) -> web.Response:
    """Build a response; `retry_after` is in seconds, 0 for no header."""
    headers = {KEY_HEADER: key} if key else {}
    if retry_after:
        headers['Retry-After'] = str(math.ceil(retry_after))
    return web.Response(
        body=msgspec.json.encode(problem),
        status=problem.status,
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def describe_refusal(status: HTTPStatus) -> RefusalBody:
    """Return the problem document for a request that was not handled."""
    name = _UNHANDLED_NAMES.get(status, RefusalReason.overloaded.value)
    problem = make_problem(name, status)
    return RefusalBody(msgspec.json.encode(problem), PROBLEM_TYPE)


def outcome_response(job: JobId, outcome: Outcome) -> web.Response:
    """Build the response for the outcome of a job."""
    if isinstance(outcome, Complete):
        return _complete_response(job, outcome)
    if isinstance(outcome, Refused):
        return _refused_response(job, outcome)
    return _failed_response(job, outcome)


def json_response(
    body: object,
    status: HTTPStatus = HTTPStatus.OK,
) -> web.Response:
    """Build a JSON response from a dataclass."""
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type=JSON_TYPE,
    )


def _complete_response(job: JobId, outcome: Complete) -> web.Response:
    # Answers are JSON text already; decoding them would only add cost.
    encoded_key = msgspec.json.encode(job.key)
    answers = b','.join(outcome.answers)
    body = b''.join(
        (
            b'{"key":',
            encoded_key,
            b',"outcome":"complete","answers":[',
            answers,
            b']}',
        )
    )
    return web.Response(
        body=body,
        content_type=JSON_TYPE,
        headers={KEY_HEADER: job.key},
    )


def _refused_response(job: JobId, outcome: Refused) -> web.Response:
    status = _REFUSAL_STATUS.get(
        outcome.reason,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    problem = make_problem(
        outcome.reason.value,
        status,
        detail=outcome.detail,
    )
    return problem_response(
        problem,
        retry_after=outcome.retry_after,
        key=job.key,
    )


def _failed_response(job: JobId, outcome: Failed) -> web.Response:
    status = _FAILURE_STATUS.get(outcome.reason, HTTPStatus.BAD_GATEWAY)
    problem = make_problem(
        outcome.reason.value,
        status,
        detail=outcome.detail,
        not_run=False,
    )
    return problem_response(problem, key=job.key)
