"""What instances and endpoints say about themselves."""

import enum
from dataclasses import dataclass

from cuminstack.core._names import (
    EndpointId,
    InstanceId,
    ServiceRef,
    ZoneName,
)


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance of the daemon, as its peers know it.

    Args:
        instance: Its name, unique in the deployment.
        zone: Its availability zone.
        incarnation: Grows with each start of the process.
        peer_address: `host:port` of its peer listener, by IP number.
        endpoint_address: `host:port` of its listener for endpoints.
        replica: Whether it has a disk and votes on the sheet.
    """

    instance: InstanceId
    zone: ZoneName
    incarnation: int
    peer_address: str
    endpoint_address: str
    replica: bool = False


class EndpointState(enum.Enum):
    """What an endpoint says of its own readiness."""

    serving = 'serving'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Needs:
    """Resources: what a task asks for, or what an endpoint has."""

    processors: float = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fit_in(self, offered: 'Needs') -> bool:
        """Tell whether an endpoint that offers this much can hold them."""
        return (
            self.processors <= offered.processors
            and self.memory_mb <= offered.memory_mb
            and self.accelerators <= offered.accelerators
        )


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint, as it last announced itself.

    Args:
        endpoint: Its name, unique in the deployment.
        incarnation: Grows with each start of the endpoint.
        zone: Its availability zone.
        url: Base URL for task starts, by IP number.
        serves: The services it runs tasks of; wildcards are allowed.
        slots: Tasks that it runs at once.
        connections: Connections that it accepts from all instances together.
        offers: Its processors, memory and accelerators.
        state: Whether it takes new tasks.
        busy: Slots that it reported in use; may lag.
    """

    endpoint: EndpointId
    incarnation: int
    zone: ZoneName
    url: str
    serves: tuple[ServiceRef, ...]
    slots: int
    connections: int
    offers: Needs = Needs()
    state: EndpointState = EndpointState.serving
    busy: int = 0

    def runs(self, service: ServiceRef) -> bool:
        """Tell whether tasks of a service may be started here."""
        return any(served.covers(service) for served in self.serves)
