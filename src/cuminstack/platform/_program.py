"""The processes of a deployment: an entry and a control instance."""

import asyncio
import gc
import os
import signal
import sys
from contextlib import suppress
from dataclasses import replace
from types import MappingProxyType
from typing import Final, NoReturn

import fire
from aiohttp import web
from fire.decorators import SetParseFns

from cuminstack.document import OPERATION_TIMEOUT_SECONDS
from cuminstack.listeners import (
    SIDE,
    BadOption,
    ConnectionOptions,
    Listeners,
)
from cuminstack.logs import log_event, log_to_standard_output
from cuminstack.metrics import Exposition
from cuminstack.platform._front import EntryApi
from cuminstack.platform._metrics import (
    MetricsPage,
    export_connection_metrics,
    export_control_metrics,
    export_entry_metrics,
    export_log_metrics,
    export_work_metrics,
)
from cuminstack.platform._operators import ControlApi
from cuminstack.platform._settings import (
    DEFAULT_POLICY,
    SETTINGS_VARIABLE,
    BadSettings,
    PlatformSettings,
    load_settings,
)
from cuminstack.platform._worker_client import WorkerClient
from cuminstack.pool import policy_names
from cuminstack.roles import ControlRole, EntryRole, steady_now
from cuminstack.settings import Address, LogLevel

_EXIT_BAD_SETTINGS: Final = 2
#: The load balancer checks readiness every second, and removes an entry after
#: two failed checks.
_OUT_OF_ROTATION_SECONDS: Final = 2.5
#: Interval of checks for requests in progress, and how many checks in a row
#: must find none: most requests in transit arrive within this time.
_POLL_SECONDS: Final = 0.05
_IDLE_POLLS: Final = 5
#: Part of the grace period that is reserved for the shutdown after draining.
_SHUTDOWN_RESERVE_SECONDS: Final = 0.7
#: Time between the deadline of the last answers to jobs and the end of
#: draining: an entry checks every 0.1 s which answers are due, and may be late.
_ANSWER_MARGIN_SECONDS: Final = 0.3
#: Time that another instance needs to take over from a leaving dispatcher.
_HANDOVER_SECONDS: Final = 0.5
#: Longest time until an operator's request is answered.
_OPERATOR_REQUEST_SECONDS: Final = OPERATION_TIMEOUT_SECONDS + 0.1
#: Default wait for requests in progress when a server closes, by which time no
#: job is left.
_SHUTDOWN_TIMEOUT_SECONDS: Final = 0.2
#: Allocations between two collections of the youngest objects.  Reference
#: counts free nearly all of them, so frequent collections find little.
_GARBAGE_THRESHOLD: Final = 10000
#: Decimal places of seconds in the log.
_LOG_DECIMALS: Final = 3


async def serve_entry(
    settings: PlatformSettings,
    exposition: Exposition,
    stop_requested: asyncio.Event,
    listeners: Listeners | None = None,
) -> None:
    """Run an entry until it is asked to stop, then drain it.

    Args:
        settings: Settings of the process.
        exposition: Metrics of the process.
        stop_requested: Set to stop the entry.
        listeners: Listeners of the process; by default with the default
            limits on clients.

    Raises:
        BadSettings: An address that an entry listens on is missing.
    """
    if settings.caller_address is None or settings.readiness_address is None:
        raise BadSettings(
            'an entry needs listenAddrs.front and listenAddrs.ready'
        )
    client = WorkerClient()
    await client.open()
    api = EntryApi(exposition)
    listeners = listeners or Listeners(settings.machine, ConnectionOptions())
    role = EntryRole(
        settings.role,
        client=client,
        on_new_value=api.apply,
        listeners=listeners,
    )
    api.attach(role)
    export_entry_metrics(exposition, settings.role.own, role)
    export_work_metrics(exposition, role)
    await role.start()
    runners = (
        await listeners.start(
            'front',
            api.make_app(),
            settings.caller_address,
            cancel_on_disconnect=True,
            shutdown_timeout_seconds=_SHUTDOWN_TIMEOUT_SECONDS,
            required=api.request_limits,
        ),
        await listeners.start(
            'ready',
            api.make_readiness_app(),
            settings.readiness_address,
            share=SIDE,
            shutdown_timeout_seconds=_SHUTDOWN_TIMEOUT_SECONDS,
        ),
    )
    await stop_requested.wait()
    api.start_draining()
    seconds = settings.grace_seconds - _SHUTDOWN_RESERVE_SECONDS
    role.leave(seconds=seconds - _ANSWER_MARGIN_SECONDS)
    await _drain_and_log(api, seconds)
    # Jobs that arrive after draining has ended are refused at once.
    role.leave(seconds=0)
    for runner in runners:
        await runner.cleanup()
    listeners.stop()
    await role.stop()
    await client.close()


async def _drain_and_log(api: EntryApi, seconds: float) -> None:
    log_event(
        'instance.draining',
        requests=api.requests,
        seconds=round(seconds, _LOG_DECIMALS),
    )
    started_at = steady_now()
    await _wait_until_idle(api, seconds)
    log_event(
        'instance.drained',
        LogLevel.warning if api.requests else LogLevel.info,
        # Jobs among these are still answered before connections close.
        requests=api.requests,
        seconds=round(steady_now() - started_at, _LOG_DECIMALS),
    )


async def _wait_until_idle(api: EntryApi, seconds: float) -> None:
    """Wait until callers use other entries and no request is in progress.

    A caller may send requests on an open connection until it is closed, so
    another request may arrive after all earlier ones have been answered.

    Args:
        api: The API that is draining.
        seconds: Longest wait.
    """
    idle_polls = 0
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.sleep(_OUT_OF_ROTATION_SECONDS)
            while idle_polls < _IDLE_POLLS:
                await asyncio.sleep(_POLL_SECONDS)
                idle_polls = 0 if api.requests else idle_polls + 1


async def serve_control(
    settings: PlatformSettings,
    exposition: Exposition,
    stop_requested: asyncio.Event,
    listeners: Listeners | None = None,
) -> None:
    """Run a control instance until it is asked to stop, then hand over.

    Args:
        settings: Settings of the process.
        exposition: Metrics of the process.
        stop_requested: Set to stop the instance.
        listeners: Listeners of the process; by default with the default
            limits on clients.

    Raises:
        BadSettings: The address that it listens on is missing.
    """
    if settings.control_address is None:
        raise BadSettings('a control instance needs listenAddrs.control')
    client = WorkerClient()
    await client.open()
    listeners = listeners or Listeners(settings.machine, ConnectionOptions())
    role = ControlRole(settings.role, client=client, listeners=listeners)
    export_control_metrics(exposition, settings.role.own, role)
    export_work_metrics(exposition, role)
    await role.start()
    api = ControlApi(role, max_state_bytes=settings.machine.state_bytes)
    runner = await listeners.start(
        'control',
        api.make_app(),
        settings.control_address,
        shutdown_timeout_seconds=min(
            _OPERATOR_REQUEST_SECONDS,
            (settings.grace_seconds - _HANDOVER_SECONDS) / 2,
        ),
    )
    await stop_requested.wait()
    role.leave()
    await asyncio.sleep(_HANDOVER_SECONDS)
    await runner.cleanup()
    listeners.stop()
    await role.stop()
    await client.close()


_ROLES: Final = MappingProxyType(
    {'entry': serve_entry, 'control': serve_control},
)


async def _run_role(
    role: str,
    settings: PlatformSettings,
    metrics_port: int,
    options: ConnectionOptions,
) -> None:
    exposition = Exposition()
    listeners = Listeners(settings.machine, options)
    export_connection_metrics(exposition, listeners)
    export_log_metrics(exposition, log_to_standard_output())
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    # SIGHUP reloads nothing: seeds are used only at startup, and later
    # members are learned from the other instances.
    loop.add_signal_handler(signal.SIGHUP, _log_sighup)
    log_event('instance.started', role=role, own=settings.role.own)
    metrics_runner = await _serve_metrics(
        exposition, listeners, settings.host, metrics_port
    )
    await _ROLES[role](settings, exposition, stop_requested, listeners)
    if metrics_runner is not None:
        await metrics_runner.cleanup()
    log_event('instance.ended', role=role, own=settings.role.own)


async def _serve_metrics(
    exposition: Exposition,
    listeners: Listeners,
    host: str,
    port: int,
) -> web.AppRunner | None:
    """Serve the metrics; on failure, log it and run without metrics."""
    if not port:
        return None
    address = Address(host, port)
    try:
        return await listeners.start(
            'metrics',
            MetricsPage(exposition).make_app(),
            address,
            share=SIDE,
            shutdown_timeout_seconds=_SHUTDOWN_TIMEOUT_SECONDS,
        )
    except OSError as error:
        log_event('metrics.unavailable', LogLevel.error, error=error)
        return None


def _log_sighup() -> None:
    log_event('settings.kept', cause='SIGHUP')


def run(
    role: str,
    *,
    metrics_port: int = 0,
    check: bool = False,
    header_bytes: int = ConnectionOptions.header_bytes,
    header_seconds: float = ConnectionOptions.header_seconds,
    body_seconds: float = ConnectionOptions.body_seconds,
    memory_share: float = ConnectionOptions.memory_share,
    scheduling: str = DEFAULT_POLICY,
) -> None:
    """Run an instance until it receives SIGTERM.

    Args:
        role: Role of the instance, `entry` or `control`.
        metrics_port: Port of the metrics endpoint; 0 serves no metrics.
        check: Whether to check the settings file and exit.
        header_bytes: Largest header section of a request, in bytes, if the
            desired state allows no larger one.
        header_seconds: Longest time for a header section, in seconds, if
            the desired state allows no longer one.
        body_seconds: Longest time without progress of a body or a response,
            in seconds, if the desired state allows no longer one.
        memory_share: Part of the machine's memory for requests.
        scheduling: Name of the scheduling policy.
    """
    if scheduling not in policy_names():
        _exit_with_error(f'unknown scheduling policy: {scheduling}')
    if role not in _ROLES:
        _exit_with_error(f'the role must be entry or control, not: {role}')
    try:
        settings = load_settings(os.environ.get(SETTINGS_VARIABLE, ''))
        options = ConnectionOptions(
            header_bytes=header_bytes,
            header_seconds=header_seconds,
            body_seconds=body_seconds,
            memory_share=memory_share,
        )
    except (BadSettings, BadOption) as error:
        _exit_with_error(str(error))
    role_settings = replace(settings.role, order=scheduling)
    settings = replace(settings, role=role_settings)
    if not check:
        gc.set_threshold(_GARBAGE_THRESHOLD)
        asyncio.run(_run_role(role, settings, metrics_port, options))


def _exit_with_error(message: str) -> NoReturn:
    sys.stderr.write(f'{message}\n')
    sys.exit(_EXIT_BAD_SETTINGS)


def main() -> None:
    """Run the command line interface."""
    fire.Fire(SetParseFns(str)(run), name='instance')
