"""A deployment on loopback: daemons and stand-in endpoints as children."""

import asyncio
import tempfile
from collections.abc import Iterable, Mapping, Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

import aiohttp
import orjson

from bench._children import Child, program
from bench._deployed import DeployedEndpoint, DeployedInstance
from bench._deployment_options import (
    SHEET,
    DeploymentOptions,
    NotReady,
    SheetNotAccepted,
)
from bench._endpoint_command import endpoint_command
from bench._plan import InstancePlan, plan_instances, write_settings
from bench._polling import until
from bench._start_log import read_start_log, start_log_path

__all__ = (
    'SHEET',
    'DeployedEndpoint',
    'DeployedInstance',
    'Deployment',
    'DeploymentOptions',
    'NotReady',
    'SheetNotAccepted',
)

#: How long a deployment may take until it is ready, in seconds.
_READY_SECONDS: Final = 20.0


class Deployment:
    """Starts the processes on entry, and ends them all on exit."""

    def __init__(self, options: DeploymentOptions) -> None:
        self.options = options
        self.instances: list[DeployedInstance] = []
        self.endpoints: list[DeployedEndpoint] = []
        self._exit_stack = AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None
        self._folder = Path()
        self._plans: tuple[InstancePlan, ...] = ()

    @property
    def http(self) -> aiohttp.ClientSession:
        """Give an HTTP session that lasts as long as the deployment."""
        assert self._session is not None
        return self._session

    @property
    def folder(self) -> Path:
        """Give the folder of settings, data and logs."""
        return self._folder

    @property
    def caller_urls(self) -> tuple[str, ...]:
        """Give the callers' base URLs of the instances that run."""
        running = (entry for entry in self.instances if entry.child.running)
        return tuple(entry.callers_url for entry in running)

    async def __aenter__(self) -> Self:
        try:
            await self._start()
        except BaseException:
            await self._exit_stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._exit_stack.aclose()

    async def start_instance(self, plan: InstancePlan) -> DeployedInstance:
        """Start one daemon as planned, without waiting until it is ready."""
        path = write_settings(
            plan,
            self._plans,
            folder=self._folder,
            extra=self.options.settings,
        )
        wrapper = [
            part.format(name=plan.name, folder=self._folder)
            for part in self.options.wrapper
        ]
        child = await Child.spawn(
            plan.name,
            [*wrapper, program('cuminstackd'), '--settings', str(path)],
            folder=self._folder,
        )
        self._exit_stack.push_async_callback(child.kill)
        return DeployedInstance(plan, child)

    async def restart(self, entry: DeployedInstance) -> DeployedInstance:
        """Start an instance that has ended again, and wait until ready."""
        again = await self.start_instance(entry.plan)
        self.instances[self.instances.index(entry)] = again
        await self.wait_ready(again)
        return again

    async def start_endpoints(
        self,
        names: Sequence[str],
        zone: str,
        *,
        mode: Mapping[str, Any] | None = None,
    ) -> list[DeployedEndpoint]:
        """Start stand-in endpoints of a zone, in one process."""
        child = await Child.spawn(
            names[0],
            endpoint_command(
                names,
                zone,
                options=self.options,
                announce_to=self._zone_urls(zone),
                folder=self._folder,
                mode=mode or {},
            ),
            folder=self._folder,
            stdout=asyncio.subprocess.PIPE,
        )
        self._exit_stack.push_async_callback(child.kill)
        line = await child.read_line()
        if not line:
            raise NotReady(names[0], child.log)
        started = [
            DeployedEndpoint(name, zone, url, child)
            for name, url in orjson.loads(line).items()
        ]
        self.endpoints += started
        return started

    async def wait_ready(self, entry: DeployedInstance) -> None:
        """Wait until an instance says that it is ready.

        Raises:
            NotReady: It ended, or took too long.
        """

        async def ready_or_ended() -> bool:  # noqa: WPS430
            return await entry.is_ready(self.http) or not entry.child.running

        try:
            await until(ready_or_ended, seconds=_READY_SECONDS)
        except TimeoutError as error:
            raise NotReady(entry.plan.name, entry.child.log) from error
        if not entry.child.running:
            raise NotReady(entry.plan.name, entry.child.log)

    async def submit_sheet(self, sheet: str) -> None:
        """Put a sheet in force through the first instance that runs.

        Raises:
            SheetNotAccepted: The instance said anything but 200.
        """
        entry = next(one for one in self.instances if one.child.running)
        async with self.http.put(
            f'{entry.endpoints_url}/v1/sheet',
            data=sheet.encode(),
            headers={'Content-Type': 'text/csv'},
        ) as response:
            if not response.ok:
                body = await response.text()
                raise SheetNotAccepted(response.status, body)

    async def wait_endpoints(self, names: Iterable[str]) -> None:
        """Wait until each running instance knows exactly these endpoints."""
        expected = set(names)

        async def all_known() -> bool:  # noqa: WPS430
            running = [one for one in self.instances if one.child.running]
            known = await asyncio.gather(
                *(one.knows(self.http) for one in running),
            )
            return all(set(names) == expected for names in known)

        await until(all_known, seconds=_READY_SECONDS)

    def start_logs(self) -> list[Mapping[str, Any]]:
        """Read the start logs of all endpoints, also of those that ended."""
        paths = (
            start_log_path(self._folder, one.name) for one in self.endpoints
        )
        return list(map(read_start_log, paths))

    async def _start(self) -> None:
        options = self.options
        folder = tempfile.TemporaryDirectory(prefix='cuminstack-')
        self._exit_stack.enter_context(folder)
        self._folder = Path(folder.name)
        self._session = await self._exit_stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
            ),
        )
        self._plans = plan_instances(
            options.zones,
            options.instances,
            replicas=options.replicas,
        )
        async with asyncio.TaskGroup() as group:
            starting = [
                group.create_task(self.start_instance(plan))
                for plan in self._plans
            ]
        self.instances += [task.result() for task in starting]
        await asyncio.gather(*map(self.wait_ready, self.instances))
        if options.sheet:
            await self.submit_sheet(options.sheet)
        await self._start_endpoints()

    async def _start_endpoints(self) -> None:
        numbers = range(1, self.options.endpoints + 1)
        step = self.options.endpoint_processes or len(numbers)
        groups = [
            (zone, [f'{zone}-e{number}' for number in numbers[first::step]])
            for zone in self.options.zones
            for first in range(step)
        ]
        async with asyncio.TaskGroup() as group:
            for zone, names in groups:
                if names:
                    group.create_task(self.start_endpoints(names, zone))
        await self.wait_endpoints(one.name for one in self.endpoints)

    def _zone_urls(self, zone: str) -> list[str]:
        local = (one for one in self.instances if one.plan.zone == zone)
        return [entry.endpoints_url for entry in local]
