"""The HTTP interface for endpoints and operators."""

from http import HTTPStatus

from aiohttp import web

from cuminstack.daemon._bodies import read_announcement
from cuminstack.daemon._driver import Driver
from cuminstack.daemon._middleware import errors_as_problems
from cuminstack.daemon._problems import BadRequest, json_response
from cuminstack.daemon._shapes import AnnounceBody, ReadyBody
from cuminstack.settings import LimitSettings, TimeoutSettings


class EndpointInterface:
    """Takes announcements, and tells how this instance does.

    Args:
        driver: Runs the node.
        limits: Bounds on bodies.
        timeouts: What endpoints are told to keep to.
    """

    def __init__(
        self,
        driver: Driver,
        *,
        limits: LimitSettings,
        timeouts: TimeoutSettings,
    ) -> None:
        self._driver = driver
        self._limits = limits
        self._timeouts = timeouts
        self._is_ready = True

    def application(self) -> web.Application:
        """Build the routes."""
        application = web.Application(
            client_max_size=self._limits.max_sheet_bytes,
            middlewares=[errors_as_problems],
        )
        application.router.add_put(
            '/v1/endpoints/{endpoint}',
            self._announce,
        )
        application.router.add_get('/v1/ready', self._ready)
        application.router.add_get('/v1/histograms', self._histograms)
        return application

    def stop_accepting(self) -> None:
        """Tell the platform that new jobs belong elsewhere."""
        self._is_ready = False

    async def _announce(self, request: web.Request) -> web.Response:
        endpoint = request.match_info['endpoint']
        record = read_announcement(endpoint, await request.read())
        reply = self._driver.announce(record)
        if reply.owner is None:
            raise BadRequest(
                HTTPStatus.CONFLICT,
                'outdated-incarnation',
                field='incarnation',
            )
        address = reply.owner.endpoint_address
        body = AnnounceBody(
            announce_to=f'http://{address}',
            announce_in_ms=self._timeouts.announce_ms,
            lease_ms=self._timeouts.endpoint_lease_ms,
        )
        return json_response(body)

    async def _histograms(self, _: web.Request) -> web.Response:
        return json_response(self._driver.observer.snapshot())

    async def _ready(self, _: web.Request) -> web.Response:
        status = HTTPStatus.OK
        if not self._is_ready:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        own = self._driver.node.own.instance
        return json_response(ReadyBody(self._is_ready, own), status)
