"""The programs of the platform: an entry and a control instance."""

import asyncio
import os
import signal
import sys
from contextlib import suppress
from types import MappingProxyType
from typing import Final, NoReturn

import fire
from aiohttp import web
from fire.decorators import SetParseFns

from cuminstack.document import OPERATION_TIMEOUT_SECONDS
from cuminstack.logs import log_event, log_to_standard_output
from cuminstack.metrics import Exposition
from cuminstack.platform._front import Front
from cuminstack.platform._metrics import (
    MetricsPage,
    show_control,
    show_entry,
    show_logs,
    show_work,
)
from cuminstack.platform._operators import ControlFront
from cuminstack.platform._settings import (
    SETTINGS_VARIABLE,
    BadSettings,
    PlatformSettings,
    load_settings,
)
from cuminstack.platform._worker_client import WorkerClient
from cuminstack.roles import ControlRole, EntryRole, steady_now
from cuminstack.settings import Address, LogLevel

_EXIT_BAD_SETTINGS: Final = 2
#: The balancer asks each second, and takes an entry out after two misses.
_OUT_OF_ROTATION_SECONDS: Final = 2.5
#: Seconds between two looks for requests in progress, and how many in a row
#: have to find none: most requests on their way arrive within these.
_LOOK_SECONDS: Final = 0.05
_QUIET_LOOKS: Final = 5
#: Seconds of the grace that are left for closing down.
_CLOSING_SECONDS: Final = 0.7
#: Seconds between the last answers to jobs and closing down: an entry looks
#: for those that are due each 0.1 s, and may be late.
_LAST_ANSWERS_SECONDS: Final = 0.3
#: Seconds that another instance takes to take over from a leaving one.
_HANDOVER_SECONDS: Final = 0.5
#: Seconds within which an order of an operator has its answer.
_OPERATION_SECONDS: Final = OPERATION_TIMEOUT_SECONDS + 0.1
#: Seconds that requests in progress may take once no job is left.
_SHUTDOWN_SECONDS: Final = 0.2
#: Digits of seconds after the point, in the log.
_DIGITS: Final = 3


async def _listen(
    app: web.Application,
    address: Address,
    *,
    cancels: bool = False,
    shutdown_seconds: float = _SHUTDOWN_SECONDS,
) -> web.AppRunner:
    """Serve an application.

    Args:
        app: The application.
        address: Where.
        cancels: Whether a handler is cancelled when its caller leaves.
        shutdown_seconds: How long requests in progress are waited for, at
            most twice.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancels,
        shutdown_timeout=shutdown_seconds,
    )
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner


async def serve_entry(
    settings: PlatformSettings,
    exposition: Exposition,
    ended: asyncio.Event,
) -> None:
    """Run an entry until it is told to end."""
    if settings.callers is None or settings.readiness is None:
        raise BadSettings('an entry needs addresses for callers')
    client = WorkerClient()
    await client.open()
    front = Front(exposition)
    role = EntryRole(settings.role, client=client, new_value=front.apply)
    front.attach(role)
    show_entry(exposition, settings.role.own, role)
    show_work(exposition, role)
    await role.start()
    runners = (
        await _listen(front.make_app(), settings.callers, cancels=True),
        await _listen(front.make_readiness_app(), settings.readiness),
    )
    await ended.wait()
    front.drain()
    seconds = settings.grace - _CLOSING_SECONDS
    role.leave(seconds=seconds - _LAST_ANSWERS_SECONDS)
    await _drain_logged(front, seconds)
    # What comes between the last look and the close is refused at once.
    role.leave(seconds=0)
    for runner in runners:
        await runner.cleanup()
    await role.stop()
    await client.close()


async def _drain_logged(front: Front, seconds: float) -> None:
    log_event(
        'instance.draining',
        requests=front.requests,
        seconds=round(seconds, _DIGITS),
    )
    began_at = steady_now()
    await _drain(front, seconds)
    log_event(
        'instance.drained',
        LogLevel.warning if front.requests else LogLevel.info,
        # Jobs among them are answered before the connections close.
        requests=front.requests,
        seconds=round(steady_now() - began_at, _DIGITS),
    )


async def _drain(front: Front, seconds: float) -> None:
    """Wait until callers go elsewhere and no request is left.

    A caller may use an open connection until it is closed, so that a last
    request may come when all others have been answered.
    """
    quiet_looks = 0
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.sleep(_OUT_OF_ROTATION_SECONDS)
            while quiet_looks < _QUIET_LOOKS:
                await asyncio.sleep(_LOOK_SECONDS)
                quiet_looks = 0 if front.requests else quiet_looks + 1


async def serve_control(
    settings: PlatformSettings,
    exposition: Exposition,
    ended: asyncio.Event,
) -> None:
    """Run a control instance until it is told to end."""
    if settings.control is None:
        raise BadSettings('a control instance needs an address for control')
    client = WorkerClient()
    await client.open()
    role = ControlRole(settings.role, client=client)
    show_control(exposition, settings.role.own, role)
    show_work(exposition, role)
    await role.start()
    runner = await _listen(
        ControlFront(role).make_app(),
        settings.control,
        shutdown_seconds=min(
            _OPERATION_SECONDS,
            (settings.grace - _HANDOVER_SECONDS) / 2,
        ),
    )
    await ended.wait()
    role.leave()
    await asyncio.sleep(_HANDOVER_SECONDS)
    await runner.cleanup()
    await role.stop()
    await client.close()


_PROGRAMS: Final = MappingProxyType(
    {'entry': serve_entry, 'control': serve_control},
)


async def _serve(
    name: str,
    settings: PlatformSettings,
    metrics_port: int,
) -> None:
    exposition = Exposition()
    show_logs(exposition, log_to_standard_output())
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    # Seeds only matter at the start; later ones are learned from the others.
    loop.add_signal_handler(signal.SIGHUP, _note_hang_up)
    log_event('instance.started', role=name, own=settings.role.own)
    page = await _serve_metrics(exposition, settings.host, metrics_port)
    await _PROGRAMS[name](settings, exposition, ended)
    if page is not None:
        await page.cleanup()
    log_event('instance.ended', role=name, own=settings.role.own)


async def _serve_metrics(
    exposition: Exposition,
    host: str,
    port: int,
) -> web.AppRunner | None:
    """Serve the page of metrics; a process goes on without it."""
    if not port:
        return None
    address = Address(host, port)
    try:
        return await _listen(MetricsPage(exposition).make_app(), address)
    except OSError as error:
        log_event('metrics.unavailable', LogLevel.error, error=error)
        return None


def _note_hang_up() -> None:
    log_event('settings.kept', cause='SIGHUP')


def run(role: str, *, metrics_port: int = 0, check: bool = False) -> None:
    """Run a program of the platform.

    Args:
        role: Which: `entry` or `control`.
        metrics_port: Port of the page of metrics; none is served if it is 0.
        check: Only check the settings.
    """
    if role not in _PROGRAMS:
        _end_with(f'no such role: {role}')
    try:
        settings = load_settings(os.environ.get(SETTINGS_VARIABLE, ''))
    except BadSettings as error:
        _end_with(str(error))
    if not check:
        asyncio.run(_serve(role, settings, metrics_port))


def _end_with(problem: str) -> NoReturn:
    sys.stderr.write(f'{problem}\n')
    sys.exit(_EXIT_BAD_SETTINGS)


def main() -> None:
    """Start the program that the command line names."""
    fire.Fire(SetParseFns(str)(run), name='instance')
