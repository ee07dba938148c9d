"""The desired state at a control instance: operations, disk and replicas."""

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
from cuminstack.roles._replica import Operations, ReplicaDisk
from cuminstack.settings import LogLevel

#: Messages that the document takes.
MESSAGES: Final = (Accept, Accepted, BallotRefused, Prepare, Promise)
#: Seconds between two tries to become a replica.
_JOIN_SECONDS: Final = 0.5
#: Seconds of silence after which a replica may be replaced.
_REPLACE_SECONDS: Final = 1.0

Sender = Callable[[InstanceId, Any], None]
Spreader = Callable[[Chosen], None]


class RegisterShell:
    """Runs the document of a control instance.

    Args:
        settings: What the process is told.
        send: Sends a message to an instance.
        spread: Tells all instances of a newer desired state.
    """

    def __init__(
        self,
        settings: RoleSettings,
        *,
        send: Sender,
        spread: Spreader,
    ) -> None:
        self._settings = settings
        self._send = send
        self._spread = spread
        self._disk = ReplicaDisk(settings.data_folder)
        self._document = Document(
            settings.own,
            self._disk.load(settings),
            random_source=random.Random(),
        )
        self._operations = Operations()
        self._saves: set[asyncio.Task[None]] = set()
        self._join_at: float = 0

    @property
    def in_force(self) -> Value:
        """The newest desired state that is known to be in force."""
        return self._document.in_force

    @property
    def revision(self) -> int:
        """Grows with each value in force."""
        return self._document.revision

    @property
    def chosen(self) -> Chosen:
        """What an instance with an older revision is to be told."""
        return self._document.chosen

    async def submit(self, version: int, body: bytes) -> Outcome:
        """Submit a desired state."""
        ticket, outcome = self._operations.open()
        now = steady_now()
        self._perform(
            self._document.submit(version, body, ticket=ticket, now=now),
        )
        return await outcome

    async def read(self) -> Outcome:
        """Find out what is in force, through a majority."""
        ticket, outcome = self._operations.open()
        self._perform(self._document.read(ticket=ticket, now=steady_now()))
        return await outcome

    def receive(self, sender: InstanceId, message: Any) -> None:
        """Take a message of another control instance."""
        now = steady_now()
        self._perform(self._document.receive(sender, message, now=now))

    def learn(self, chosen: Chosen) -> None:
        """Take what another control instance says is in force."""
        self._perform(self._document.learn(chosen))

    def tick(self, heard: dict[InstanceId, float]) -> None:
        """Do what is due.

        Args:
            heard: When each other control instance was heard last.
        """
        now = steady_now()
        self._perform(self._document.tick(now=now))
        has_replicas = bool(self.in_force.replicas)
        if (
            has_replicas
            and not self._document.is_voter
            and now >= self._join_at
        ):
            self._join_at = now + _JOIN_SECONDS
            self._join(heard, now)

    def _join(self, heard: dict[InstanceId, float], now: float) -> None:
        """Take the place of a lost replica, or one that is missing."""
        replicas = self.in_force.replicas
        own = self._settings.own
        wanted = 2 * self._settings.tolerated + 1
        mine = [each for each in replicas if each.instance == own]
        lost = [
            each
            for each in replicas
            if now - heard.get(each.instance, 0) > _REPLACE_SECONDS
        ]
        if not mine and not lost and len(replicas) >= wanted:
            return
        leaves = next(iter((*mine, *lost)), None)
        if not mine and len(replicas) < wanted:
            leaves = None
        self._ask_to_join(leaves, now)

    def _ask_to_join(self, leaves: Replica | None, now: float) -> None:
        log_event(
            'replica.joining',
            LogLevel.warning,
            disk=self._document.replica.disk,
            instead_of=leaves,
        )
        self._perform(self._document.join(leaves, ticket=0, now=now))

    def _perform(self, effects: tuple[Any, ...]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(effect.to, effect.message)
                case Done():
                    self._operations.close(effect)
                case NewInForce():
                    self._announce(effect)
                case Persist():
                    task = asyncio.create_task(self._save(effect))
                    self._saves.add(task)
                    task.add_done_callback(self._saves.discard)

    def _announce(self, news: NewInForce) -> None:
        log_event(
            'desired_state.in_force',
            LogLevel.info,
            version=news.value.version,
            revision=news.chosen.ballot.number,
            replicas=len(news.value.replicas),
            incoming=len(news.value.incoming),
        )
        self._spread(news.chosen)

    async def _save(self, persist: Persist) -> None:
        is_saved = await self._disk.save(persist.state)
        now = steady_now()
        if is_saved:
            self._perform(self._document.persisted(now=now))
        else:
            self._perform(self._document.persist_failed(now=now))
