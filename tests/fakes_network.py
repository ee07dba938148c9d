"""An in-memory network of sans-IO parts, on a simulated clock."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from string import ascii_lowercase
from typing import Any

from cuminstack import wire
from cuminstack.core import Instance, InstanceId, ZoneName


def make_instances(zones: int, each: int) -> tuple[Instance, ...]:
    """Give the instances `a1`, `a2`, … of zones `a`, `b`, …."""
    return tuple(
        make_instance(zone + str(number + 1))
        for zone in ascii_lowercase[:zones]
        for number in range(each)
    )


def make_instance(name: str, incarnation: int = 0) -> Instance:
    """Give one instance; its zone is the first letter of its name."""
    return Instance(
        instance=InstanceId(name),
        zone=ZoneName(name[0]),
        incarnation=incarnation,
        peer_address=f'{name}:1',
        endpoint_address=f'{name}:2',
    )


@dataclass(order=True)
class Parcel:
    """A frame under way."""

    due: float
    number: int
    sender: str = field(compare=False)
    to: str = field(compare=False)
    frame: bytes = field(compare=False)


class FakeNetwork:
    """Delays, reorders, drops, duplicates and cuts frames."""

    def __init__(self, seed: int = 0, *, delay: float = 0.001) -> None:
        self.chance = Random(seed)
        self.delay = delay
        self.jitter: float = 0
        self.loss: float = 0
        self.copies: float = 0
        self.cuts: set[tuple[str, str]] = set()
        self.frames = 0
        self.frame_bytes = 0
        self._parcels: list[Parcel] = []
        self._number = 0

    @property
    def next_due(self) -> float:
        return self._parcels[0].due if self._parcels else float('inf')

    def cut(self, senders: str, receivers: str) -> None:
        """Drop all frames from some names (space-separated) to others."""
        self.cuts |= {
            (sender, to)
            for sender in senders.split()
            for to in receivers.split()
        }

    def part(self, near: str, far: str) -> None:
        """Cut both ways."""
        self.cut(near, far)
        self.cut(far, near)

    def heal(self) -> None:
        self.cuts.clear()

    def send(self, sender: str, to: str, message: Any, now: float) -> None:
        frame = wire.encode(message)
        self.frames += 1
        self.frame_bytes += len(frame)
        if (sender, to) in self.cuts or self.chance.random() < self.loss:
            return
        self._post(sender, to, frame, now)
        if self.chance.random() < self.copies:
            self._post(sender, to, frame, now)

    def deliver(
        self,
        until: float,
        receive: Callable[[str, str, Any, float], None],
    ) -> None:
        """Hand over, in order of time, what is due."""
        while self.next_due <= until:
            parcel = heapq.heappop(self._parcels)
            if (parcel.sender, parcel.to) not in self.cuts:
                message = wire.decode(parcel.frame)
                receive(parcel.sender, parcel.to, message, parcel.due)

    def _post(self, sender: str, to: str, frame: bytes, now: float) -> None:
        self._number += 1
        due = now + self.delay + self.chance.random() * self.jitter
        parcel = Parcel(due, self._number, sender, to, frame)
        heapq.heappush(self._parcels, parcel)
