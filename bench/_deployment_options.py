"""What a deployment consists of, and how its start can fail."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

#: A sheet for the members of the examples.
SHEET: Final = """\
sheet,1,0
member,tkemali,1,100000,100000
service,tkemali,order-desk,30000,250,response
claim,tkemali,order-desk,16,32768,0
member,haslinger,1,100000,100000
service,haslinger,bestell-dienst,30000,250,waste
claim,haslinger,bestell-dienst,16,32768,0
"""


@dataclass(eq=False)
class NotReady(Exception):
    """A process did not get ready, or ended at its start."""

    name: str
    log: str

    def __str__(self) -> str:
        return f'{self.name} is not ready; its log:\n{self.log}'


@dataclass(eq=False)
class SheetNotAccepted(Exception):
    """An instance did not accept the sheet."""

    status: int
    body: str


@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentOptions:
    """What to start.

    Args:
        zones: Names of the availability zones.
        instances: Daemons in each zone.
        endpoints: Stand-in endpoints in each zone.
        endpoint_processes: Processes that run them in each zone; 0 for one
            each.
        slots: Slots of each endpoint.
        serves: What the endpoints serve, as `member/service,…`.
        settings: Further settings of all daemons, by section and key.
        seed: Seed of the stand-ins.
        linger_ms: How long a leaving stand-in refuses starts at least.
        replicas: Whether the first daemon of each zone has a data folder.
        sheet: Submitted once all are ready; none if empty.
        wrapper: Put before the daemon's program, as a profiler is.
    """

    zones: tuple[str, ...] = ('telavi',)
    instances: int = 1
    endpoints: int = 1
    endpoint_processes: int = 0
    slots: int = 8
    serves: str = '*/*'
    settings: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
    seed: int = 1
    linger_ms: int = 3000
    replicas: bool = True
    sheet: str = SHEET
    wrapper: tuple[str, ...] = ()
