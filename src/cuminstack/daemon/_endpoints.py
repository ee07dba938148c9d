"""The HTTP interface for endpoints and operators."""

from http import HTTPStatus

from aiohttp import web

from cuminstack.daemon._bodies import read_announcement
from cuminstack.daemon._driver import Driver
from cuminstack.daemon._middleware import errors_as_problems
from cuminstack.daemon._problems import BadRequest, json_response
from cuminstack.daemon._shapes import AnnounceBody, ReadyBody
from cuminstack.daemon._sheet_replies import faults_response, sheet_response
from cuminstack.daemon._sheets import SheetCoordinator
from cuminstack.daemon._views import Views
from cuminstack.settings import Settings
from cuminstack.sheet import SheetFaults
from cuminstack.sheet import parse as parse_sheet


class EndpointInterface:
    """HTTP handlers for announcements, sheets and status queries.

    Args:
        driver: Driver of the node.
        sheets: Submits sheets.
        views: Builds the responses to status queries.
        settings: Provides the limit on body sizes, and the announcement
            interval and lease duration that endpoints receive.
    """

    def __init__(
        self,
        driver: Driver,
        sheets: SheetCoordinator,
        views: Views,
        settings: Settings,
    ) -> None:
        self._driver = driver
        self._sheets = sheets
        self._limits = settings.limits
        self._timeouts = settings.timeouts
        self._views = views
        self._is_ready = True

    def application(self) -> web.Application:
        """Build the web application with its routes."""
        application = web.Application(
            client_max_size=self._limits.max_sheet_bytes,
            middlewares=[errors_as_problems],
        )
        application.router.add_put(
            '/v1/endpoints/{endpoint}',
            self._announce,
        )
        application.router.add_get('/v1/ready', self._get_ready)
        application.router.add_get('/v1/histograms', self._get_histograms)
        application.router.add_get('/v1/status', self._get_status)
        application.router.add_get('/v1/members', self._get_members)
        application.router.add_get('/v1/endpoints', self._get_endpoints)
        application.router.add_get('/v1/sheet', self._get_sheet)
        application.router.add_put('/v1/sheet', self._put_sheet)
        return application

    def stop_accepting(self) -> None:
        """Report not ready, so that new jobs are routed elsewhere."""
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

    async def _put_sheet(self, request: web.Request) -> web.Response:
        sheet = parse_sheet(await request.read())
        if isinstance(sheet, SheetFaults):
            return faults_response(sheet)
        return sheet_response(await self._sheets.submit(sheet))

    async def _get_sheet(self, _: web.Request) -> web.Response:
        sheet = self._driver.node.sheets.sheet
        if not sheet.version:
            raise BadRequest(HTTPStatus.NOT_FOUND, 'no-sheet')
        return web.Response(body=sheet.canonical, content_type='text/csv')

    async def _get_status(self, _: web.Request) -> web.Response:
        return json_response(self._views.status(ready=self._is_ready))

    async def _get_members(self, _: web.Request) -> web.Response:
        return json_response(self._views.members())

    async def _get_endpoints(self, _: web.Request) -> web.Response:
        return json_response(self._views.endpoints())

    async def _get_histograms(self, _: web.Request) -> web.Response:
        return json_response(self._driver.snapshot())

    async def _get_ready(self, _: web.Request) -> web.Response:
        is_known = self._driver.node.sheets.is_known(now=self._driver.now)
        is_ready = self._is_ready and is_known
        status = HTTPStatus.OK
        if not is_ready:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        own = self._driver.node.own.instance
        return json_response(ReadyBody(is_ready, own), status)
