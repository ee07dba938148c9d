"""An in-memory network for sans-IO components, on a simulated clock."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from string import ascii_lowercase
from typing import Any

from cuminstack import wire
from cuminstack.core import Instance, InstanceId, ZoneName


def make_instances(zones: int, per_zone: int) -> tuple[Instance, ...]:
    """Return the instances `a1`, `a2`, … of zones `a`, `b`, …."""
    return tuple(
        make_instance(zone + str(number + 1))
        for zone in ascii_lowercase[:zones]
        for number in range(per_zone)
    )


def make_instance(name: str, incarnation: int = 0) -> Instance:
    """Return an instance whose zone is the first letter of its name."""
    return Instance(
        instance=InstanceId(name),
        zone=ZoneName(name[0]),
        incarnation=incarnation,
        peer_address=f'{name}:1',
        endpoint_address=f'{name}:2',
    )


@dataclass(order=True)
class InFlightFrame:
    """A frame in flight, ordered by the time of its delivery."""

    due: float
    number: int
    sender: str = field(compare=False)
    to: str = field(compare=False)
    frame: bytes = field(compare=False)


class FakeNetwork:
    """Delivers frames, and delays, reorders, drops or duplicates them.

    Args:
        seed: Seed of the random faults.
        delay: Minimum one-way delay, in seconds.

    Attributes:
        jitter: Maximum random delay in addition, in seconds.
        loss: Probability that a frame is lost.
        copies: Probability that a frame is duplicated.
        cuts: Pairs of sender and receiver whose frames are dropped.
        frames: Number of frames sent, lost ones included.
        frame_bytes: Total size of these frames.
    """

    def __init__(self, seed: int = 0, *, delay: float = 0.001) -> None:
        self.random = Random(seed)
        self.delay = delay
        self.jitter: float = 0
        self.loss: float = 0
        self.copies: float = 0
        self.cuts: set[tuple[str, str]] = set()
        self.frames = 0
        self.frame_bytes = 0
        self._in_flight: list[InFlightFrame] = []
        self._number = 0

    @property
    def next_due(self) -> float:
        return self._in_flight[0].due if self._in_flight else float('inf')

    def cut(self, senders: str, receivers: str) -> None:
        """Drop all frames from some instances to others.

        Args:
            senders: Names of instances, separated by spaces.
            receivers: Names of instances, separated by spaces.
        """
        self.cuts |= {
            (sender, to)
            for sender in senders.split()
            for to in receivers.split()
        }

    def partition(self, near: str, far: str) -> None:
        """Drop all frames between two groups, in both directions."""
        self.cut(near, far)
        self.cut(far, near)

    def heal(self) -> None:
        self.cuts.clear()

    def send(self, sender: str, to: str, message: Any, now: float) -> None:
        frame = wire.encode(message)
        self.frames += 1
        self.frame_bytes += len(frame)
        if (sender, to) in self.cuts or self.random.random() < self.loss:
            return
        self._enqueue(sender, to, frame, now)
        if self.random.random() < self.copies:
            self._enqueue(sender, to, frame, now)

    def deliver(
        self,
        until: float,
        receive: Callable[[str, str, Any, float], None],
    ) -> None:
        """Deliver the frames that are due, in order of time.

        Args:
            until: Time up to which frames are due, in seconds.
            receive: Called with sender, receiver, message and time.
        """
        while self.next_due <= until:
            item = heapq.heappop(self._in_flight)
            if (item.sender, item.to) not in self.cuts:
                message = wire.decode(item.frame)
                receive(item.sender, item.to, message, item.due)

    def _enqueue(self, sender: str, to: str, frame: bytes, now: float) -> None:
        self._number += 1
        due = now + self.delay + self.random.random() * self.jitter
        item = InFlightFrame(due, self._number, sender, to, frame)
        heapq.heappush(self._in_flight, item)
