"""A simulation of document replicas over a lossy network with delays."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from cuminstack.core import InstanceId, Send, ZoneName
from cuminstack.document import (
    FIRST_DISK,
    Chosen,
    DiskId,
    Document,
    Done,
    EvacuationOrder,
    NewInForce,
    Outcome,
    Persist,
    Replica,
    ReplicaState,
    initial_state,
)


@dataclass(order=True)
class _Event:
    at: float
    number: int
    action: Callable[[], None] = field(compare=False)


class DocumentWorld:
    """Control instances with disks, on simulated time.

    Args:
        names: The one-letter names of the initial replicas.
        seed: The seed of delays and losses.
    """

    def __init__(self, names: str = 'abc', *, seed: int = 1) -> None:
        self.now = 100.0
        self.random_source = random.Random(seed)
        self.loss_rate: float = 0
        self.cut_links: set[frozenset[InstanceId]] = set()
        self.down: set[InstanceId] = set()
        self.disks: dict[InstanceId, ReplicaState] = {}
        self.incarnations: dict[InstanceId, int] = {}
        self.documents: dict[InstanceId, Document] = {}
        self.outcomes: dict[int, Outcome] = {}
        self._tickets = count(1)
        self._numbers = count()
        self._events: list[_Event] = []
        founders = tuple(
            Replica(InstanceId(name), FIRST_DISK) for name in names
        )
        for founder in founders:
            self.disks[founder.instance] = initial_state(FIRST_DISK, founders)
            self.boot(founder.instance)

    def boot(self, name: InstanceId) -> None:
        """Start an instance from its disk."""
        self.down.discard(name)
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.documents[name] = Document(
            name,
            self.disks[name],
            random_source=self.random_source,
        )

    def stop(self, name: InstanceId) -> None:
        """Cut the power of an instance; syncs in progress are lost."""
        self.down.add(name)
        self.incarnations[name] += 1

    def wipe(self, name: InstanceId, disk: int) -> None:
        """Start an instance with an empty disk."""
        self.disks[name] = initial_state(DiskId(disk))
        self.boot(name)

    def submit(self, name: str, version: int, body: bytes) -> int:
        """Submit a document and return the ticket of its outcome."""
        ticket = next(self._tickets)
        document = self.documents[InstanceId(name)]
        self.perform(
            InstanceId(name),
            document.submit(version, body, ticket=ticket, now=self.now),
        )
        return ticket

    def order(self, name: str, zone: str, *, starts: bool = True) -> int:
        """Start or withdraw an evacuation and return the outcome's ticket."""
        ticket = next(self._tickets)
        order = EvacuationOrder(ZoneName(zone), starts)
        document = self.documents[InstanceId(name)]
        self.perform(
            InstanceId(name),
            document.order_evacuation(order, ticket=ticket, now=self.now),
        )
        return ticket

    def read(self, name: str) -> int:
        """Read through a majority and return the ticket of the outcome."""
        ticket = next(self._tickets)
        document = self.documents[InstanceId(name)]
        self.perform(
            InstanceId(name),
            document.read(ticket=ticket, now=self.now),
        )
        return ticket

    def join(self, name: str, replaced: Replica | None) -> None:
        """Have an instance join the replica set."""
        document = self.documents[InstanceId(name)]
        self.perform(
            InstanceId(name),
            document.join(replaced, ticket=0, now=self.now),
        )

    def run_for(self, seconds: float) -> None:
        """Advance the simulated time in steps of 20 ms."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.02
            while self._events and self._events[0].at <= self.now:
                heapq.heappop(self._events).action()
            for name, document in self.documents.items():
                if name not in self.down:
                    self.perform(name, document.tick(now=self.now))

    def perform(self, name: InstanceId, effects: tuple[Any, ...]) -> None:
        """Perform the effects that the document of an instance returned."""
        for effect in effects:
            match effect:
                case Send():
                    self._send(name, effect)
                case Persist():
                    self._start_sync(name, effect.state)
                case Done():
                    self.outcomes[effect.ticket] = effect.outcome
                case NewInForce():
                    self._broadcast(name, effect.chosen)

    def _broadcast(self, name: InstanceId, chosen: Chosen) -> None:
        for other in self.documents:
            self._send(name, Send(other, chosen))

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        event = _Event(self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def _send(self, name: InstanceId, send: Send) -> None:
        if self.random_source.random() < self.loss_rate or send.to == name:
            return
        self._schedule(
            self.random_source.uniform(0.001, 0.05),
            lambda: self._deliver(name, send),
        )

    def _deliver(self, sender: InstanceId, send: Send) -> None:
        is_cut = frozenset((sender, send.to)) in self.cut_links
        if is_cut or send.to in self.down or send.to not in self.documents:
            return
        document = self.documents[send.to]
        if isinstance(send.message, Chosen):
            self.perform(send.to, document.learn(send.message))
            return
        self.perform(
            send.to,
            document.receive(sender, send.message, now=self.now),
        )

    def _start_sync(self, name: InstanceId, state: ReplicaState) -> None:
        incarnation = self.incarnations[name]

        def finish_sync() -> None:
            if self.incarnations[name] == incarnation:
                self.disks[name] = state
                document = self.documents[name]
                self.perform(name, document.persisted(now=self.now))

        self._schedule(self.random_source.uniform(0.005, 0.02), finish_sync)
