"""A stand-in for the operators' interface of an instance."""

import socket
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.test_utils import TestServer

from cuminstack.client import Problem
from cuminstack.commands import SheetOutcome, SheetReply
from cuminstack.core import (
    EndpointId,
    InstanceId,
    MemberName,
    ServiceName,
    ServiceRef,
    ZoneName,
)
from cuminstack.metrics import Direction, MessageKind, Metrics, WasteCause
from cuminstack.queries import (
    EndpointsView,
    EndpointView,
    InstanceView,
    MembersView,
    MemberView,
    StatusView,
)

ORDERS = ServiceRef(MemberName('tkemali'), ServiceName('order-desk'))
SHEET = b'sheet,7,6\nmember,tkemali,2,128,5000\n'


def make_metrics(name: str) -> Metrics:
    metrics = Metrics(InstanceId(name))
    metrics.record_response(ORDERS, 0.3, ideal=0.25)
    metrics.record_message(MessageKind.start, Direction.sent, size=9)
    metrics.record_waste(WasteCause.resend, member=ORDERS.member)
    return metrics


def bodies_of(name: str) -> dict[str, Any]:
    instance = InstanceId(name)
    zone = ZoneName('telavi')
    member = MemberView(ORDERS.member, 2, services=(ORDERS.service,))
    endpoint = EndpointView(
        EndpointId('e1'),
        1,
        zone,
        'http://127.0.0.1:9000',
        (ORDERS,),
        8,
    )
    return {
        '/v1/status': StatusView(
            instance,
            zone,
            instances=(InstanceView(instance, zone),),
        ),
        '/v1/members': MembersView(instance, 7, (member,)),
        '/v1/endpoints': EndpointsView(instance, (endpoint,)),
        '/v1/histograms': make_metrics(name).snapshot(),
    }


class StandInInstance:
    """Answers operators with fixed bodies, or every request with a problem."""

    def __init__(self, name: str, *, problem: Problem | None = None) -> None:
        self.submitted: list[bytes] = []
        self._bodies = bodies_of(name)
        self._problem = problem
        self._server = TestServer(self._application())

    @property
    def url(self) -> str:
        return str(self._server.make_url('')).rstrip('/')

    async def __aenter__(self) -> 'StandInInstance':
        await self._server.start_server()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._server.close()

    def _application(self) -> web.Application:
        application = web.Application()
        application.router.add_put('/v1/sheet', self._submit)
        application.router.add_get('/{path:.*}', self._get)
        return application

    async def _submit(self, request: web.Request) -> web.Response:
        if self._problem is not None:
            return refuse(self._problem)
        self.submitted.append(await request.read())
        return reply(SheetReply(SheetOutcome.in_force, 7, 'abc'))

    async def _get(self, request: web.Request) -> web.Response:
        if self._problem is not None:
            return refuse(self._problem)
        if request.path == '/v1/sheet':
            return web.Response(body=SHEET, content_type='text/csv')
        return reply(self._bodies[request.path])


def reply(body: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(body))


def refuse(problem: Problem) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(problem),
        status=problem.status,
        content_type='application/problem+json',
    )


def dead_url() -> str:
    """Give an address where nothing listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        host, port = probe.getsockname()
    return f'http://{host}:{port}'
