"""The register at one instance: its proposer and, if any, its replica."""

from collections import deque
from collections.abc import Iterable
from typing import Any, Final

from cuminstack.core import InstanceId, Send
from cuminstack.register._acceptor import Acceptor
from cuminstack.register._ballots import BallotSource
from cuminstack.register._known import KnownValues
from cuminstack.register._messages import (
    Accept,
    Accepted,
    Fetch,
    Fetched,
    Prepare,
    Promise,
    Refused,
    ReplicaReply,
    ReplicaRequest,
    StandingRequest,
)
from cuminstack.register._outcomes import Effect, Effects, Learned
from cuminstack.register._proposer import Chance, Proposer
from cuminstack.register._recovery import Recovery
from cuminstack.register._state import AcceptorState
from cuminstack.sheet import Sheet

#: Delay before a replica checks a value that it accepted and doesn't know to
#: be in force; jitter adds up to the same again.
_CHECK_DELAY_SECONDS: Final = 1.0

_REQUESTS: Final = Prepare | Accept | Fetch | StandingRequest
_PROPOSER_REPLIES: Final = Promise | Accepted | Refused | Fetched


class Register:
    """The replicated register at one instance, free of I/O.

    The caller passes messages of peers, the current time in seconds and the
    result of each `Persist`, and performs the returned effects in order.
    """

    def __init__(
        self,
        own: InstanceId,
        replicas: Iterable[InstanceId],
        *,
        incarnation: int,
        chance: Chance,
        state: AcceptorState | None = None,
    ) -> None:
        """Set up the proposer and, if a state is given, a replica.

        Args:
            own: This instance.
            replicas: The replica set, from the settings.
            incarnation: Number that grows with each start of the process.
            chance: Source of jitter, which keeps proposers from colliding.
            state: Result of `starting_state`, if this is a replica.
        """
        self._own = own
        self._replicas = tuple(sorted(replicas))
        self._chance = chance
        self._known = KnownValues()
        ballots = BallotSource(own, incarnation=incarnation)
        self._ballots = ballots
        self._proposer = Proposer(
            self._replicas,
            ballots=ballots,
            known=self._known,
            chance=chance,
        )
        self._acceptor = None if state is None else Acceptor(state)
        self._recovery = self._make_recovery()
        self._check_at: float | None = None

    @property
    def votes(self) -> bool:
        """Whether this instance has a replica that currently votes."""
        return self._acceptor is not None and self._acceptor.votes

    @property
    def state(self) -> AcceptorState | None:
        """The state of the local replica, synced or not."""
        return None if self._acceptor is None else self._acceptor.state

    @property
    def store_failed(self) -> bool:
        """Whether the last sync of the local replica failed."""
        return self._acceptor is not None and self._acceptor.failed

    def start(self, *, now: float) -> Effects:
        """Sync the loaded state; call once before anything else."""
        if self._acceptor is None:
            return ()
        state = self._acceptor.state
        self._ballots.observe(state.promised)
        self._known.add(state.value)
        return self._route_effects(self._acceptor.start(), now)

    def submit(self, sheet: Sheet, *, ticket: int, now: float) -> Effects:
        """Submit a sheet; `Done` with the ticket reports the outcome."""
        effects = self._proposer.submit(sheet, ticket=ticket, now=now)
        return self._route_effects(effects, now)

    def read(self, *, now: float) -> Effects:
        """Read the sheet in force, which `Learned` reports.

        The sheet has version 0 if none is in force.  Nothing is sent while
        a submission or another read is under way.
        """
        if self._proposer.is_busy:
            return ()
        effects = self._proposer.submit(None, ticket=0, now=now)
        return self._route_effects(effects, now)

    def observe_in_force(self, sheet: Sheet) -> None:
        """Record a sheet in force that was received in another way."""
        self._known.observe_in_force(sheet)

    def receive(
        self,
        sender: InstanceId,
        message: ReplicaRequest | ReplicaReply,
        *,
        now: float,
    ) -> Effects:
        """Handle a message of a peer."""
        return self._route_effects(
            self._handle_message(sender, message, now), now
        )

    def tick(self, *, now: float) -> Effects:
        """Handle timeouts and resends; call several times a second."""
        effects = list(self._proposer.tick(now=now))
        if self._acceptor is not None:
            effects.extend(self._acceptor.tick(now=now))
            effects.extend(self._check_accepted(self._acceptor, now))
        if self._recovery is not None:
            effects.extend(self._recovery.tick(now=now))
        return self._route_effects(tuple(effects), now)

    def persisted(self, sequence: int, *, now: float) -> Effects:
        """Handle that the state of a `Persist` is synced."""
        if self._acceptor is None:
            return ()
        return self._route_effects(self._acceptor.persisted(sequence), now)

    def persist_failed(self, sequence: int, *, now: float) -> Effects:
        """Handle that the state of a `Persist` may not be synced."""
        if self._acceptor is not None:
            self._acceptor.persist_failed(sequence, now=now)
        return ()

    def _make_recovery(self) -> Recovery | None:
        if self._acceptor is None:
            return None
        return Recovery(
            self._own,
            self._acceptor,
            ballots=self._ballots,
            known=self._known,
        )

    def _route_effects(self, effects: Effects, now: float) -> Effects:
        """Handle messages to this instance; return the other effects."""
        outgoing: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            if isinstance(effect, Send) and effect.to == self._own:
                pending.extend(
                    self._handle_message(self._own, effect.message, now)
                )
                continue
            outgoing.append(effect)
            if isinstance(effect, Learned):
                self._known.observe_in_force(effect.sheet)
        return tuple(outgoing)

    def _handle_message(
        self, sender: InstanceId, message: Any, now: float
    ) -> Effects:
        """Pass a message to the replica, the proposer or the recovery."""
        if isinstance(message, _REQUESTS):
            return self._handle_request(sender, message, now)
        effects: list[Effect] = []
        if isinstance(message, _PROPOSER_REPLIES):
            effects.extend(self._proposer.receive(sender, message, now=now))
        if self._recovery is not None:
            effects.extend(self._recovery.receive(sender, message, now=now))
        return tuple(effects)

    def _handle_request(
        self,
        sender: InstanceId,
        request: ReplicaRequest,
        now: float,
    ) -> Effects:
        if self._acceptor is None:
            return ()
        before = self._acceptor.state.accepted
        effects = self._acceptor.receive(sender, request, now=now)
        state = self._acceptor.state
        self._ballots.observe(state.promised)
        if state.accepted != before:
            self._known.add(state.value)
        return effects

    def _check_accepted(self, acceptor: Acceptor, now: float) -> Effects:
        """Read the register if an accepted value isn't known to be in force.

        The proposer of the value may have crashed before it reported that
        the value is in force.
        """
        accepted = acceptor.state.value.sheet.version
        if not acceptor.votes or accepted <= self._known.version_floor:
            self._check_at = None
            return ()
        if self._check_at is None:
            delay = _CHECK_DELAY_SECONDS * (1 + self._chance.random())
            self._check_at = now + delay
        if now < self._check_at or self._proposer.is_busy:
            return ()
        self._check_at = None
        return self._proposer.submit(None, ticket=0, now=now)
