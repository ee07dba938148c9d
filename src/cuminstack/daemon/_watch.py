"""Detects attempts whose connections have gone silent."""

import asyncio
from typing import Final, Protocol

import aiohttp

from cuminstack.core import EndpointRecord
from cuminstack.daemon._endpoint_replies import AttemptEnd, BadStateReply
from cuminstack.jobs import AttemptOutcome, SendStart

#: Consecutive failed queries after which the outcome is unknown.
MAX_FAILED_QUERIES: Final = 3

#: Maximum interval between two queries of one attempt, in seconds.
MAX_QUERY_INTERVAL_SECONDS: Final = 10.0

#: Exceptions of a request without a usable reply.
REQUEST_ERRORS: Final = (
    aiohttp.ClientError,
    BadStateReply,
    OSError,
    TimeoutError,
)


class AttemptQuerier(Protocol):
    """Queries endpoints for the state of attempts."""

    async def query_attempt(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd | None:
        """Query an attempt on a new connection; None while it runs."""


class AttemptWatchdog:
    """Queries an attempt that exceeds its expected time.

    Once the attempt is known to have ended, or too many queries failed, the
    result is stored in `recovered` and the request is cancelled.
    """

    def __init__(
        self,
        querier: AttemptQuerier,
        sent: SendStart,
        record: EndpointRecord,
    ) -> None:
        self._querier = querier
        self._sent = sent
        self._record = record
        self._timer: asyncio.TimerHandle | None = None
        self._running_query: asyncio.Task[None] | None = None
        self._failed_queries = 0
        self.recovered: AttemptEnd | None = None

    def schedule(self, request: 'asyncio.Task[None]', delay: float) -> None:
        """Schedule a query of the attempt in `delay` seconds."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._start_query, request, delay)

    def stop(self) -> None:
        """Cancel all further queries."""
        if self._timer is not None:
            self._timer.cancel()
        if self._running_query is not None:
            self._running_query.cancel()

    def _start_query(self, request: 'asyncio.Task[None]', delay: float) -> None:
        self._running_query = asyncio.ensure_future(self._query(request, delay))

    async def _query(
        self,
        request: 'asyncio.Task[None]',
        delay: float,
    ) -> None:
        try:
            ended = await self._querier.query_attempt(self._sent, self._record)
        except REQUEST_ERRORS:
            ended = self._count_failed_query()
        else:
            self._failed_queries = 0
        if ended is None:
            self.schedule(request, min(delay * 2, MAX_QUERY_INTERVAL_SECONDS))
            return
        self._running_query = None
        self.recovered = ended
        request.cancel()

    def _count_failed_query(self) -> AttemptEnd | None:
        self._failed_queries += 1
        if self._failed_queries < MAX_FAILED_QUERIES:
            return None
        return AttemptEnd(AttemptOutcome.unknown)
