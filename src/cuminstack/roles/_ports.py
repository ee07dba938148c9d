"""Interface and settings that a platform provides to a role."""

from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from cuminstack.core import InstanceId, ZoneName
from cuminstack.pool import (
    EndpointView,
    Hold,
    NoAnswer,
    OrderRefused,
    Started,
    StartRun,
    StopRun,
)


class EndpointClient(Protocol):
    """Sends orders to endpoints; no method raises."""

    async def start(self, order: StartRun) -> Started | OrderRefused | NoAnswer:
        """Start a run."""

    async def stop(self, order: StopRun) -> None:
        """Stop a run; on success, the endpoint lists its end."""

    async def hold(self, order: Hold) -> EndpointView | OrderRefused | NoAnswer:
        """Renew a lease and list the running and the ended runs."""


@dataclass(frozen=True, slots=True)
class RoleSettings:
    """Configuration of one process.

    Args:
        own: Address of its peer listener, which is also its instance id.
        zone: Its availability zone.
        controls: Peer addresses of at most a few of the control instances.
        first_start: Whether the whole deployment starts for the first time.
        tolerated_failures: Number of replicas that may fail at the same time.
        data_folder: Folder of its persistent state; None without a disk.
        order: Name of the scheduling policy.
        cores: Processor time that it may use, in cores.
        zones: Availability zones of the deployment, as far as configured.
    """

    own: InstanceId
    zone: str
    controls: tuple[InstanceId, ...]
    first_start: bool
    tolerated_failures: int
    data_folder: Path | None
    order: str
    cores: float = 1
    zones: frozenset[ZoneName] = frozenset()
