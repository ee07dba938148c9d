"""Runs the replicated desired state at a control instance."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

from cuminstack.core import InstanceId, Send
from cuminstack.document import (
    Accept,
    Accepted,
    BallotRefused,
    Chosen,
    Document,
    Done,
    EvacuationOrder,
    Evacuations,
    NewInForce,
    Outcome,
    Persist,
    Prepare,
    Promise,
    Replica,
    Value,
)
from cuminstack.logs import log_event
from cuminstack.roles._clock import steady_now
from cuminstack.roles._ports import RoleSettings
from cuminstack.roles._replica import PendingOperations, ReplicaDisk
from cuminstack.settings import LogLevel

#: Types of the messages that the document handles.
DOCUMENT_MESSAGES: Final = (Accept, Accepted, BallotRefused, Prepare, Promise)
#: Seconds between two attempts to become a replica.
_JOIN_RETRY_SECONDS: Final = 0.5
#: Seconds without a heartbeat after which a replica may be replaced.
_REPLACE_AFTER_SECONDS: Final = 1.0

MessageSender = Callable[[InstanceId, Any], None]
ChosenBroadcaster = Callable[[Chosen], None]


class DesiredStateRunner:
    """Drives the document of a control instance and performs its effects.

    Args:
        settings: Configuration of the process.
        send: Sends a message to an instance.
        broadcast: Sends a newer desired state to all instances.
    """

    def __init__(
        self,
        settings: RoleSettings,
        *,
        send: MessageSender,
        broadcast: ChosenBroadcaster,
    ) -> None:
        self._settings = settings
        self._send = send
        self._broadcast = broadcast
        self._disk = ReplicaDisk(settings.data_folder)
        self._document = Document(
            settings.own,
            self._disk.load(settings),
            random_source=random.Random(),
        )
        self._pending_operations = PendingOperations()
        self._saves: set[asyncio.Task[None]] = set()
        self._join_at: float = 0
        self._announced_zones = self._document.in_force.evacuations

    @property
    def in_force(self) -> Value:
        """The newest desired state that is known to be in force."""
        return self._document.in_force

    @property
    def revision(self) -> int:
        """Number that grows with each value in force."""
        return self._document.revision

    @property
    def latest_chosen(self) -> Chosen:
        """Message for an instance with an older revision."""
        return self._document.chosen

    @property
    def evacuations(self) -> Evacuations:
        """The evacuations that are known to be in force."""
        return self._document.evacuations

    @property
    def unsettled_evacuations(self) -> Evacuations:
        """Those of a newer value that this replica has only accepted."""
        return self._document.unsettled_evacuations

    async def submit(self, version: int, body: bytes) -> Outcome:
        """Submit a desired state and return the outcome."""
        ticket, outcome = self._pending_operations.begin()
        now = steady_now()
        self._perform(
            self._document.submit(version, body, ticket=ticket, now=now),
        )
        return await outcome

    async def order_evacuation(self, order: EvacuationOrder) -> Outcome:
        """Start or withdraw an evacuation and return the outcome."""
        ticket, outcome = self._pending_operations.begin()
        now = steady_now()
        self._perform(
            self._document.order_evacuation(order, ticket=ticket, now=now),
        )
        return await outcome

    async def read(self) -> Outcome:
        """Query a majority for the desired state in force."""
        ticket, outcome = self._pending_operations.begin()
        self._perform(self._document.read(ticket=ticket, now=steady_now()))
        return await outcome

    def receive(self, sender: InstanceId, message: Any) -> None:
        """Handle a message of another control instance."""
        now = steady_now()
        self._perform(self._document.receive(sender, message, now=now))

    def learn(self, chosen: Chosen) -> None:
        """Learn a value that is in force at another control instance."""
        self._perform(self._document.learn(chosen))

    def tick(self, last_heartbeats: dict[InstanceId, float]) -> None:
        """Perform the actions that are due.

        Args:
            last_heartbeats: Time of the last heartbeat of each other control
                instance.
        """
        now = steady_now()
        self._perform(self._document.tick(now=now))
        has_replicas = bool(self.in_force.replicas)
        if (
            has_replicas
            and not self._document.is_voter
            and now >= self._join_at
        ):
            self._join_at = now + _JOIN_RETRY_SECONDS
            self._join(last_heartbeats, now)

    def _join(
        self, last_heartbeats: dict[InstanceId, float], now: float
    ) -> None:
        """Ask to replace a lost replica or to add a missing one."""
        replicas = self.in_force.replicas
        own = self._settings.own
        target_count = 2 * self._settings.tolerated_failures + 1
        own_replicas = [
            replica for replica in replicas if replica.instance == own
        ]
        lost = [
            replica
            for replica in replicas
            if now - last_heartbeats.get(replica.instance, 0)
            > _REPLACE_AFTER_SECONDS
        ]
        if not own_replicas and not lost and len(replicas) >= target_count:
            return
        replaced = next(iter((*own_replicas, *lost)), None)
        if not own_replicas and len(replicas) < target_count:
            replaced = None
        self._ask_to_join(replaced, now)

    def _ask_to_join(self, replaced: Replica | None, now: float) -> None:
        log_event(
            'replica.joining',
            LogLevel.warning,
            disk=self._document.replica.disk,
            instead_of=replaced,
        )
        self._perform(self._document.join(replaced, ticket=0, now=now))

    def _perform(self, effects: tuple[Any, ...]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(effect.to, effect.message)
                case Done():
                    self._pending_operations.complete(effect)
                case NewInForce():
                    self._announce(effect)
                case Persist():
                    task = asyncio.create_task(self._save(effect))
                    self._saves.add(task)
                    task.add_done_callback(self._saves.discard)

    def _announce(self, update: NewInForce) -> None:
        log_event(
            'desired_state.in_force',
            LogLevel.info,
            version=update.value.version,
            revision=update.chosen.ballot.number,
            replicas=len(update.value.replicas),
            incoming=len(update.value.incoming),
        )
        if update.value.evacuations != self._announced_zones:
            self._announced_zones = update.value.evacuations
            log_event(
                'evacuation.in_force',
                LogLevel.info,
                zones=','.join(update.value.evacuations),
                revision=update.chosen.ballot.number,
            )
        self._broadcast(update.chosen)

    async def _save(self, persist: Persist) -> None:
        is_saved = await self._disk.save(persist.state)
        now = steady_now()
        if is_saved:
            self._perform(self._document.persisted(now=now))
        else:
            self._perform(self._document.persist_failed(now=now))
