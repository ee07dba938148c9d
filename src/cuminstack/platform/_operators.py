"""HTTP API of a control instance, for workers and operators."""

from http import HTTPStatus
from typing import Final

from aiohttp import web

from cuminstack.core import EndpointId, ZoneName
from cuminstack.document import Conflict, EvacuationOrder, Unavailable
from cuminstack.logs import log_event
from cuminstack.platform._desired_state import (
    InvalidState,
    canonical_body,
    decode_state,
)
from cuminstack.platform._workers import BadReport, decode_heartbeat
from cuminstack.roles import ControlRole
from cuminstack.settings import LogLevel

#: Default of the largest accepted desired state, in bytes; one with 1,400
#: routes takes 0.5 MB.
_MAX_STATE_BYTES: Final = 8_388_608


class ControlApi:
    """Receives heartbeats, deregistrations, desired states and evacuations.

    A worker is an endpoint; the URLs of the platform call it an instance.

    Args:
        role: The control role of this process.
        max_state_bytes: Largest accepted desired state, in bytes.
    """

    def __init__(
        self, role: ControlRole, *, max_state_bytes: int = _MAX_STATE_BYTES
    ) -> None:
        self._role = role
        self._max_state_bytes = max_state_bytes

    def make_app(self) -> web.Application:
        """Return the application that serves workers and operators."""
        app = web.Application(client_max_size=self._max_state_bytes)
        app.router.add_post('/api/Instances.Heartbeat/{id}', self._heartbeat)
        app.router.add_post('/api/Instances.Deregister/{id}', self._deregister)
        app.router.add_post('/api/Config.Replace', self._replace_state)
        app.router.add_get('/api/Config.Read', self._read_state)
        app.router.add_post(
            '/api/Evacuation.Start/{zone}', self._start_evacuation
        )
        app.router.add_post(
            '/api/Evacuation.Finish/{zone}', self._finish_evacuation
        )
        return app

    async def _heartbeat(self, request: web.Request) -> web.Response:
        worker = request.match_info['id']
        body = await request.read()
        try:
            report = decode_heartbeat(worker, body)
        except BadReport as error:
            log_event(
                'worker.bad_heartbeat',
                LogLevel.warning,
                worker=worker,
                error=error,
            )
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        self._role.observe(report)
        return web.json_response({})

    async def _deregister(self, request: web.Request) -> web.Response:
        worker = request.match_info['id']
        log_event('worker.left', LogLevel.info, worker=worker)
        self._role.endpoint_left(EndpointId(worker))
        return web.json_response({})

    async def _replace_state(self, request: web.Request) -> web.Response:
        try:
            body = canonical_body(await request.read())
            version = decode_state(body).version
        except InvalidState as error:
            log_event('desired_state.invalid', LogLevel.warning, error=error)
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        outcome = await self._role.submit(version, body)
        log_event(
            'desired_state.submitted',
            LogLevel.info,
            version=version,
            outcome=type(outcome).__name__,
        )
        if isinstance(outcome, Conflict):
            return web.Response(status=HTTPStatus.CONFLICT)
        if isinstance(outcome, Unavailable):
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return web.json_response({})

    async def _read_state(self, request: web.Request) -> web.Response:
        outcome = await self._role.read()
        # Version 0: no desired state has been submitted yet.
        if isinstance(outcome, Unavailable) or not outcome.value.version:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return web.Response(
            body=outcome.value.body,
            content_type='application/json',
        )

    async def _start_evacuation(self, request: web.Request) -> web.Response:
        return await self._order_evacuation(request, starts=True)

    async def _finish_evacuation(self, request: web.Request) -> web.Response:
        return await self._order_evacuation(request, starts=False)

    async def _order_evacuation(
        self, request: web.Request, *, starts: bool
    ) -> web.Response:
        zone = ZoneName(request.match_info['zone'])
        outcome = await self._role.order_evacuation(
            EvacuationOrder(zone, starts=starts)
        )
        is_unknown = outcome is None
        log_event(
            'evacuation.ordered',
            LogLevel.warning if is_unknown else LogLevel.info,
            zone=zone,
            starts=starts,
            outcome='UnknownZone' if is_unknown else type(outcome).__name__,
        )
        if is_unknown:
            return web.Response(status=HTTPStatus.BAD_REQUEST)
        if isinstance(outcome, Unavailable):
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return web.json_response({})
