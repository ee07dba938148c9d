"""What all HTTP interfaces have in common."""

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

_NAMES: Final = MappingProxyType(
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
    """Answer every error with a problem document."""
    try:
        return await handler(request)
    except BadRequest as error:
        return problem_response(error.problem)
    except web.HTTPException as error:
        return problem_response(_problem_of(error))
    except Exception as error:
        # A fault of ours: whether anything ran is not known here.
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


def _problem_of(error: web.HTTPException) -> Problem:
    status = HTTPStatus(error.status)
    name = _NAMES.get(status, 'bad-request')
    field = 'body' if name == 'too-large' else ''
    return make_problem(name, status, detail=error.reason, field=field)
