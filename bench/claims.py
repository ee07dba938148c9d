"""Latency and bytes of a claim, beside a synced write and a round trip.

`python -m bench.claims` runs three replicas and a claimant over websockets on
loopback, all in this process, so the figures hold the work of four.
"""

import asyncio
import os
import tempfile
import time
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Final, TypeVar

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve

from cuminstack import wire
from cuminstack.claims import ClaimClient, Claimed, ClaimReplica, ClaimView
from cuminstack.core import (
    Instance,
    InstanceId,
    JobId,
    JobKey,
    MemberName,
    Send,
    ZoneName,
)

_ROUNDS: Final = 1000
_WRITES: Final = 300
_CONCURRENT: Final = 32
_KEY_CHARACTERS: Final = 36
_HOST: Final = '127.0.0.1'

_Item = TypeVar('_Item')


def make_instance(number: int) -> Instance:
    """Give one instance of a zone of its own."""
    return Instance(
        instance=InstanceId(f'zone-{number}-1'),
        zone=ZoneName(f'zone-{number}'),
        incarnation=1_764_826_429_000,
        peer_address=f'{_HOST}:1',
        endpoint_address=f'{_HOST}:2',
    )


REPLICAS: Final = tuple(make_instance(number) for number in range(3))
VIEW: Final = ClaimView(1, REPLICAS)
CLAIMANT: Final = make_instance(9)


def make_job(number: int) -> JobId:
    """Give a job with a key of usual length."""
    key = str(number).zfill(_KEY_CHARACTERS)
    return JobId(MemberName('tkemali'), JobKey(key))


async def in_turn(items: Iterable[_Item]) -> AsyncIterator[_Item]:
    """Go through items with an await between them."""
    for item in items:
        yield item


def decode(frame: str | bytes) -> Any:
    """Decode a frame, which is always binary."""
    assert isinstance(frame, bytes)
    return wire.decode(frame)


@dataclass(slots=True)
class Cost:
    """Frames and bytes that went either way."""

    frames: int = 0
    frame_bytes: int = 0

    def count(self, frame: bytes) -> bytes:
        """Note a frame."""
        self.frames += 1
        self.frame_bytes += len(frame)
        return frame


@dataclass(slots=True)
class Claimant:
    """A claimant with a connection to each replica."""

    client: ClaimClient
    links: dict[InstanceId, ClientConnection]
    cost: Cost = field(default_factory=Cost)
    waiting: dict[JobId, asyncio.Future[None]] = field(default_factory=dict)

    async def claim(self, number: int) -> float:
        """Claim a job and give the seconds that it took."""
        job = make_job(number)
        done = asyncio.get_running_loop().create_future()
        self.waiting[job] = done
        begun = time.perf_counter()
        await self.apply(self.client.claim(job, bytes(16), now=begun))
        await done
        return time.perf_counter() - begun

    async def apply(self, effects: Any) -> None:
        """Send, and wake who waits."""
        async for effect in in_turn(effects):
            if isinstance(effect, Send):
                frame = self.cost.count(wire.encode(effect.message))
                await self.links[effect.to].send(frame)
            elif isinstance(effect, Claimed):
                self.waiting.pop(effect.job).set_result(None)

    async def listen(self, replica: InstanceId) -> None:
        """Take the votes of one replica."""
        async for frame in self.links[replica]:
            vote = decode(frame)
            self.cost.count(wire.encode(vote))
            now = time.perf_counter()
            await self.apply(self.client.receive(replica, vote, now=now))


async def answer(replica: ClaimReplica, link: ServerConnection) -> None:
    """Answer what the claimant asks on one connection."""
    async for frame in link:
        sends = replica.receive(
            CLAIMANT.instance,
            decode(frame),
            now=time.perf_counter(),
        )
        async for send in in_turn(sends):
            await link.send(wire.encode(send.message))


async def echo(link: ServerConnection) -> None:
    """Send back what comes."""
    async for frame in link:
        await link.send(frame)


def make_replica(own: Instance) -> ClaimReplica:
    """Give a replica that votes at once."""
    replica = ClaimReplica(own, VIEW, now=0)
    replica.assume_fresh()
    return replica


async def run_replica(own: Instance) -> Server:
    """Serve one replica on a free port."""
    handler = partial(answer, make_replica(own))
    return await serve(handler, _HOST, 0, compression=None)


async def open_link(server: Server) -> ClientConnection:
    """Connect to a server of this process."""
    port = next(iter(server.sockets)).getsockname()[1]
    return await connect(f'ws://{_HOST}:{port}', compression=None)


async def measure_round_trip(rounds: int) -> list[float]:
    """Measure the bare round trip of a frame of a claim's size."""
    server = await serve(echo, _HOST, 0, compression=None)
    link = await open_link(server)
    times = []
    async for _ in in_turn(range(rounds)):
        begun = time.perf_counter()
        await link.send(bytes(256))
        await link.recv()
        times.append(time.perf_counter() - begun)
    await link.close()
    server.close()
    return times


def measure_synced_write(folder: Path, rounds: int) -> list[float]:
    """Measure an appended record that is synced."""
    times = []
    with (folder / 'claims').open('ab', buffering=0) as log:
        for _ in range(rounds):
            begun = time.perf_counter()
            log.write(bytes(256))
            os.fsync(log.fileno())
            times.append(time.perf_counter() - begun)
    return times


def measure_decisions(rounds: int) -> list[float]:
    """Measure a claimant and three replicas without any link."""
    client = ClaimClient(CLAIMANT, VIEW)
    replicas = {own.instance: make_replica(own) for own in REPLICAS}
    times = []
    for number in range(rounds):
        begun = time.perf_counter()
        for send in client.claim(make_job(number), bytes(16), now=1):
            assert isinstance(send, Send)
            replica = replicas[send.to]
            votes = replica.receive(CLAIMANT.instance, send.message, now=1)
            client.receive(send.to, votes[0].message, now=1)
        times.append(time.perf_counter() - begun)
    return times


def report(label: str, times: list[float]) -> None:
    """Print the median and the 99th percentile in milliseconds."""
    ordered = sorted(times)
    median = ordered[len(ordered) // 2]
    late = ordered[len(ordered) * 99 // 100]
    shown = (str(round(1000 * took, 3)).rjust(9) for took in (median, late))
    print(label.ljust(44), *shown)


async def measure_one_by_one(claimant: Claimant) -> None:
    """Claim jobs, each when the one before is claimed."""
    numbers = in_turn(range(_ROUNDS))
    times = [await claimant.claim(number) async for number in numbers]
    report('claim, one by one', times)
    await asyncio.sleep(0.1)
    cost = claimant.cost
    print('frames a claim', cost.frames / _ROUNDS)
    print('bytes of frames a claim', cost.frame_bytes / _ROUNDS)


async def measure_crowd(claimant: Claimant) -> None:
    """Claim many jobs at once."""
    times: list[float] = []
    async for first in in_turn(range(_ROUNDS, 2 * _ROUNDS, _CONCURRENT)):
        numbers = range(first, first + _CONCURRENT)
        times += await asyncio.gather(*map(claimant.claim, numbers))
    report(f'claim, {_CONCURRENT} at once', times)


async def measure_claims() -> None:
    """Run the replicas and the claimant."""
    servers = await asyncio.gather(*map(run_replica, REPLICAS))
    links = await asyncio.gather(*map(open_link, servers))
    names = [own.instance for own in REPLICAS]
    claimant = Claimant(
        ClaimClient(CLAIMANT, VIEW),
        dict(zip(names, links, strict=True)),
    )
    listeners = [asyncio.create_task(claimant.listen(name)) for name in names]
    await measure_one_by_one(claimant)
    await measure_crowd(claimant)
    await asyncio.gather(*(link.close() for link in links))
    await asyncio.gather(*listeners)
    for server in servers:
        server.close()


def main() -> None:
    """Print the table."""
    print('milliseconds'.ljust(44), 'p50'.rjust(9), 'p99'.rjust(9))
    asyncio.run(measure_claims())
    times = asyncio.run(measure_round_trip(_ROUNDS))
    report('bare round trip of one frame', times)
    report('decisions of all four, no link', measure_decisions(_ROUNDS))
    with tempfile.TemporaryDirectory() as folder:
        times = measure_synced_write(Path(folder), _WRITES)
    report('synced write of one record', times)


if __name__ == '__main__':
    main()
