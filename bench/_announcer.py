"""Keeps an endpoint announced at the instance that asks for it."""

import asyncio
from collections.abc import Sequence
from typing import Any, Final

import aiohttp

from bench._stand_in import MILLISECONDS, StandIn

#: How long an instance may take to answer an announcement.
_ANSWER_SECONDS: Final = 1.0

#: Pause after an announcement that no instance answered.
_RETRY_SECONDS: Final = 0.2

_FAILURES: Final = (aiohttp.ClientError, TimeoutError, ValueError, KeyError)


class Announcer:
    """Announces a stand-in: follows `announce_to`, else tries its list."""

    def __init__(
        self,
        stand_in: StandIn,
        *,
        url: str,
        instances: Sequence[str],
    ) -> None:
        self._stand_in = stand_in
        self._url = url
        self._instances = tuple(instances)
        self._target = self._instances[0]
        self._failures = 0
        self._announced = False

    @property
    def announced(self) -> bool:
        """Tell whether any instance has answered an announcement."""
        return self._announced

    async def run(self) -> None:
        """Announce until cancelled."""
        timeout = aiohttp.ClientTimeout(total=_ANSWER_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                pause = await self._announce(session)
                await self._wait(pause)

    async def _announce(self, session: aiohttp.ClientSession) -> float:
        try:
            reply = await self._put(session)
        except _FAILURES:
            return self._fall_back()
        self._announced = True
        self._target = reply['announce_to']
        return float(reply['announce_in_ms']) / MILLISECONDS

    async def _put(self, session: aiohttp.ClientSession) -> dict[str, Any]:
        body = {**self._stand_in.announcement, 'url': self._url}
        endpoint = self._stand_in.options.endpoint
        async with session.put(
            f'{self._target}/v1/endpoints/{endpoint}',
            json=body,
        ) as response:
            response.raise_for_status()
            reply: dict[str, Any] = await response.json()
            return reply

    def _fall_back(self) -> float:
        self._target = self._instances[self._failures % len(self._instances)]
        self._failures += 1
        return _RETRY_SECONDS

    async def _wait(self, pause: float) -> None:
        changed = self._stand_in.state_changed
        try:
            async with asyncio.timeout(pause):
                await changed.wait()
        except TimeoutError:
            return
        changed.clear()
