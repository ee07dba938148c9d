"""The register as one instance sees it: its proposer and its replica."""

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
    Greet,
    Prepare,
    Promise,
    Refused,
    ReplicaReply,
    ReplicaRequest,
)
from cuminstack.register._outcomes import Effect, Effects, Learned
from cuminstack.register._proposer import Chance, Proposer
from cuminstack.register._recovery import Recovery
from cuminstack.register._state import AcceptorState
from cuminstack.sheet import Sheet

#: How long a replica waits to hear that what it accepted is in force.
_CHECK_SECONDS: Final = 1.0

_REQUESTS: Final = Prepare | Accept | Fetch | Greet
_PROPOSER_REPLIES: Final = Promise | Accepted | Refused | Fetched


class Register:
    """The quorum register at one instance.

    The shell passes it peer messages, the present time and what became of
    each `Persist`, and performs the effects in their order.
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
        """Set up an instance; with a state it is a replica.

        Args:
            own: This instance.
            replicas: The replica set, from the settings.
            incarnation: Grows with each start of the process.
            chance: Spreads the pauses of racing proposers.
            state: What `starting_state` gave, if this is a replica.
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
        """Whether a replica here takes part in ballots now."""
        return self._acceptor is not None and self._acceptor.votes

    @property
    def state(self) -> AcceptorState | None:
        """The state of the replica here, synced or not."""
        return None if self._acceptor is None else self._acceptor.state

    @property
    def store_failed(self) -> bool:
        """Whether the last sync of the replica here failed."""
        return self._acceptor is not None and self._acceptor.failed

    def start(self, *, now: float) -> Effects:
        """Begin; call once before anything else."""
        if self._acceptor is None:
            return ()
        state = self._acceptor.state
        self._ballots.observe(state.promised)
        self._known.add(state.value)
        return self._deliver(self._acceptor.start(), now)

    def submit(self, sheet: Sheet, *, ticket: int, now: float) -> Effects:
        """Submit a sheet; `Done` with the ticket tells the outcome."""
        effects = self._proposer.submit(sheet, ticket=ticket, now=now)
        return self._deliver(effects, now)

    def read(self, *, now: float) -> Effects:
        """Find out what is in force; `Learned` tells, version 0 if nothing.

        Nothing is asked while a submission or a check is under way.
        """
        if self._proposer.is_busy:
            return ()
        effects = self._proposer.submit(None, ticket=0, now=now)
        return self._deliver(effects, now)

    def observe_in_force(self, sheet: Sheet) -> None:
        """Take a sheet in force that was learned by another way."""
        self._known.observe_in_force(sheet)

    def receive(
        self,
        sender: InstanceId,
        message: ReplicaRequest | ReplicaReply,
        *,
        now: float,
    ) -> Effects:
        """Take a message of a peer."""
        return self._deliver(self._handle(sender, message, now), now)

    def tick(self, *, now: float) -> Effects:
        """Do what is due; call several times a second."""
        effects = list(self._proposer.tick(now=now))
        if self._acceptor is not None:
            effects.extend(self._acceptor.tick(now=now))
            effects.extend(self._check(self._acceptor, now))
        if self._recovery is not None:
            effects.extend(self._recovery.tick(now=now))
        return self._deliver(tuple(effects), now)

    def persisted(self, sequence: int, *, now: float) -> Effects:
        """Take that the state of a `Persist` is synced."""
        if self._acceptor is None:
            return ()
        return self._deliver(self._acceptor.persisted(sequence), now)

    def persist_failed(self, sequence: int, *, now: float) -> Effects:
        """Take that the state of a `Persist` may not be synced."""
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

    def _deliver(self, effects: Effects, now: float) -> Effects:
        """Hand what is sent to this instance to it, and pass on the rest."""
        outgoing: list[Effect] = []
        pending = deque(effects)
        while pending:
            effect = pending.popleft()
            if isinstance(effect, Send) and effect.to == self._own:
                pending.extend(self._handle(self._own, effect.message, now))
                continue
            outgoing.append(effect)
            if isinstance(effect, Learned):
                self._known.observe_in_force(effect.sheet)
        return tuple(outgoing)

    def _handle(self, sender: InstanceId, message: Any, now: float) -> Effects:
        if isinstance(message, _REQUESTS):
            return self._answer(sender, message, now)
        effects: list[Effect] = []
        if isinstance(message, _PROPOSER_REPLIES):
            effects.extend(self._proposer.receive(sender, message, now=now))
        if self._recovery is not None:
            effects.extend(self._recovery.receive(sender, message, now=now))
        return tuple(effects)

    def _answer(
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

    def _check(self, acceptor: Acceptor, now: float) -> Effects:
        """Settle a value that was accepted but never known to be in force.

        Its proposer may have died between the two.
        """
        accepted = acceptor.state.value.sheet.version
        if not acceptor.votes or accepted <= self._known.floor:
            self._check_at = None
            return ()
        if self._check_at is None:
            delay = _CHECK_SECONDS * (1 + self._chance.random())
            self._check_at = now + delay
        if now < self._check_at or self._proposer.is_busy:
            return ()
        self._check_at = None
        return self._proposer.submit(None, ticket=0, now=now)
