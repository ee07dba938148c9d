"""The HTTP interface of a stand-in endpoint."""

import asyncio
import dataclasses
import random
import time
from typing import Final

import orjson
from aiohttp import web

from bench._behaviours import (
    behaviour_names,
    find_behaviour,
    json_response,
    problem,
)
from bench._stand_in import MILLISECONDS, Mode, StandIn
from bench._tasks import DuplicateTask, NotStarted

#: Largest request body, in bytes.
_BODY_BYTES: Final = 8 * 1024 * 1024

_BAD_BODY: Final = (ValueError, KeyError, TypeError, AttributeError)


class EndpointApp:
    """The HTTP interface of a stand-in endpoint."""

    def __init__(self, stand_in: StandIn) -> None:
        self.stand_in = stand_in
        self._random = random.Random(stand_in.options.seed)

    def build(self) -> web.Application:
        """Give the application, ready to be served."""
        app = web.Application(client_max_size=_BODY_BYTES)
        app.router.add_post('/v1/tasks/{task}', self._start)
        app.router.add_get('/v1/tasks/{task}', self._state)
        app.router.add_delete('/v1/tasks', self._stop)
        app.router.add_get('/starts', self._starts)
        app.router.add_put('/mode', self._set_mode)
        app.router.add_put('/leave', self._leave)
        return app

    async def _start(self, request: web.Request) -> web.StreamResponse:
        latency = self.stand_in.mode.latency_ms / MILLISECONDS
        if latency:
            await asyncio.sleep(latency)
        response = await self._start_now(request)
        if latency:
            await asyncio.sleep(latency)
        return response

    async def _start_now(self, request: web.Request) -> web.StreamResponse:
        received = time.monotonic()
        task = request.match_info['task']
        self._count_connections(request)
        try:
            body = orjson.loads(await request.read())
            run = self.stand_in.start(
                task,
                body,
                received=received,
                now=time.monotonic(),
            )
        except DuplicateTask as duplicate:
            return problem('duplicate', status=409, detail=duplicate.task)
        except NotStarted as refused:
            detail = refused.reason.value
            return problem(
                'not-started',
                status=503,
                detail=detail,
                task=task,
            )
        except _BAD_BODY as error:
            return problem('bad-request', status=400, detail=repr(error))
        mode = self.stand_in.mode
        respond = find_behaviour(mode, draw=self._random.random())
        return await respond(request, run, self.stand_in)

    async def _state(self, request: web.Request) -> web.Response:
        run = self.stand_in.find(request.match_info['task'])
        if run is None:
            return json_response({'state': 'absent'}, status=404)
        return json_response(run.description)

    async def _stop(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        stopped = []
        if not body.get('unstarted_only', False):
            stopped = [
                task for task in body['tasks'] if self.stand_in.stop(task)
            ]
        never = [task for task in body['tasks'] if self.stand_in.forbid(task)]
        return json_response({'stopped': stopped, 'never_started': never})

    async def _starts(self, request: web.Request) -> web.Response:
        return json_response(self.stand_in.start_log)

    async def _set_mode(self, request: web.Request) -> web.Response:
        try:
            mode = Mode(**orjson.loads(await request.read()))
        except _BAD_BODY as error:
            return problem('bad-request', status=400, detail=repr(error))
        if mode.kind not in behaviour_names():
            return problem('bad-request', status=422, detail=mode.kind)
        self.stand_in.mode = mode
        return json_response(dataclasses.asdict(mode))

    async def _leave(self, request: web.Request) -> web.Response:
        self.stand_in.leave(now=time.monotonic())
        return json_response({'state': self.stand_in.state.value})

    def _count_connections(self, request: web.Request) -> None:
        manager = request.protocol._manager
        if manager is not None:
            open_now = len(manager.connections)
            peak = self.stand_in.connections_peak
            self.stand_in.connections_peak = max(peak, open_now)
