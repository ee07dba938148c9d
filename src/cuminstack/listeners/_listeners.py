"""Starts the HTTP listeners of a process, and checks their connections."""

import asyncio
import os
from collections.abc import Callable, Mapping
from contextlib import suppress
from functools import partial
from typing import Final

from aiohttp import web

from cuminstack.listeners._http import LimitedConnection
from cuminstack.listeners._limits import (
    REQUESTS,
    ConnectionOptions,
    ListenerShare,
    MachineLimits,
    RequestLimits,
    derive_limits,
    excess_descriptors,
)
from cuminstack.listeners._listener import Listener, accept
from cuminstack.listeners._refusals import DescribeRefusal, no_content
from cuminstack.settings import Address

#: Interval of checks for clients that are waited for too long.
_SWEEP_SECONDS: Final = 0.25
#: Number of these checks between two counts of descriptors, which take 0.2 ms
#: for a thousand of them.
_SWEEPS_PER_COUNT: Final = 4
_DESCRIPTORS: Final = '/proc/self/fd'


def _no_requirements() -> RequestLimits:
    return RequestLimits()


class LimitedSite(web.BaseSite):
    """Accepts the connections of a listener.

    Args:
        runner: Runner of the application.
        listener: Limits the connections.
        address: Address that it listens on.
        describe: Returns the content of refusals.
    """

    __slots__ = ('_listener', '_address', '_describe')

    def __init__(
        self,
        runner: web.AppRunner,
        listener: Listener,
        address: Address,
        describe: DescribeRefusal,
    ) -> None:
        super().__init__(runner)
        self._listener = listener
        self._address = address
        self._describe = describe

    @property
    def name(self) -> str:
        """Address that it listens on."""
        return str(self._address)

    async def start(self) -> None:
        """Start to accept connections."""
        await super().start()
        server = self._runner.server
        assert server is not None
        listener = self._listener
        self._server = await accept(
            self._address,
            partial(
                listener.loop.create_server,
                lambda: LimitedConnection(server, listener, self._describe),
            ),
        )


class Listeners:
    """The listeners of a process.

    Args:
        machine: Limits of the machine.
        options: Limits on clients.
    """

    def __init__(
        self, machine: MachineLimits, options: ConnectionOptions
    ) -> None:
        self._machine = machine
        self._options = options
        self._listeners: list[Listener] = []
        # Those whose limits make way for what the process opens itself.
        self._adjustable: list[Listener] = []
        self._sweeper: asyncio.Task[None] | None = None
        self._sweeps = 0

    @property
    def connections(self) -> Mapping[str, int]:
        """Number of open connections by listener."""
        return {each.name: each.table.connections for each in self._listeners}

    @property
    def used_bytes(self) -> Mapping[str, int]:
        """Estimated memory of unanswered requests, by listener."""
        return {each.name: each.table.used_bytes for each in self._listeners}

    @property
    def closed(self) -> Mapping[str, int]:
        """Number of closed and refused connections by listener and cause."""
        return {
            f'{each.name}_{cause}': count
            for each in self._listeners
            for cause, count in each.table.counts.items()
        }

    def add(
        self,
        name: str,
        share: ListenerShare,
        required: Callable[[], RequestLimits] = _no_requirements,
    ) -> Listener:
        """Return the state of a new listener, whose connections are checked.

        Args:
            name: Name of the listener in logs and metrics.
            share: What it takes of what all clients may use.
            required: Returns what the desired state allows requests.
        """
        limits = derive_limits(self._machine, self._options, share)
        listener = Listener(name, limits, required)
        self._listeners.append(listener)
        if share.connections:
            self._adjustable.append(listener)
        if self._sweeper is None:
            self._sweeper = asyncio.create_task(self._sweep_repeatedly())
        return listener

    async def start(
        self,
        name: str,
        app: web.Application,
        address: Address,
        *,
        share: ListenerShare = REQUESTS,
        cancel_on_disconnect: bool = False,
        shutdown_timeout_seconds: float,
        required: Callable[[], RequestLimits] = _no_requirements,
        describe: DescribeRefusal = no_content,
    ) -> web.AppRunner:
        """Start an HTTP listener.

        Args:
            name: Name of the listener in logs and metrics.
            app: The application that it serves.
            address: Address that it listens on.
            share: What it takes of what all clients may use.
            cancel_on_disconnect: Whether a handler is cancelled when its
                client disconnects.
            shutdown_timeout_seconds: Longest wait for requests in progress
                when the listener closes; it may wait twice as long in total.
            required: Returns what the desired state allows requests.
            describe: Returns the content of refusals.

        Returns:
            The runner, whose `cleanup` closes the listener.

        Raises:
            OSError: The address can't be listened on.
        """
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=cancel_on_disconnect,
            shutdown_timeout=shutdown_timeout_seconds,
        )
        await runner.setup()
        listener = self.add(name, share, required)
        await LimitedSite(runner, listener, address, describe).start()
        return runner

    def stop(self) -> None:
        """Stop to check the connections, after all listeners were closed."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None

    async def _sweep_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            for listener in self._listeners:
                listener.sweep()
            self._sweeps += 1
            if self._sweeps % _SWEEPS_PER_COUNT == 0:
                self._count_descriptors()

    def _count_descriptors(self) -> None:
        # Systems without this folder keep the limits of the settings.
        with suppress(OSError):
            used = len(os.listdir(_DESCRIPTORS))
            excess = excess_descriptors(
                used=used, connections=sum(self.connections.values())
            )
            for listener in self._adjustable:
                listener.table.reserve_descriptors(
                    excess // len(self._adjustable)
                )
