"""The application object, which opens and closes all components in order."""

import asyncio
import signal
from collections.abc import Callable, Coroutine, Iterable
from contextlib import AsyncExitStack, suppress
from functools import partial
from typing import Any, Final

from aiohttp import web

from cuminstack.daemon._assembly import make_node
from cuminstack.daemon._callers import CallerInterface
from cuminstack.daemon._driver import Driver, log_rejected
from cuminstack.daemon._endpoints import EndpointInterface
from cuminstack.daemon._observer import Observer
from cuminstack.daemon._problems import describe_refusal
from cuminstack.daemon._sender import TaskSender
from cuminstack.daemon._sheets import SheetCoordinator
from cuminstack.daemon._views import Views
from cuminstack.links import Hello, PeerLink, PeerListener
from cuminstack.listeners import (
    CALLERS,
    ENDPOINTS,
    ConnectionOptions,
    Listeners,
    ListenerShare,
    MachineLimits,
    physical_memory_mb,
    process_descriptors,
)
from cuminstack.logs import LogOutput
from cuminstack.settings import Address, LimitSettings, Settings
from cuminstack.store import DurableFile

Hook = Callable[[], None]

_MS_PER_SECOND: Final = 1000
_NS_PER_MS: Final = 1_000_000

#: Longest wait for the responses to the last requests at shutdown, in seconds.
_SHUTDOWN_TIMEOUT_SECONDS: Final = 60

#: Time allowed at shutdown to send and log the last outcomes, in seconds.
_FLUSH_SECONDS: Final = 0.2


class Application:
    """One instance of the daemon.

    Args:
        settings: Settings of the instance.
        output: Destination of its log lines.
    """

    def __init__(self, settings: Settings, output: LogOutput) -> None:
        self._settings = settings
        self._output = output
        self._stack = AsyncExitStack()
        self._stopping = asyncio.Event()
        self._listeners = _make_listeners(settings.limits)
        self._on_ready: list[Hook] = []
        self._on_drain: list[Hook] = []

    def on_ready(self, hook: Hook) -> None:
        """Register a hook to call once all listeners are open."""
        self._on_ready.append(hook)

    def on_drain(self, hook: Hook) -> None:
        """Register a hook to call when a shutdown begins."""
        self._on_drain.append(hook)

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stopping.set()

    async def run(self) -> None:
        """Run the instance until its shutdown is complete."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        async with self._stack:
            self._stack.callback(self._listeners.stop)
            driver = await self._open()
            _run_hooks(self._on_ready)
            await self._stopping.wait()
            _run_hooks(self._on_drain)
            await self._drain(driver)

    async def _open(self) -> Driver:
        folder = self._settings.instance.data_folder
        store = None if folder is None else DurableFile(folder)
        now = asyncio.get_running_loop().time()
        node = make_node(self._settings, store, now=now)
        driver = Driver(
            node,
            Observer(node.own.instance),
            tick_seconds=self._settings.timeouts.tick_ms / _MS_PER_SECOND,
        )
        await self._open_sender(driver)
        await self._open_peers(driver)
        await self._open_interfaces(driver, SheetCoordinator(driver, store))
        driver.start()
        self._run_in_background(driver.run())
        return driver

    async def _open_sender(self, driver: Driver) -> None:
        sender = TaskSender(
            driver.attempt_finished,
            timeouts=self._settings.timeouts,
            max_answer_bytes=self._settings.limits.max_answer_bytes,
        )
        await sender.open()
        self._stack.push_async_callback(sender.close)
        own = driver.node.own
        hello = Hello(own.instance, own.incarnation)
        max_retry_seconds = (
            self._settings.timeouts.link_retry_ms / _MS_PER_SECOND
        )
        links = {
            peer.name: PeerLink(
                peer.peer_address,
                hello,
                max_retry_seconds=max_retry_seconds,
                on_refused=partial(driver.link_lost, peer.name),
            )
            for peer in self._settings.other_peers
        }
        for link in links.values():
            self._run_in_background(link.run())
        driver.connect(sender, links)

    async def _open_peers(self, driver: Driver) -> None:
        if self._settings.is_standalone:
            return
        listener = PeerListener(
            frozenset(peer.name for peer in self._settings.other_peers),
            receive=driver.receive,
            reject=log_rejected,
            listeners=self._listeners,
        )
        await listener.start(self._settings.listen.peers)
        self._stack.push_async_callback(listener.stop)

    async def _open_interfaces(
        self,
        driver: Driver,
        sheets: SheetCoordinator,
    ) -> None:
        endpoints = EndpointInterface(
            driver,
            sheets,
            Views(driver, self._settings, self._output),
            self._settings,
        )
        callers = CallerInterface(driver, self._settings.limits)
        self.on_drain(endpoints.stop_accepting)
        self.on_drain(driver.drain)
        self._run_in_background(callers.run())
        listen = self._settings.listen
        await self._serve(
            'endpoints', endpoints.application(), listen.endpoints, ENDPOINTS
        )
        await self._serve(
            'callers', callers.application(), listen.callers, CALLERS
        )

    async def _serve(
        self,
        name: str,
        application: web.Application,
        address: Address,
        share: ListenerShare,
    ) -> None:
        runner = await self._listeners.start(
            name,
            application,
            address,
            share=share,
            shutdown_timeout_seconds=_SHUTDOWN_TIMEOUT_SECONDS,
            describe=describe_refusal,
        )
        self._stack.push_async_callback(runner.cleanup)

    async def _drain(self, driver: Driver) -> None:
        """Wait up to `drain_seconds` for the jobs in progress to end.

        Callers of the remaining jobs receive an outcome that says so.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(self._settings.limits.drain_seconds):
                await driver.wait_idle()
        driver.shut_down()
        # Responses with the latest outcomes may not have been sent yet.
        await asyncio.sleep(_FLUSH_SECONDS)

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        running = asyncio.ensure_future(work)
        self._stack.push_async_callback(_cancel, running)


def _make_listeners(limits: LimitSettings) -> Listeners:
    allowed = process_descriptors()
    machine = MachineLimits(
        memory_mb=limits.memory_mb or physical_memory_mb(),
        descriptors=min(limits.max_descriptors or allowed, allowed),
    )
    options = ConnectionOptions(
        header_bytes=limits.max_header_bytes,
        header_seconds=limits.header_timeout_ms / _MS_PER_SECOND,
        body_seconds=limits.body_timeout_ms / _MS_PER_SECOND,
    )
    return Listeners(machine, options)


def _run_hooks(hooks: Iterable[Hook]) -> None:
    for hook in hooks:
        hook()


async def _cancel(running: 'asyncio.Future[None]') -> None:
    running.cancel()
    with suppress(asyncio.CancelledError):
        await running
