"""Fake instance that serves the operator API."""

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

ORDER_DESK = ServiceRef(MemberName('tkemali'), ServiceName('order-desk'))
SHEET = b'sheet,7,6\nmember,tkemali,2,128,5000\n'


def make_metrics(name: str) -> Metrics:
    metrics = Metrics(InstanceId(name))
    metrics.record_response(ORDER_DESK, 0.3, ideal=0.25)
    metrics.record_message(MessageKind.start, Direction.sent, size=9)
    metrics.record_waste(WasteCause.resend, member=ORDER_DESK.member)
    return metrics


def response_bodies(name: str) -> dict[str, Any]:
    instance = InstanceId(name)
    zone = ZoneName('telavi')
    member = MemberView(ORDER_DESK.member, 2, services=(ORDER_DESK.service,))
    endpoint = EndpointView(
        EndpointId('e1'),
        1,
        zone,
        'http://127.0.0.1:9000',
        (ORDER_DESK,),
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


class FakeInstance:
    """HTTP server of the operator API with fixed responses.

    Args:
        name: Name of the instance in the responses.
        problem: If given, every request is refused with this problem.
    """

    def __init__(self, name: str, *, problem: Problem | None = None) -> None:
        self.submitted: list[bytes] = []
        self._bodies = response_bodies(name)
        self._problem = problem
        self._server = TestServer(self._application())

    @property
    def url(self) -> str:
        return str(self._server.make_url('')).rstrip('/')

    async def __aenter__(self) -> 'FakeInstance':
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
            return make_problem_response(self._problem)
        self.submitted.append(await request.read())
        return make_json_response(SheetReply(SheetOutcome.in_force, 7, 'abc'))

    async def _get(self, request: web.Request) -> web.Response:
        if self._problem is not None:
            return make_problem_response(self._problem)
        if request.path == '/v1/sheet':
            return web.Response(body=SHEET, content_type='text/csv')
        return make_json_response(self._bodies[request.path])


def make_json_response(body: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(body))


def make_problem_response(problem: Problem) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(problem),
        status=problem.status,
        content_type='application/problem+json',
    )


def unreachable_url() -> str:
    """Return the URL of a local port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        host, port = probe.getsockname()
    return f'http://{host}:{port}'
