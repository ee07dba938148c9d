"""A stand-in endpoint: runs tasks by sleeping, and misbehaves on request.

`python -m bench.endpoint --endpoint e1 --zone a --serves tkemali/order-desk
--announce-to http://127.0.0.1:8001` prints one JSON line with its URL by its
name once it listens.  Several names run several endpoints in one process.
SIGTERM makes them leave, and the process exit when idle.
"""

import argparse
import asyncio
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import orjson
from aiohttp import web

from bench._announcer import Announcer
from bench._endpoint_app import EndpointApp
from bench._stand_in import (
    MILLISECONDS,
    Mode,
    StandIn,
    StandInOptions,
)
from bench._start_log import start_log_path
from cuminstack.core import MemberName, ServiceName, ServiceRef

#: How long handlers may go on after the listener closed, in seconds.
_SHUTDOWN_SECONDS: Final = 0.2

#: Ends a JSON line.
_LINE: Final = orjson.OPT_APPEND_NEWLINE


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
