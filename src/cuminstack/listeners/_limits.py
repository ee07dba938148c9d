"""Derives the limits of each listener from those of the machine."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

_MEBIBYTE: Final = 1_048_576
#: Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS: Final = 200
#: Connections of a listener for checks of the load balancer or for metrics.
#: A balancer checks each second, on one connection for each of its nodes.
_SIDE_CONNECTIONS: Final = 32
_SIDE_LISTENERS: Final = 2
_MIN_CONNECTIONS: Final = 16
#: Estimated memory of an idle HTTP connection and of an idle link, in bytes.
_CONNECTION_BYTES: Final = 8192
_LINK_BYTES: Final = 20_480
#: Part of the memory for requests that connections may take in addition.
_CONNECTION_SHARE: Final = 0.5
#: A parsed JSON document takes up to 25 times its size, so the largest
#: desired state takes two fifths of the memory for a moment.
_STATE_MEMORY: Final = 64
_MAX_STATE_BYTES: Final = 8_388_608


#: Ranges of the options.  Less than a usual header section would refuse
#: ordinary callers; the memory share must leave room for the rest.
_RANGES: Final = MappingProxyType(
    {
        'header_bytes': (8192, _MEBIBYTE),
        'header_seconds': (0.1, 3600),
        'body_seconds': (0.1, 3600),
        'memory_share': (0.01, 0.5),
    },
)


class BadOption(Exception):
    """An option is out of its range."""


@dataclass(frozen=True)
class MachineLimits:
    """What a process may use of its machine.

    Args:
        memory_mb: Memory in mebibytes; by default that of the smallest
            machine.
        descriptors: Open files and connections together; the usual limit
            of a process by default.
    """

    memory_mb: float = 160
    descriptors: int = 1024

    @property
    def state_bytes(self) -> int:
        """Largest accepted desired state; one of 1,400 routes has 0.5 MB."""
        size = int(self.memory_mb * _MEBIBYTE / _STATE_MEMORY)
        return min(_MAX_STATE_BYTES, size)


@dataclass(frozen=True)
class ConnectionOptions:
    """Limits on clients that don't depend on the machine.

    Args:
        header_bytes: Largest header section, together with empty lines
            before it; more if the desired state allows more.
        header_seconds: Longest time for a header section; more if the
            desired state allows more.
        body_seconds: Longest time without progress of a body or a response;
            more if the desired state allows more.
        memory_share: Part of the machine's memory for requests of callers,
            or of endpoints and operators.
    """

    header_bytes: int = 65_536
    # The desired state allows 3 s.
    header_seconds: float = 5
    # The desired state allows 15 s.
    body_seconds: float = 20
    memory_share: float = 0.25

    def __post_init__(self) -> None:
        """Check the ranges.

        Raises:
            BadOption: A value isn't a number, or out of its range.
        """
        for name, (lowest, highest) in _RANGES.items():
            value = getattr(self, name)
            is_number = isinstance(value, int | float)
            if not is_number or not lowest <= value <= highest:
                raise BadOption(
                    f'{name} must be from {lowest} to {highest}, not: {value}'
                )


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What requests need according to the desired state; 0 if unknown.

    Args:
        header_bytes: Largest total size of header fields.
        header_seconds: Longest time for a header section.
        body_seconds: Longest time without progress of a body.
    """

    header_bytes: int = 0
    header_seconds: float = 0
    body_seconds: float = 0


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of the connections of one listener.

    Args:
        connections: Largest number of open connections.
        memory_bytes: Memory for all requests that aren't answered yet.
        header_bytes: Largest header section of a request, together with the
            empty lines before it.
        header_seconds: Longest time from the first byte of a header section
            to its last.
        body_seconds: Longest time without a byte of a body that is
            incomplete, or in which the client takes nothing of a response.
        keeps_idle: Whether idle connections are closed for others only after
            all that have not identified themselves.
    """

    connections: int
    memory_bytes: int
    header_bytes: int
    header_seconds: float
    body_seconds: float
    keeps_idle: bool = False


@dataclass(frozen=True, slots=True)
class ListenerShare:
    """What a listener takes of what all clients of the process may use.

    Args:
        connections: Part of the connections; 0 for the fixed number that is
            reserved for a listener of checks or metrics, which must not take
            from the others or be crowded out.
        memory: Memory for requests, as a multiple of the memory share.
        connection_bytes: Estimated memory of an idle connection.
        keeps_idle: Whether idle connections are closed for others only after
            all that have not identified themselves.
    """

    connections: float
    memory: float
    connection_bytes: int = _CONNECTION_BYTES
    keeps_idle: bool = False


_HALF: Final = 1 / 2
_QUARTER: Final = 1 / 4
_THREE_QUARTERS: Final = 3 / 4
_EIGHTH: Final = 1 / 8

#: Callers, or endpoints and operators, if they have a process of their own.
REQUESTS: Final = ListenerShare(connections=_THREE_QUARTERS, memory=1)
#: Callers, and endpoints and operators, if they share a process.
CALLERS: Final = ListenerShare(connections=_HALF, memory=_THREE_QUARTERS)
ENDPOINTS: Final = ListenerShare(connections=_QUARTER, memory=_HALF)
#: Other instances.
LINKS: Final = ListenerShare(
    connections=_QUARTER,
    memory=_HALF,
    connection_bytes=_LINK_BYTES,
    keeps_idle=True,
)
#: Checks of the load balancer, or metrics.
SIDE: Final = ListenerShare(connections=0, memory=_EIGHTH)


def derive_limits(
    machine: MachineLimits, options: ConnectionOptions, share: ListenerShare
) -> ListenerLimits:
    """Return the limits of a listener.

    Args:
        machine: Limits of the machine.
        options: Limits on clients.
        share: What the listener takes.
    """
    memory = machine.memory_mb * _MEBIBYTE * options.memory_share * share.memory
    connections = machine.descriptors - _FILE_DESCRIPTORS
    connections -= _SIDE_LISTENERS * _SIDE_CONNECTIONS
    affordable = int(memory * _CONNECTION_SHARE) // share.connection_bytes
    connections = min(int(connections * share.connections), affordable)
    connections = max(_MIN_CONNECTIONS, connections)
    if not share.connections:
        connections = _SIDE_CONNECTIONS
    return ListenerLimits(
        connections=connections,
        memory_bytes=int(memory),
        header_bytes=options.header_bytes,
        header_seconds=options.header_seconds,
        body_seconds=options.body_seconds,
        keeps_idle=share.keeps_idle,
    )


def excess_descriptors(*, used: int, connections: int) -> int:
    """Return how many descriptors are used beyond those for files.

    These are mostly connections that the process has opened itself.

    Args:
        used: Open descriptors of the process.
        connections: Those among them that are connections of clients.
    """
    return max(0, used - connections - _FILE_DESCRIPTORS)
