"""A stand-in endpoint: runs tasks by sleeping, and misbehaves on request.

`python -m bench.endpoint --endpoint e1 --zone a --serves tkemali/order-desk
--announce-to http://127.0.0.1:8001` prints one JSON line with its URL by its
name once it listens.  Several names run several endpoints in one process.
SIGTERM makes them leave, and the process exit when idle.
"""

import argparse
import asyncio
import dataclasses
import random
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import orjson
from aiohttp import web

from bench._announcer import Announcer
from bench._behaviours import (
    behaviour_names,
    find_behaviour,
    json_response,
    problem,
)
from bench._stand_in import (
    MILLISECONDS,
    Mode,
    StandIn,
    StandInOptions,
)
from bench._start_log import start_log_path
from bench._tasks import DuplicateTask, NotStarted
from cuminstack.core import MemberName, ServiceName, ServiceRef

#: Largest request body, in bytes.
_BODY_BYTES: Final = 8 * 1024 * 1024

#: How long handlers may go on after the listener closed, in seconds.
_SHUTDOWN_SECONDS: Final = 0.2

#: Ends a JSON line.
_LINE: Final = orjson.OPT_APPEND_NEWLINE

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
        stopped = [task for task in body['tasks'] if self.stand_in.stop(task)]
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


class EndpointServer:
    """A stand-in endpoint on a free loopback port, announced or not."""

    def __init__(self, stand_in: StandIn) -> None:
        self.stand_in = stand_in
        self.url = ''
        self._runner = web.AppRunner(
            EndpointApp(stand_in).build(),
            access_log=None,
            shutdown_timeout=_SHUTDOWN_SECONDS,
        )
        self._announcing: asyncio.Task[None] | None = None

    async def start(self, announce_to: Sequence[str] = ()) -> None:
        """Listen, and announce the endpoint to one of the instances.

        Args:
            announce_to: Base URLs of instances to begin with.
        """
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        _, port = self._runner.addresses[0][:2]
        self.url = f'http://127.0.0.1:{port}'
        if announce_to:
            announcer = Announcer(
                self.stand_in,
                url=self.url,
                instances=announce_to,
            )
            self._announcing = asyncio.create_task(announcer.run())

    async def stop(self) -> None:
        """Stop announcing and listening."""
        if self._announcing is not None:
            self._announcing.cancel()
        await self._runner.cleanup()

    async def drain(self, *, linger: float) -> None:
        """Leave, and return once idle.

        Args:
            linger: How long to refuse starts at least, in seconds, so that
                every instance learns of the leaving before the port closes.
        """
        self.stand_in.leave(now=time.monotonic())
        await asyncio.sleep(linger)
        await self.stand_in.idle.wait()


def parse_serves(text: str) -> tuple[ServiceRef, ...]:
    """Read `member/service,member/service`."""
    references = []
    for part in text.split(','):
        member, service = part.split('/')
        references.append(
            ServiceRef(MemberName(member), ServiceName(service)),
        )
    return tuple(references)


async def serve(arguments: argparse.Namespace) -> None:
    """Run stand-ins until SIGTERM and the end of their tasks."""
    servers = [
        EndpointServer(_stand_in(name, arguments))
        for name in arguments.endpoint.split(',')
    ]
    leaving = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, leaving.set)
    announce_to = arguments.announce_to.split(',')
    await asyncio.gather(*(one.start(announce_to) for one in servers))
    urls = {one.stand_in.options.endpoint: one.url for one in servers}
    sys.stdout.buffer.write(orjson.dumps(urls, option=_LINE))
    sys.stdout.flush()
    await leaving.wait()
    linger = arguments.linger_ms / MILLISECONDS
    await asyncio.gather(*(one.drain(linger=linger) for one in servers))
    await asyncio.gather(*(one.stop() for one in servers))


def _stand_in(name: str, arguments: argparse.Namespace) -> StandIn:
    folder = arguments.start_logs
    stand_in = StandIn(
        StandInOptions(
            endpoint=name,
            zone=arguments.zone,
            serves=parse_serves(arguments.serves),
            slots=arguments.slots,
            connections=arguments.connections,
            seed=arguments.seed,
            start_log=folder and start_log_path(folder, name),
        ),
    )
    stand_in.mode = Mode(**orjson.loads(arguments.mode))
    return stand_in


def main(arguments: Sequence[str] | None = None) -> Any:
    """Read the arguments and run stand-in endpoints."""
    parser = argparse.ArgumentParser(prog='python -m bench.endpoint')
    parser.add_argument('--endpoint', required=True, help='name,name,…')
    parser.add_argument('--zone', required=True)
    parser.add_argument('--serves', default='*/*')
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--connections', type=int, default=64)
    parser.add_argument('--announce-to', required=True)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--mode', default='{}', help='JSON, as PUT /mode')
    parser.add_argument('--linger-ms', type=float, default=3000)
    parser.add_argument('--start-logs', type=Path, help='their folder')
    asyncio.run(serve(parser.parse_args(arguments)))


if __name__ == '__main__':
    main()
