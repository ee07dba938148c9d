"""Descriptions of instances, endpoints and resources."""

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
    """An instance of the daemon, as described to its peers.

    Args:
        instance: Name, unique in the deployment.
        zone: Availability zone.
        incarnation: Number that grows with each start of the process.
        peer_address: `host:port` of the listener for peers; the host is an
            IP address.
        endpoint_address: `host:port` of the listener for endpoints.
        replica: Whether it stores the sheet on disk and votes on it.
    """

    instance: InstanceId
    zone: ZoneName
    incarnation: int
    peer_address: str
    endpoint_address: str
    replica: bool = False


class EndpointState(enum.Enum):
    """The readiness that an endpoint reports about itself."""

    serving = 'serving'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Needs:
    """Resources: those that a task requests, or those that an endpoint has.

    Args:
        processors: Number of processors; fractions are allowed.
        memory_mb: Memory in MiB.
        accelerators: Number of accelerators.
    """

    processors: float = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fit_in(self, offered: 'Needs') -> bool:
        """Return whether no resource exceeds the amount that is offered."""
        return (
            self.processors <= offered.processors
            and self.memory_mb <= offered.memory_mb
            and self.accelerators <= offered.accelerators
        )


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint, as described by its last announcement.

    Args:
        endpoint: Name, unique in the deployment.
        incarnation: Number that grows with each start of the endpoint.
        zone: Availability zone.
        url: Base URL for task starts; its host is an IP address.
        serves: Services whose tasks the endpoint runs, possibly with
            wildcards.
        slots: Number of tasks that it can run at once.
        connections: Number of connections that it accepts from all instances
            together.
        offers: Resources of the endpoint.
        state: Whether it accepts new tasks.
        busy: Number of slots that it reported in use; may be out of date.
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
        """Return whether the endpoint runs tasks of a service."""
        return any(served.covers(service) for served in self.serves)
