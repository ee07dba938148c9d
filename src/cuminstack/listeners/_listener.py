"""State that the connections of a listener share, and what closes them."""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable, Hashable
from dataclasses import dataclass
from typing import Final, Protocol, TypeVar

from cuminstack.listeners._connections import Cause, ConnectionTable
from cuminstack.listeners._limits import (
    ListenerLimits,
    RequestLimits,
)
from cuminstack.logs import log_event
from cuminstack.settings import Address, LogLevel

#: Request line and separators of a header section within the limit of the
#: desired state, which counts names and values only.
_LINE_BYTES: Final = 16_384
#: Interval of log lines of a cause.  Creating a line takes 31 µs even if the
#: log drops it, and clients may connect 10,000 times a second.
_LOG_SECONDS: Final = 0.1
_HEADER_CAUSES: Final = frozenset((Cause.slow_header, Cause.pipelined))
#: Bytes that are read at once, into a buffer that all connections share.
_READ_BYTES: Final = 65_536
#: Connections that are accepted at once.  Those beyond the limit are open for
#: one iteration of the loop, out of the descriptors for files.
_ACCEPTED_AT_ONCE: Final = 32
#: Connections that wait until they are accepted.  The system drops those
#: beyond it, and an ordinary client tries again a second later.
_BACKLOG: Final = 1024

_Server = TypeVar('_Server')


@dataclass(frozen=True, slots=True)
class _Logged:
    """Time of the last log line of a cause, and its count then."""

    at: float
    count: int


class Connection(Hashable, Protocol):
    """A connection, as far as a listener uses it."""

    @property
    def descriptor(self) -> int:
        """File descriptor; -1 if the connection is closed."""

    def cut(self, cause: Cause) -> None:
        """Close the connection, after a refusal if that is possible."""

    def expire(self, cause: Cause) -> None:
        """Handle that the client was waited for too long."""


class Listener:
    """State that the connections of a listener share.

    Args:
        name: Name of the listener in logs and metrics.
        limits: Limits of its connections.
        required: Returns what the desired state allows requests.
    """

    def __init__(
        self,
        name: str,
        limits: ListenerLimits,
        required: Callable[[], RequestLimits],
    ) -> None:
        self.name: Final = name
        self.limits: Final = limits
        self.table: Final[ConnectionTable[Connection]] = ConnectionTable(limits)
        self.loop: Final = asyncio.get_running_loop()
        self.read_buffer: Final = memoryview(bytearray(_READ_BYTES))
        self._required = required
        self._logged: dict[Cause, _Logged] = {}

    @property
    def header_bytes(self) -> int:
        """Largest header section, with empty lines before it."""
        required = 2 * self._required().header_bytes + _LINE_BYTES
        return max(self.limits.header_bytes, required)

    def admit(self, connection: Connection) -> bool:
        """Make room for a connection; return whether there is room."""
        now = self.loop.time()
        while not self.table.has_room():
            surplus = self.table.find_surplus(is_quiet=_is_quiet, now=now)
            if surplus is None:
                return False
            surplus.cut(Cause.idle)
        self.table.open(connection, now=now)
        return True

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        self.table.close(connection)

    def await_client(self, connection: Connection, cause: Cause) -> None:
        """Bound the time for which the client is waited for from now on."""
        required = self._required()
        if cause in _HEADER_CAUSES:
            seconds = max(self.limits.header_seconds, required.header_seconds)
        else:
            seconds = max(self.limits.body_seconds, required.body_seconds)
        self.table.start_wait(
            connection, cause, seconds=seconds, now=self.loop.time()
        )

    def use_memory(self, connection: Connection, size: int) -> None:
        """Add to a request's memory, and cut off clients if it is short."""
        for user in self.table.use_memory(connection, size):
            user.cut(Cause.memory)

    def report(self, cause: Cause, peer: object) -> None:
        """Count and log that a connection is closed or refused.

        Args:
            cause: Why it is.
            peer: Address of its client.
        """
        self.table.count(cause)
        count = self.table.counts[cause.value]
        now = self.loop.time()
        logged = self._logged.get(cause, _Logged(now - _LOG_SECONDS, 0))
        if now < logged.at + _LOG_SECONDS:
            return
        self._logged[cause] = _Logged(now, count)
        log_event(
            'connection.closed',
            LogLevel.warning,
            listener=self.name,
            cause=cause,
            peer=peer,
            count=count - logged.count,
            connections=self.table.connections,
            bytes=self.table.used_bytes,
        )

    def sweep(self) -> None:
        """Cut off clients that were waited for too long."""
        for connection, cause in self.table.expired(now=self.loop.time()):
            connection.expire(cause)


async def accept(
    address: Address,
    create_server: Callable[..., Awaitable[_Server]],
) -> _Server:
    """Accept connections at an address, few of them at once.

    Args:
        address: Address to listen on.
        create_server: Creates the server; its arguments `sock` and `backlog`
            are the socket and the number of connections accepted at once.

    Returns:
        The server.

    Raises:
        OSError: The address can't be listened on.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    accepting = socket.create_server(
        (address.host, address.port), family=family
    )
    server = await create_server(sock=accepting, backlog=_ACCEPTED_AT_ONCE)
    # asyncio has set both numbers to the one of connections at once.
    accepting.listen(_BACKLOG)
    return server


def _is_quiet(connection: Connection) -> bool:
    """Return whether nothing was received that isn't read yet."""
    descriptor = connection.descriptor
    if descriptor < 0:
        # It is about to be removed.
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return not poll.poll(0)
