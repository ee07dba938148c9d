"""Handles on the processes of a deployment."""

from dataclasses import dataclass
from typing import Any, Final

import aiohttp

from bench._children import Child
from bench._plan import InstancePlan

_UNREACHABLE: Final = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(frozen=True, slots=True)
class DeployedInstance:
    """A daemon that was started.

    Args:
        plan: Its name, zone and addresses.
        child: Its process.
    """

    plan: InstancePlan
    child: Child

    @property
    def callers_url(self) -> str:
        """Give the base URL of its listener for callers."""
        address = self.plan.callers
        return f'http://{address}'

    @property
    def endpoints_url(self) -> str:
        """Give the base URL of its listener for endpoints and operators."""
        address = self.plan.endpoints
        return f'http://{address}'

    async def is_ready(self, http: aiohttp.ClientSession) -> bool:
        """Ask it whether it is ready; false where it can't be reached."""
        try:
            async with http.get(f'{self.endpoints_url}/v1/ready') as response:
                return response.ok
        except _UNREACHABLE:
            return False

    async def knows(self, http: aiohttp.ClientSession) -> tuple[str, ...]:
        """Ask it for the names of the endpoints that it knows."""
        url = f'{self.endpoints_url}/v1/endpoints'
        async with http.get(url) as response:
            body = await response.json()
        return tuple(entry['endpoint'] for entry in body['endpoints'])


@dataclass(frozen=True, slots=True)
class DeployedEndpoint:
    """A stand-in endpoint that was started.

    Args:
        name: Its name.
        zone: Its availability zone.
        url: Its base URL.
        child: Its process; it may run other endpoints too.
    """

    name: str
    zone: str
    url: str
    child: Child

    async def start_log(self, http: aiohttp.ClientSession) -> dict[str, Any]:
        """Read its start log."""
        async with http.get(f'{self.url}/starts') as response:
            log: dict[str, Any] = await response.json()
            return log

    async def set_mode(self, http: aiohttp.ClientSession, **mode: Any) -> None:
        """Change its behaviour; see `bench.endpoint.Mode`."""
        async with http.put(f'{self.url}/mode', json=mode) as response:
            response.raise_for_status()

    async def leave(self, http: aiohttp.ClientSession) -> None:
        """Make it leave, but not exit."""
        async with http.put(f'{self.url}/leave') as response:
            response.raise_for_status()
