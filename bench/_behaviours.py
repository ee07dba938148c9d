"""How a stand-in endpoint answers the request that started a task."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import orjson
from aiohttp import web

from bench._stand_in import (
    MILLISECONDS,
    Mode,
    StandIn,
)
from bench._tasks import TaskRun, TaskState

#: Media type of a problem.
PROBLEM_TYPE: Final = 'application/problem+json'

_PROBLEM_PREFIX: Final = 'urn:cuminstack:problem:'

#: Pause between the first answer and its repetition, in seconds.
_REPEAT_SECONDS: Final = 0.01

Behaviour = Callable[
    [web.Request, TaskRun, StandIn],
    Awaitable[web.StreamResponse],
]
_behaviours: dict[str, Behaviour] = {}


def behaviour(name: str) -> Callable[[Behaviour], Behaviour]:
    """Register a way of answering under the name of a mode."""

    def decorator(function: Behaviour) -> Behaviour:
        _behaviours[name] = function
        return function

    return decorator


def behaviour_names() -> tuple[str, ...]:
    """Give the kinds that a mode may have."""
    return tuple(sorted(_behaviours))


def find_behaviour(mode: Mode, *, draw: float) -> Behaviour:
    """Choose the behaviour for one task.

    Args:
        mode: The mode in force.
        draw: A random number from 0 to 1.
    """
    return _behaviours[mode.kind if draw < mode.share else 'ok']


def json_response(body: Any, *, status: int = 200) -> web.Response:
    """Give a JSON response."""
    return web.Response(
        body=orjson.dumps(body),
        status=status,
        content_type='application/json',
    )


def problem(
    name: str,
    *,
    status: int,
    detail: str = '',
    task: str = '',
) -> web.Response:
    """Give a problem of this project's, about a task if one is named."""
    body = {
        'task': task,
        'type': _PROBLEM_PREFIX + name,
        'title': name.replace('-', ' '),
        'status': status,
        'detail': detail,
    }
    return web.Response(
        body=orjson.dumps(body),
        status=status,
        content_type=PROBLEM_TYPE,
    )


@behaviour('ok')
@behaviour('refuse_all')
async def answer(
    request: web.Request,
    run: TaskRun,
    stand_in: StandIn,
) -> web.StreamResponse:
    """Answer when the task ends."""
    state = await run.done
    if state is TaskState.failed:
        return problem('task-failed', status=500, task=run.task)
    return json_response({'task': run.task, 'answer': run.answer})


@behaviour('fail_all')
async def fail(
    request: web.Request,
    run: TaskRun,
    stand_in: StandIn,
) -> web.StreamResponse:
    """Fail at once, which frees the slot for the next victim."""
    stand_in.finish(run, TaskState.failed)
    return problem('task-failed', status=500, task=run.task)


@behaviour('silent')
async def stay_silent(
    request: web.Request,
    run: TaskRun,
    stand_in: StandIn,
) -> web.StreamResponse:
    """Run the task, but never answer on this connection."""
    await asyncio.get_running_loop().create_future()
    return await answer(request, run, stand_in)


@behaviour('late')
async def answer_late(
    request: web.Request,
    run: TaskRun,
    stand_in: StandIn,
) -> web.StreamResponse:
    """Answer long after the end."""
    await run.done
    await asyncio.sleep(stand_in.mode.late_ms / MILLISECONDS)
    return await answer(request, run, stand_in)


@behaviour('drop_connection')
async def drop_connection(
    request: web.Request,
    run: TaskRun,
    stand_in: StandIn,
) -> web.StreamResponse:
    """Close the connection after the start; the task runs on."""
    if request.transport is not None:
        request.transport.abort()
    return await answer(request, run, stand_in)


@behaviour('answer_twice')
async def answer_twice(
    request: web.Request,
    run: TaskRun,
    stand_in: StandIn,
) -> web.StreamResponse:
    """Answer, then send the same response again without a request."""
    response = await answer(request, run, stand_in)
    transport = request.transport
    if transport is not None and isinstance(response, web.Response):
        asyncio.get_running_loop().call_later(
            _REPEAT_SECONDS,
            transport.write,
            _as_bytes(response),
        )
    return response


def _as_bytes(response: web.Response) -> bytes:
    body = response.body
    assert isinstance(body, bytes)
    head = (
        f'HTTP/1.1 {response.status} OK\r\n'
        f'Content-Type: {response.content_type}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
