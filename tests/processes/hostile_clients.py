"""Clients that misuse a listener, and figures of the process behind it."""

import selectors
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from itertools import chain, count, repeat
from pathlib import Path
from typing import Final

from cuminstack.settings import Address

#: Header field that is allowed by the HTTP parser's default limits.
_FIELD_BYTES: Final = 7000
_FIELDS: Final = 100
#: Fields of four bytes within the default limit of a header section.
_MANY_FIELDS: Final = 16_000
#: Body that is within the limit of the desired state (262,144 bytes).
_BODY_BYTES: Final = 260_000
#: Body that is within the limit on desired states.
STATE_BODY_BYTES: Final = 4_000_000
#: Bytes after which a client that is never cut off gives up.
_MAX_SENT_BYTES: Final = 30_000_000
#: Longest duration of an attack, in seconds.
_ATTACK_SECONDS: Final = 3.0
_POLL_SECONDS: Final = 0.02
_MEBIBYTE: Final = 1_048_576

Payloads = Iterator[bytes]


@dataclass(frozen=True, slots=True)
class Target:
    """A listener, and requests that it understands.

    Args:
        address: Address of the listener.
        path: Path of an ordinary request.
        host: `Host` header of the requests.
        submission: Start of a request that is in progress for long, complete
            with its body; empty if the listener has none.
        upload: Request line target that takes a body.
        upload_method: Method of the request that takes a body.
        upload_bytes: Size of the largest body to send there.
        dense_body: Complete body of as many values as fit; one of
            `upload_bytes` without a meaning if empty.
        status: Status of the response to an ordinary request.
    """

    address: Address
    path: str
    host: str = 'h.example'
    submission: bytes = b''
    upload: str = ''
    upload_method: str = 'POST'
    upload_bytes: int = _BODY_BYTES
    dense_body: bytes = b''
    status: int = 200

    @property
    def opening(self) -> bytes:
        """Request line and `Host` field of an ordinary request."""
        return f'GET {self.path} HTTP/1.1\r\nHost: {self.host}\r\n'.encode()

    @property
    def upload_opening(self) -> bytes:
        """Request line and `Host` field of a request with a body."""
        path = self.upload or self.path
        line = f'{self.upload_method} {path} HTTP/1.1'
        return f'{line}\r\nHost: {self.host}\r\n'.encode()


def _fields() -> bytes:
    return b''.join(
        b'X-%d: %s\r\n' % (number, b'a' * _FIELD_BYTES)
        for number in range(_FIELDS)
    )


def held_headers(target: Target) -> Payloads:
    """Header section over the limit that is held open."""
    yield b'%s%s' % (target.opening, _fields())


def endless_headers(target: Target) -> Payloads:
    """Header section without end."""
    yield target.opening
    for number in count():
        yield b'X-%d: %s\r\n' % (number, b'a' * _FIELD_BYTES)


def endless_field(target: Target) -> Payloads:
    """A header field without end."""
    yield target.opening
    yield b'X: '
    yield from repeat(b'a' * _FIELD_BYTES)


def empty_lines(target: Target) -> Payloads:
    """Empty lines without end before a request."""
    return repeat(b'\r\n' * _FIELD_BYTES)


def slow_headers(target: Target) -> Payloads:
    """Unfinished header section."""
    yield b'%sX: a' % target.opening


def idle(target: Target) -> Payloads:
    """No request at all."""
    return iter(())


def pipelined(target: Target) -> Payloads:
    """Large requests without end behind one that is in progress."""
    if target.submission:
        yield target.submission
    yield from repeat(b'%s%s\r\n' % (target.opening, _fields()))


def unfinished_bodies(target: Target) -> Payloads:
    """Body of which the end is not sent."""
    size = target.upload_bytes
    yield target.upload_opening
    yield b'Content-Length: %d\r\n\r\n' % (size + 1)
    yield b'a' * size


def endless_bodies(target: Target) -> Payloads:
    """Chunked body without end."""
    yield target.upload_opening
    yield b'Transfer-Encoding: chunked\r\n\r\n'
    yield from repeat(b'1b58\r\n%s\r\n' % (b'a' * _FIELD_BYTES))


def small_chunks(target: Target) -> Payloads:
    """Body without end in chunks of one byte."""
    yield target.upload_opening
    yield b'Transfer-Encoding: chunked\r\n\r\n'
    yield from repeat(b'1\r\na\r\n' * _FIELD_BYTES)


def many_fields(target: Target) -> Payloads:
    """Complete requests of as many header fields as fit."""
    return repeat(b'%s%s\r\n' % (target.opening, b'a:\r\n' * _MANY_FIELDS))


def endless_trailers(target: Target) -> Payloads:
    """Chunked body with trailer fields without end."""
    yield target.upload_opening
    yield b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n'
    yield from repeat(b'a:\r\n' * _FIELD_BYTES)


def upgraded(target: Target) -> Payloads:
    """Bytes without end behind a request for another protocol."""
    yield b'%sConnection: Upgrade\r\nUpgrade: x\r\n\r\n' % target.opening
    yield from repeat(b'a' * _FIELD_BYTES)


def dense_bodies(target: Target) -> Payloads:
    """Complete requests, whose bodies take far more memory when parsed."""
    body = target.dense_body or b'a' * target.upload_bytes
    size = b'Content-Length: %d\r\n\r\n' % len(body)
    return chain.from_iterable(repeat((target.upload_opening, size, body)))


def unread_responses(target: Target) -> Payloads:
    """Ordinary requests without end, whose responses are not read."""
    return repeat(b'%s\r\n' % target.opening)


@dataclass(frozen=True, slots=True)
class Attack:
    """A kind of clients.

    Args:
        payloads: Returns what a client sends.
        clients: Number of connections.
        is_cut_off: Whether each client must be cut off while it stays
            connected.
    """

    payloads: Callable[[Target], Payloads]
    clients: int
    is_cut_off: bool = False


@dataclass(slots=True)
class _Client:
    connection: socket.socket
    payloads: Payloads
    unsent: memoryview = memoryview(b'')
    sent_bytes: int = 0

    def send(self) -> bool:
        """Send what fits; return whether there is more to send."""
        if not self.unsent:
            self.unsent = memoryview(next(self.payloads, b''))
        if not self.unsent or self.sent_bytes > _MAX_SENT_BYTES:
            return False
        try:
            sent = self.connection.send(self.unsent)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.sent_bytes += sent
        self.unsent = self.unsent[sent:]
        return True


class ProcessFigures:
    """Memory and descriptors of a process."""

    def __init__(self, pid: int) -> None:
        self._folder = Path('/proc') / str(pid)
        self.max_descriptors = 0

    @property
    def descriptors(self) -> int:
        """Number of open descriptors now."""
        return len(list((self._folder / 'fd').iterdir()))

    @property
    def memory_mb(self) -> float:
        """Resident memory in mebibytes."""
        return self._status('VmRSS')

    @property
    def peak_mb(self) -> float:
        """Largest resident memory so far, in mebibytes."""
        return self._status('VmHWM')

    def sample(self) -> None:
        """Record the largest number of descriptors."""
        self.max_descriptors = max(self.max_descriptors, self.descriptors)

    def _status(self, name: str) -> float:
        lines = (self._folder / 'status').read_text().splitlines()
        fields = dict(line.split(':', 1) for line in lines)
        return int(fields[name].split()[0]) * 1024 / _MEBIBYTE


class HostileClients:
    """Connections of an attack, which are closed on exit.

    Args:
        attack: Kind of the clients.
        target: Listener that they connect to.
    """

    def __init__(self, attack: Attack, target: Target) -> None:
        self._attack = attack
        self._target = target
        self._open = ExitStack()

    def __enter__(self) -> 'HostileClients':
        return self

    def __exit__(self, *error: object) -> None:
        self._open.close()

    def run(self, figures: ProcessFigures) -> None:
        """Connect and send until all is sent, refused, or time is up.

        Args:
            figures: Figures of the process, which are sampled.
        """
        deadline = time.monotonic() + _ATTACK_SECONDS
        selector = self._open.enter_context(selectors.DefaultSelector())
        for _ in range(self._attack.clients):
            self._connect(selector)
            figures.sample()
        while selector.get_map() and time.monotonic() < deadline:
            for key, _ in selector.select(_POLL_SECONDS):
                if not key.data.send():
                    selector.unregister(key.fileobj)
            figures.sample()

    def _connect(self, selector: selectors.BaseSelector) -> None:
        address = (self._target.address.host, self._target.address.port)
        connection = self._open.enter_context(socket.socket())
        connection.settimeout(_ATTACK_SECONDS)
        # The process may refuse the connection, or be too busy to accept it.
        with suppress(OSError):
            connection.connect(address)
            connection.setblocking(False)
            client = _Client(connection, self._attack.payloads(self._target))
            selector.register(connection, selectors.EVENT_WRITE, client)
