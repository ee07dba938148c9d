"""Middleware shared by all HTTP interfaces."""

import traceback
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from aiohttp import web

from cuminstack.daemon._problems import (
    BadRequest,
    Problem,
    make_problem,
    problem_response,
)
from cuminstack.logs import log_event
from cuminstack.settings import LogLevel

_PROBLEM_NAMES: Final = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: 'unknown-path',
        HTTPStatus.METHOD_NOT_ALLOWED: 'method-not-allowed',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: 'too-large',
    }
)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def errors_as_problems(
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    """Convert every error into a problem document."""
    try:
        return await handler(request)
    except BadRequest as error:
        return problem_response(error.problem)
    except web.HTTPException as error:
        return problem_response(_problem_from_exception(error))
    except Exception as error:
        # An internal fault: whether a task was started is unknown here.
        log_event(
            'http.internal_error',
            LogLevel.error,
            path=request.path,
            error=error,
            traceback=traceback.format_exc(),
        )
        problem = make_problem(
            'internal-error',
            HTTPStatus.INTERNAL_SERVER_ERROR,
            not_run=False,
        )
        return problem_response(problem)


def _problem_from_exception(error: web.HTTPException) -> Problem:
    status = HTTPStatus(error.status)
    name = _PROBLEM_NAMES.get(status, 'bad-request')
    field = 'body' if name == 'too-large' else ''
    return make_problem(name, status, detail=error.reason, field=field)
