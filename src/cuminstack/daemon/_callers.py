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
from cuminstack.daemon._hang_ups import HangUps
from cuminstack.daemon._middleware import errors_as_problems
from cuminstack.daemon._problems import (
    KEY_HEADER,
    BadRequest,
    json_response,
    outcome_response,
)
from cuminstack.daemon._shapes import JobStateBody
from cuminstack.settings import LimitSettings

#: Pause between two looks for callers that hung up, in seconds.
_SWEEP_SECONDS: Final = 1.0

#: How often, and with what pause in seconds, a cancelled job is looked up.
_CANCEL_LOOKS: Final = 10
_CANCEL_LOOK_SECONDS: Final = 0.05

_JOB_PATH: Final = '/v1/members/{member}/jobs/{key}'


class CallerInterface:
    """Takes jobs of callers, and holds each to its outcome.

    Args:
        driver: Runs the node.
        limits: Bounds on what a caller may send.
    """

    def __init__(self, driver: Driver, limits: LimitSettings) -> None:
        self._driver = driver
        self._limits = limits
        self._hang_ups = HangUps(grace=limits.resend_grace_seconds)

    def application(self) -> web.Application:
        """Build the routes."""
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
        """Give up the jobs of callers that hung up, until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            for job in self._hang_ups.sweep(now=self._driver.now):
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
        self._hang_ups.connected(job.job, request)
        outcome = await waiter
        self._hang_ups.ended(job.job)
        return outcome_response(job.job, outcome)

    async def _get(self, request: web.Request) -> web.Response:
        job = _job_of(request)
        kept = self._driver.node.jobs.ended(job)
        if kept is not None:
            return outcome_response(job, kept.outcome)
        if self._driver.node.knows(job):
            return _running_response(job)
        found = await self._driver.look_up(job)
        if found.outcome is not None:
            return outcome_response(job, found.outcome)
        if found.running:
            return _running_response(job)
        # An instance that was not reached may know of it, or have.
        raise BadRequest(HTTPStatus.NOT_FOUND, 'unknown-job', not_run=False)

    async def _cancel(self, request: web.Request) -> web.Response:
        job = _job_of(request)
        if self._driver.node.knows(job):
            waiter = self._driver.attach(job)
            self._driver.cancel(job)
            return outcome_response(job, await waiter)
        self._driver.cancel(job)
        for _ in range(_CANCEL_LOOKS):
            found = await self._driver.look_up(job)
            if found.outcome is not None or not found.running:
                break
            await asyncio.sleep(_CANCEL_LOOK_SECONDS)
        return await self._get(request)


def _running_response(job: JobId) -> web.Response:
    running = JobStateBody(key=job.key, outcome='running')
    return json_response(running, HTTPStatus.ACCEPTED)


def _job_of(request: web.Request) -> JobId:
    member = request.match_info['member']
    key = request.match_info['key']
    for place, text in (('member', member), ('key', key)):
        if not is_name(text):
            raise BadRequest(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'invalid-field',
                field=place,
            )
    return JobId(MemberName(member), JobKey(key))
