"""Links between instances, over the loopback interface."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import pytest
from bench._polling import until
from bench._ports import LOOPBACK, free_ports
from websockets.asyncio.client import ClientConnection, connect

from cuminstack import wire
from cuminstack.core import InstanceId, JobKey
from cuminstack.fleet import EntryBeat
from cuminstack.links._accepted import AcceptedLink
from cuminstack.links._keepalive import reset
from cuminstack.links._links import Hello, PeerLink, PeerListener
from cuminstack.listeners import (
    Cause,
    ConnectionOptions,
    Listeners,
    MachineLimits,
)
from cuminstack.settings import Address

OWN = InstanceId('a')
#: Heartbeats of a busy entry, which differ in a few jobs.
BEATS = 50
JOBS = 40
TIMEOUT_SECONDS = 30
MEGABYTE = 1 << 20


class _Link:
    """A link and what arrives at its other end."""

    def __init__(self) -> None:
        self.received: list[Any] = []
        self.sent_bytes = 0
        self._arrived = asyncio.Event()

    @asynccontextmanager
    async def run(self) -> AsyncIterator[PeerLink]:
        address = Address(LOOPBACK, *free_ports(1))
        listeners = Listeners(MachineLimits(), ConnectionOptions())
        listener = PeerListener(
            None,
            receive=self._receive,
            reject=lambda *_: None,
            listeners=listeners,
        )
        await listener.start(address)

        async def link_opens() -> bool:
            return link.is_open

        link = PeerLink(
            address,
            Hello(OWN, 1),
            max_retry_seconds=0.1,
            on_refused=lambda: None,
        )
        task = asyncio.create_task(link.run())
        await until(link_opens, seconds=TIMEOUT_SECONDS)
        self._count_bytes(link)
        yield link
        task.cancel()
        await listener.stop()
        listeners.stop()

    async def wait_for(self, count: int) -> None:
        while len(self.received) < count:
            self._arrived.clear()
            await self._arrived.wait()

    def _receive(self, sender: InstanceId, message: Any) -> None:
        self.received.append(message)
        self._arrived.set()

    def _count_bytes(self, link: PeerLink) -> None:
        assert link._connection is not None
        transport: Any = link._connection.transport
        write = transport.write

        def count_and_write(chunk: bytes) -> None:
            self.sent_bytes += len(chunk)
            write(chunk)

        transport.write = count_and_write


@pytest.mark.asyncio
class TestCompression:
    """Frames repeat the ones before them, and cost traffic between zones."""

    async def test_repetitive_frames(self) -> None:
        """Guards against heartbeats that carry each job's key in full."""
        link = _Link()
        jobs = [JobKey(os.urandom(8).hex()) for _ in range(JOBS + BEATS)]
        beats = [
            EntryBeat(stamp, 1, OWN, tuple(jobs[stamp : stamp + JOBS]))
            for stamp in range(BEATS)
        ]
        async with link.run() as peer_link:
            for beat in beats:
                peer_link.send(wire.encode(beat))
            await link.wait_for(BEATS)
        assert link.received == beats
        uncompressed = b''.join(map(wire.encode, beats))
        assert link.sent_bytes < len(uncompressed) / 2


class TestReset:
    """Links that have gone silent."""

    # Guards against a dispatcher that resigns seconds after a partition has
    # healed, as a heartbeat that was held up arrived on a link given up before.
    async def test_nothing_is_delivered_after_a_reset(self) -> None:
        readers: asyncio.Queue[asyncio.StreamReader] = asyncio.Queue()

        async def accept(
            reader: asyncio.StreamReader, _: asyncio.StreamWriter
        ) -> None:
            await readers.put(reader)

        server = await asyncio.start_server(accept, '127.0.0.1')
        async with server:
            address = server.sockets[0].getsockname()
            _, writer = await asyncio.open_connection(*address)
            reader = await readers.get()
            # More than the buffers of both ends hold, as the peer doesn't read.
            writer.write(bytes(32 * MEGABYTE))
            reset(cast(ClientConnection, writer))
            with pytest.raises(ConnectionResetError):
                await reader.read()


class _Peer:
    """A client of a listener for peers, and what the listener delivers."""

    def __init__(self) -> None:
        self.received: list[Any] = []
        self.address = Address(LOOPBACK, *free_ports(1))
        self.listeners = Listeners(
            MachineLimits(memory_mb=160, descriptors=400),
            ConnectionOptions(header_seconds=0.3),
        )

    @asynccontextmanager
    async def run(self) -> AsyncIterator[ClientConnection]:
        listener = PeerListener(
            None,
            receive=lambda _, message: self.received.append(message),
            reject=lambda *_: None,
            listeners=self.listeners,
        )
        await listener.start(self.address)
        try:
            async with connect(f'ws://{self.address}', proxy=None) as link:
                yield link
        finally:
            await listener.stop()
            self.listeners.stop()

    async def wait_closed(self, link: ClientConnection, cause: str) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await link.wait_closed()
        assert self.listeners.closed == {f'peers_{cause}': 1}


class TestLimits:
    """Clients of the listener for peers exceed its limits."""

    # Guards against connections that stay open without an instance behind.
    async def test_no_first_message(self) -> None:
        peer = _Peer()
        async with peer.run() as link:
            await peer.wait_closed(link, 'slow_header')

    # Guards against a listener that looks for room without end, as a link that
    # is closing is chosen again and again.
    async def test_closing_link_makes_room(self) -> None:
        peer = _Peer()
        async with peer.run():
            table = peer.listeners._listeners[0].table
            accepted = next(iter(table._connections))
            assert isinstance(accepted, AcceptedLink)
            accepted.transport.close()
            accepted.cut(Cause.idle)
            assert not table.connections

    # Guards against messages that are kept in memory until they are complete.
    async def test_fragments(self) -> None:
        peer = _Peer()
        async with peer.run() as link:
            await link.send(wire.encode(Hello(OWN, 1)))
            await link.send([b'a', b'b'])
            await peer.wait_closed(link, 'malformed')

    async def test_message_larger_than_memory(self) -> None:
        peer = _Peer()
        async with peer.run() as link:
            await link.send(wire.encode(Hello(OWN, 1)))
            await link.send(bytes(7 * MEGABYTE))
            await peer.wait_closed(link, 'malformed')

    # Guards against a limit that the desired state of a deployment meets.
    async def test_large_message(self) -> None:
        peer = _Peer()
        message = Hello(InstanceId('a' * 6 * MEGABYTE), 1)

        async def is_received() -> bool:
            return peer.received == [message]

        async with peer.run() as link:
            await link.send(wire.encode(Hello(OWN, 1)))
            await link.send(wire.encode(message))
            await until(is_received, seconds=TIMEOUT_SECONDS)
        assert peer.listeners.used_bytes == {'peers': 0}
        assert not peer.listeners.closed
