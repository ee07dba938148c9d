"""Decides which connections of a listener are accepted, closed or refused.

There is no input or output here, and the present time is an argument.
"""

import enum
from collections import Counter
from collections.abc import Callable, Hashable, Iterator, Mapping
from dataclasses import dataclass
from itertools import chain
from types import MappingProxyType
from typing import Final, Generic, TypeVar

from cuminstack.listeners._limits import ListenerLimits

_Key = TypeVar('_Key', bound=Hashable)

#: Connections without a request are closed before those that carried one,
#: unless they are younger: their first request may be on its way.
_FRESH_SECONDS: Final = 1.0
#: A request that takes longer to arrive may be cut off when connections run
#: short; an ordinary one arrives within a round trip.
_ARRIVAL_SECONDS: Final = 0.25
#: Largest number of idle connections that are examined to close one.
_MAX_EXAMINED: Final = 16
#: Memory of a request: the parser and the handler keep the header section
#: three times (raw, decoded, and the message), with objects for each field
#: and for the request; a body is kept as chunks, joined and decoded.
_COPIES: Final = 3
_FIELD_BYTES: Final = 400
_REQUEST_BYTES: Final = 4096


class Cause(enum.StrEnum):
    """Why a connection was closed or refused."""

    large_header = 'large_header'
    malformed = 'malformed'
    slow_header = 'slow_header'
    slow_body = 'slow_body'
    slow_reader = 'slow_reader'
    pipelined = 'pipelined'
    memory = 'memory'
    connections = 'connections'
    idle = 'idle'


def header_cost(size: int, fields: int) -> int:
    """Estimate the memory that a request takes without its body.

    Args:
        size: Size of its header section in bytes.
        fields: Number of its lines.

    Returns:
        Memory in bytes.
    """
    return _REQUEST_BYTES + _COPIES * size + _FIELD_BYTES * fields


def body_cost(size: int) -> int:
    """Estimate the memory that received bytes of a body take, in bytes."""
    return _COPIES * size


@dataclass(slots=True)
class _Wait:
    """What is awaited of a client, since when, and until when."""

    cause: Cause
    since: float
    deadline: float


class ConnectionTable(Generic[_Key]):
    """Connections of a listener, by what they are doing.

    A connection is idle, or its client is waited for (it sends a request or
    takes a response), or its request is handled.  Only the first two kinds
    are ever closed for others.

    Args:
        limits: Limits of the listener.
    """

    def __init__(self, limits: ListenerLimits) -> None:
        self._limits = limits
        self._max_connections = limits.connections
        self._connections: set[_Key] = set()
        # Both in the order of their last use.
        self._fresh: dict[_Key, float] = {}
        self._idle: dict[_Key, float] = {}
        # In the order in which the wait began.
        self._waits: dict[_Key, _Wait] = {}
        # Refused, and open so that the client can read the response.
        self._refused: dict[_Key, _Wait] = {}
        self._bytes: dict[_Key, int] = {}
        self._total_bytes = 0
        self._counts: Counter[str] = Counter()

    @property
    def limits(self) -> ListenerLimits:
        """Limits of the listener."""
        return self._limits

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def used_bytes(self) -> int:
        """Estimated memory of the requests that aren't answered."""
        return self._total_bytes

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of closed and refused connections by cause."""
        return MappingProxyType(self._counts)

    def count(self, cause: Cause) -> None:
        """Count a connection that is closed or refused."""
        self._counts[cause.value] += 1

    def reserve_descriptors(self, count: int) -> None:
        """Lower the limit on connections, by at most three quarters.

        Args:
            count: Descriptors that the process uses otherwise.
        """
        limit = self._limits.connections
        self._max_connections = max(limit // 4, limit - count)

    def open(self, key: _Key, *, now: float) -> None:
        """Add a connection, which is idle."""
        self._connections.add(key)
        self._fresh[key] = now

    def close(self, key: _Key) -> None:
        """Remove a connection; the memory of its request stays in use."""
        self._connections.discard(key)
        self._fresh.pop(key, None)
        self._idle.pop(key, None)
        self._waits.pop(key, None)
        self._refused.pop(key, None)

    def refuse(
        self, key: _Key, cause: Cause, *, seconds: float, now: float
    ) -> None:
        """Record that a connection is refused, and release its memory.

        Args:
            key: The connection.
            cause: Why it is refused.
            seconds: Longest time from now until it is closed.
            now: Current time of a monotonic clock, in seconds.
        """
        self.release(key)
        self.start_request(key)
        self._refused[key] = _Wait(cause, now, now + seconds)

    def find_surplus(
        self, *, is_quiet: Callable[[_Key], bool], now: float
    ) -> _Key | None:
        """Choose a connection to close so that another can be opened.

        Args:
            is_quiet: Whether nothing has been received on an idle connection
                that is still unread.
            now: Current time of a monotonic clock, in seconds.

        Returns:
            The connection; None if there is none.
        """
        fresh_until = now - _FRESH_SECONDS
        idle = _first_quiet(self._idle, is_quiet, until=now)
        unused = chain(
            self._refused,
            _first_quiet(self._fresh, is_quiet, until=fresh_until),
        )
        arriving = chain(
            self._first_wait(until=now - _ARRIVAL_SECONDS),
            *self._latest(is_quiet, now),
        )
        choices = chain(unused, idle, arriving)
        if self._limits.keeps_idle:
            choices = chain(unused, arriving, idle)
        return next(choices, None)

    def has_room(self) -> bool:
        """Return whether another connection may be opened."""
        return len(self._connections) < self._max_connections

    def start_wait(
        self, key: _Key, cause: Cause, *, seconds: float, now: float
    ) -> None:
        """Record that a client is waited for, or still waited for.

        Args:
            key: Connection of the client.
            cause: Why the connection is closed after this time.
            seconds: Longest wait from now.
            now: Current time of a monotonic clock, in seconds.
        """
        if key not in self._connections:
            return
        wait = self._waits.get(key)
        if wait is None:
            self._fresh.pop(key, None)
            self._idle.pop(key, None)
            self._waits[key] = _Wait(cause, now, now + seconds)
        else:
            wait.cause = cause
            wait.deadline = now + seconds

    def start_request(self, key: _Key) -> None:
        """Record that a request is complete, and handled from now on."""
        self._fresh.pop(key, None)
        self._idle.pop(key, None)
        self._waits.pop(key, None)

    def end_request(self, key: _Key, *, now: float) -> None:
        """Record that a request is answered, and release its memory."""
        self.release(key)
        if key in self._connections:
            self._waits.pop(key, None)
            self._idle.pop(key, None)
            self._idle[key] = now

    def use_memory(self, key: _Key, size: int) -> tuple[_Key, ...]:
        """Add to the memory of a connection's request.

        Args:
            key: The connection.
            size: Additional memory, in bytes.

        Returns:
            Connections to close so that the memory suffices: those whose
            clients have been waited for longest, and at last this one.
        """
        self._bytes[key] = self._bytes.get(key, 0) + size
        self._total_bytes += size
        if self._total_bytes <= self._limits.memory_bytes:
            return ()
        return self._find_users(key)

    def release(self, key: _Key) -> None:
        """Release the memory of a connection's request."""
        self._total_bytes -= self._bytes.pop(key, 0)

    def expired(self, *, now: float) -> tuple[tuple[_Key, Cause], ...]:
        """Return connections whose clients were waited for too long."""
        return tuple(
            (key, wait.cause)
            for key, wait in chain(self._waits.items(), self._refused.items())
            if wait.deadline <= now
        )

    def _find_users(self, key: _Key) -> tuple[_Key, ...]:
        excess = self._total_bytes - self._limits.memory_bytes
        users: list[_Key] = []
        for other in self._waits:
            if excess <= 0:
                return tuple(users)
            size = self._bytes.get(other, 0)
            if size:
                users.append(other)
                excess -= size
        if excess > 0 and key not in users:
            users.append(key)
        return tuple(users)

    def _latest(
        self, is_quiet: Callable[[_Key], bool], now: float
    ) -> tuple[Iterator[_Key], ...]:
        """Return the last choices, those of the more frequent kind first.

        A burst of hostile clients is of one kind, and must not push out what
        ordinary clients are sending.
        """
        fresh = _first_quiet(self._fresh, is_quiet, until=now)
        waiting = self._first_wait(until=now)
        if len(self._waits) > len(self._fresh):
            return (waiting, fresh)
        return (fresh, waiting)

    def _first_wait(self, *, until: float) -> Iterator[_Key]:
        for key, wait in self._waits.items():
            if wait.since <= until:
                yield key
            break


def _first_quiet(
    candidates: Mapping[_Key, float],
    is_quiet: Callable[[_Key], bool],
    *,
    until: float,
) -> Iterator[_Key]:
    """Yield the least recently used quiet connection, if there is one.

    Args:
        candidates: Time of last use by connection, in this order.
        is_quiet: Whether a connection has no unread input.
        until: Latest time of last use.
    """
    for examined, (key, used_at) in enumerate(candidates.items()):
        if used_at > until or examined >= _MAX_EXAMINED:
            return
        if is_quiet(key):
            yield key
            return
