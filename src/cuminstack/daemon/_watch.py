"""Looks after attempts whose connections may have gone silent."""

import asyncio
from typing import Final, Protocol

import aiohttp

from cuminstack.core import EndpointRecord
from cuminstack.daemon._endpoint_replies import AttemptEnd, BadStateReply
from cuminstack.jobs import AttemptOutcome, SendStart

#: Questions in a row without an answer after which an attempt is unknown.
MAX_UNANSWERED: Final = 3

#: Longest pause between two questions about one attempt, in seconds.
LONGEST_PAUSE_SECONDS: Final = 10.0

#: What a question without an answer raises.
NO_ANSWER: Final = (
    aiohttp.ClientError,
    BadStateReply,
    OSError,
    TimeoutError,
)


class Asker(Protocol):
    """Asks endpoints for attempts."""

    async def ask(
        self,
        sent: SendStart,
        record: EndpointRecord,
    ) -> AttemptEnd | None:
        """Ask for an attempt on a new connection; none while it runs."""


class Watch:
    """Looks after one attempt whose connection may have gone silent."""

    def __init__(
        self,
        asker: Asker,
        sent: SendStart,
        record: EndpointRecord,
    ) -> None:
        self._asker = asker
        self._sent = sent
        self._record = record
        self._timer: asyncio.TimerHandle | None = None
        self._asking: asyncio.Task[None] | None = None
        self._unanswered = 0
        self.recovered: AttemptEnd | None = None

    def begin(self, request: 'asyncio.Task[None]', pause: float) -> None:
        """Ask after the attempt once it has taken `pause` seconds."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause, self._ask_soon, request, pause)

    def end(self) -> None:
        """Ask no more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._asking is not None:
            self._asking.cancel()

    def _ask_soon(self, request: 'asyncio.Task[None]', pause: float) -> None:
        self._asking = asyncio.ensure_future(self._ask(request, pause))

    async def _ask(
        self,
        request: 'asyncio.Task[None]',
        pause: float,
    ) -> None:
        try:
            ended = await self._asker.ask(self._sent, self._record)
        except NO_ANSWER:
            ended = self._count_unanswered()
        else:
            self._unanswered = 0
        if ended is None:
            self.begin(request, min(pause * 2, LONGEST_PAUSE_SECONDS))
            return
        self._asking = None
        self.recovered = ended
        request.cancel()

    def _count_unanswered(self) -> AttemptEnd | None:
        self._unanswered += 1
        if self._unanswered < MAX_UNANSWERED:
            return None
        return AttemptEnd(AttemptOutcome.unknown)
