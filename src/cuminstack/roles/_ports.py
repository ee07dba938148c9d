"""What a role needs of the outside, and how a platform gives it."""

from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from cuminstack.core import InstanceId
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
    """Carries orders to endpoints; no call raises."""

    async def start(self, order: StartRun) -> Started | OrderRefused | NoAnswer:
        """Start a run."""

    async def stop(self, order: StopRun) -> None:
        """Stop a run; its end is listed if that worked."""

    async def hold(self, order: Hold) -> EndpointView | OrderRefused | NoAnswer:
        """Renew a lease, and list what runs and what has ended."""


@dataclass(frozen=True, slots=True)
class RoleSettings:
    """What a process is told about itself.

    Args:
        own: Address of its peer listener, which names it.
        zone: Its availability zone.
        controls: Peer addresses of control instances, at most a few of all.
        first_start: Whether the whole deployment starts for the first time.
        tolerated: Replicas that may be lost at the same time.
        data_folder: Where its disk is, if it has one.
        order: Name of the order in which waiting jobs get room.
    """

    own: InstanceId
    zone: str
    controls: tuple[InstanceId, ...]
    first_start: bool
    tolerated: int
    data_folder: Path | None
    order: str
