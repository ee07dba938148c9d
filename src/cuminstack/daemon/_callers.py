"""The HTTP interface for callers."""

import asyncio
from http import HTTPStatus
from typing import Final

from aiohttp import web

from cuminstack.core import (
    JobId,
    JobKey,
    MemberName,
    ServiceName,
    ServiceRef,
    is_name,
)
from cuminstack.daemon._bodies import read_job
from cuminstack.daemon._driver import Driver
from cuminstack.daemon._hang_ups import DisconnectTracker
from cuminstack.daemon._middleware import errors_as_problems
from cuminstack.daemon._problems import (
    KEY_HEADER,
    BadRequest,
    json_response,
    outcome_response,
)
from cuminstack.daemon._shapes import JobStateBody
from cuminstack.settings import LimitSettings

#: Interval between two checks for disconnected callers, in seconds.
_SWEEP_INTERVAL_SECONDS: Final = 1.0

#: Number of lookups of a cancelled job, and the interval in seconds.
_CANCEL_LOOKUP_COUNT: Final = 10
_CANCEL_LOOKUP_INTERVAL_SECONDS: Final = 0.05

_JOB_PATH: Final = '/v1/members/{member}/jobs/{key}'


class CallerInterface:
    """HTTP handlers that accept, look up and cancel jobs.

    The response to a submission is sent once the job has its outcome.

    Args:
        driver: Driver of the node.
        limits: Limits on requests of callers.
    """

    def __init__(self, driver: Driver, limits: LimitSettings) -> None:
        self._driver = driver
        self._limits = limits
        self._disconnects = DisconnectTracker(grace=limits.resend_grace_seconds)

    def application(self) -> web.Application:
        """Build the web application with its routes."""
        application = web.Application(
            client_max_size=self._limits.max_body_bytes,
            middlewares=[errors_as_problems],
        )
        application.router.add_post(
            '/v1/members/{member}/services/{service}/jobs',
            self._submit,
        )
        application.router.add_get(_JOB_PATH, self._get)
        application.router.add_delete(_JOB_PATH, self._cancel)
        return application

    async def run(self) -> None:
        """Abandon jobs of disconnected callers, until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
            for job in self._disconnects.sweep(now=self._driver.now):
                self._driver.abandon(job)

    async def _submit(self, request: web.Request) -> web.Response:
        service = ServiceRef(
            MemberName(request.match_info['member']),
            ServiceName(request.match_info['service']),
        )
        raw = await request.read()
        job = read_job(
            raw,
            service=service,
            key=request.headers.get(KEY_HEADER),
            own=self._driver.node.own.instance,
            limits=self._limits,
        )
        waiter = self._driver.submit(job)
        self._disconnects.add_caller(job.job, request)
        outcome = await waiter
        self._disconnects.forget(job.job)
        return outcome_response(job.job, outcome)

    async def _get(self, request: web.Request) -> web.Response:
        job = _job_id_from_path(request)
        ended_job = self._driver.node.jobs.ended(job)
        if ended_job is not None:
            return outcome_response(job, ended_job.outcome)
        if self._driver.node.knows(job):
            return _running_response(job)
        found = await self._driver.look_up(job)
        if found.outcome is not None:
            return outcome_response(job, found.outcome)
        if found.running:
            return _running_response(job)
        # An unreachable instance may know the job or may have run it, so
        # the problem must not claim that nothing was started.
        raise BadRequest(HTTPStatus.NOT_FOUND, 'unknown-job', not_run=False)

    async def _cancel(self, request: web.Request) -> web.Response:
        job = _job_id_from_path(request)
        if self._driver.node.knows(job):
            waiter = self._driver.attach(job)
            self._driver.cancel(job)
            return outcome_response(job, await waiter)
        self._driver.cancel(job)
        for _ in range(_CANCEL_LOOKUP_COUNT):
            found = await self._driver.look_up(job)
            if found.outcome is not None or not found.running:
                break
            await asyncio.sleep(_CANCEL_LOOKUP_INTERVAL_SECONDS)
        return await self._get(request)


def _running_response(job: JobId) -> web.Response:
    running = JobStateBody(key=job.key, outcome='running')
    return json_response(running, HTTPStatus.ACCEPTED)


def _job_id_from_path(request: web.Request) -> JobId:
    member = request.match_info['member']
    key = request.match_info['key']
    for field_name, text in (('member', member), ('key', key)):
        if not is_name(text):
            raise BadRequest(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'invalid-field',
                field=field_name,
            )
    return JobId(MemberName(member), JobKey(key))
