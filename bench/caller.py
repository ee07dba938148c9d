"""A caller of cuminstack, as the load generator and the tests need one."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

import aiohttp
import orjson

from bench.oracle import OutcomeKind, Told

_LOST: Final = (aiohttp.ClientError, TimeoutError, ValueError)
_ACCEPTED: Final = 202

#: Pause between two questions for an outcome, in seconds.
_AGAIN_SECONDS: Final = 0.05

#: Kinds of outcome by what a problem says in `not_run`.
_PROBLEM_KINDS: Final[Mapping[Any, OutcomeKind]] = MappingProxyType(
    {True: OutcomeKind.refused, False: OutcomeKind.failed},
)


@dataclass(frozen=True, slots=True)
class Reply:
    """What came back for a submission or a question for its outcome.

    Args:
        status: HTTP status; 0 if no response came.
        body: The JSON body, if there was one.
        key: The idempotency key of the response, or else of the request.
        retry_after: The header `Retry-After`, or empty.
    """

    status: int
    body: Mapping[str, Any]
    key: str = ''
    retry_after: str = ''

    @property
    def kind(self) -> OutcomeKind:
        """Give the kind of outcome."""
        if self.body.get('outcome') == OutcomeKind.complete.value:
            return OutcomeKind.complete
        return _PROBLEM_KINDS.get(
            self.body.get('not_run'),
            OutcomeKind.unanswered,
        )

    @property
    def failed(self) -> bool:
        """Tell whether there are no answers."""
        return self.kind is not OutcomeKind.complete

    @property
    def answers(self) -> Sequence[Any]:
        """Give the answers; none unless the outcome is *complete*."""
        answers: Sequence[Any] = self.body.get('answers', ())
        return answers

    @property
    def problem(self) -> str:
        """Give the last part of the problem's type, or an empty text."""
        return str(self.body.get('type', '')).rpartition(':')[2]


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """A job as a caller submits it.

    Args:
        member: The member.
        service: One of its services.
        key: The idempotency key; minted by the instance if empty.
        run_ms: Run time of each task, in milliseconds.
        idempotent: Whether it may run more than once.
        deadline_ms: Time until the outcome, if bounded.
    """

    member: str = 'tkemali'
    service: str = 'order-desk'
    key: str = ''
    run_ms: tuple[float, ...] = (1,)
    idempotent: bool = True
    deadline_ms: int | None = None

    @property
    def body(self) -> dict[str, Any]:
        """Give the request's body."""
        body: dict[str, Any] = {
            'tasks': [
                {'payload': self._payload(index), 'expected_ms': run_ms}
                for index, run_ms in enumerate(self.run_ms)
            ],
            'idempotent': self.idempotent,
        }
        if self.deadline_ms is not None:
            body['deadline_ms'] = self.deadline_ms
        return body

    def told(self, reply: Reply) -> Told:
        """Compare a reply with what was asked for."""
        echoes = [answer['echo'] for answer in reply.answers]
        expected = []
        if reply.kind is OutcomeKind.complete:
            expected = [self._echo(index) for index in range(len(self.run_ms))]
        return Told(
            member=self.member,
            key=reply.key or self.key,
            tasks=len(self.run_ms),
            kind=reply.kind,
            whole=echoes == expected,
        )

    def _payload(self, index: int) -> dict[str, Any]:
        return {
            'run_ms': self.run_ms[index],
            'echo': self._echo(index),
            'tag': self.key,
        }

    def _echo(self, index: int) -> str:
        return f'{self.member}/{self.key}/{index}'


class Caller:
    """Submits jobs and asks for outcomes over HTTP."""

    def __init__(self, http: aiohttp.ClientSession) -> None:
        self._http = http

    async def submit(self, url: str, job: Submission) -> Reply:
        """Submit a job at an instance and wait for its outcome."""
        path = f'/v1/members/{job.member}/services/{job.service}/jobs'
        headers = {'Idempotency-Key': job.key} if job.key else {}
        request = self._http.post(
            url + path,
            data=orjson.dumps(job.body),
            headers={**headers, 'Content-Type': 'application/json'},
        )
        return await self._reply(request, job.key)

    async def outcome(self, url: str, job: Submission) -> Reply:
        """Ask an instance for the outcome of a job."""
        request = self._http.get(url + _job_path(job))
        return await self._reply(request, job.key)

    async def settled(self, url: str, job: Submission) -> Reply:
        """Ask an instance for the outcome until there is one."""
        reply = await self.outcome(url, job)
        while reply.status == _ACCEPTED:
            await asyncio.sleep(_AGAIN_SECONDS)
            reply = await self.outcome(url, job)
        return reply

    async def cancel(self, url: str, job: Submission) -> Reply:
        """Cancel a job."""
        request = self._http.delete(url + _job_path(job))
        return await self._reply(request, job.key)

    async def _reply(self, request: Any, key: str) -> Reply:
        try:
            async with request as response:
                return await _read(response, key)
        except _LOST:
            return Reply(0, {}, key)


def _job_path(job: Submission) -> str:
    return f'/v1/members/{job.member}/jobs/{job.key}'


async def _read(response: aiohttp.ClientResponse, key: str) -> Reply:
    text = await response.read()
    body = orjson.loads(text) if text else {}
    return Reply(
        response.status,
        body if isinstance(body, dict) else {},
        key=str(body.get('key', key)),
        retry_after=response.headers.get('Retry-After', ''),
    )
