"""One ballot of a proposer, with the replies of the replicas."""

import enum
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from cuminstack.core import InstanceId, Send
from cuminstack.register._ballots import Ballot, majority
from cuminstack.register._known import KnownValues
from cuminstack.register._messages import (
    Accept,
    Accepted,
    Fetch,
    Fetched,
    Prepare,
    Promise,
    Refusal,
    Refused,
    digest_replica_set,
)
from cuminstack.register._promises import Promises
from cuminstack.register._resolve import Resolution
from cuminstack.register._values import (
    EMPTY_VALUE,
    Transfer,
    Value,
    make_transfer,
)

Sends = tuple[Send, ...]
Reply = Promise | Accepted | Refused

_NO_SENDS: Final[Sends] = ()


class Phase(enum.Enum):
    """Phase of a ballot."""

    preparing = 'preparing'
    fetching = 'fetching'
    accepting = 'accepting'
    chosen = 'chosen'


class Attempt:
    """One ballot of a proposer."""

    def __init__(
        self,
        ballot: Ballot,
        replicas: Sequence[InstanceId],
        *,
        known: KnownValues,
        decide: Callable[[Value], Resolution],
    ) -> None:
        """Prepare an attempt; nothing is sent yet.

        Args:
            ballot: The ballot.
            replicas: The replica set.
            known: Cache of values, to find and decode accepted ones.
            decide: Returns the value to propose, given the current value.
        """
        self.ballot = ballot
        self._replicas = replicas
        self._quorum = majority(replicas)
        self._set_digest = digest_replica_set(replicas)
        self._known = known
        self._decide = decide
        self._phase = Phase.preparing
        self._promises = Promises()
        self._accepted: set[InstanceId] = set()
        self._refused: set[InstanceId] = set()
        self._possible_acceptors: set[InstanceId] = set()
        self._sent_whole: set[InstanceId] = set()
        self._current = EMPTY_VALUE
        self._resolution: Resolution | None = None
        self._transfers: dict[bytes, Transfer] = {}

    @property
    def phase(self) -> Phase:
        """Phase of the ballot."""
        return self._phase

    @property
    def resolution(self) -> Resolution | None:
        """The decision, once a majority promised and the value is known."""
        return self._resolution

    @property
    def is_lost(self) -> bool:
        """Whether so many replicas refused that no majority is left."""
        return len(self._replicas) - len(self._refused) < self._quorum

    @property
    def may_be_accepted(self) -> bool:
        """Whether a replica has accepted a new value, or still may."""
        return bool(self._possible_acceptors)

    def send_pending(self) -> Sends:
        """Send the requests of this phase to replicas without a reply."""
        match self._phase:
            case Phase.preparing:
                return self._send_prepares()
            case Phase.fetching:
                return self._send_fetches()
            case Phase.accepting:
                return (
                    *self._send_prepares(),
                    *self._send_accepts(self._promises),
                )
            case Phase.chosen:
                return _NO_SENDS

    def receive(self, sender: InstanceId, reply: Reply) -> Sends:
        """Handle a reply to this ballot."""
        match reply:
            case Promise():
                return self._handle_promise(sender, reply)
            case Refused():
                return self._handle_refusal(sender, reply)
            case Accepted():
                self._accepted.add(sender)
                if len(self._accepted) >= self._quorum:
                    self._phase = Phase.chosen
                return _NO_SENDS

    def receive_value(self, reply: Fetched) -> Sends:
        """Handle the value that was fetched."""
        if self._phase is not Phase.fetching:
            return _NO_SENDS
        value = self._known.decode(reply.transfer)
        if value is None or value.stamp != self._promises.newest.stamp:
            return _NO_SENDS
        return self._propose(value)

    @property
    def _is_already_chosen(self) -> bool:
        """Whether a majority accepted the highest ballot: it is chosen."""
        return len(self._promises.holders) >= self._quorum

    def _send_prepares(self) -> Sends:
        request = Prepare(self.ballot, self._set_digest)
        return tuple(
            Send(replica, request)
            for replica in self._replicas
            if replica not in self._promises
        )

    def _handle_promise(self, sender: InstanceId, promise: Promise) -> Sends:
        if sender in self._promises:
            return _NO_SENDS
        self._promises.add(sender, promise)
        self._refused.discard(sender)
        match self._phase:
            case Phase.preparing:
                return self._propose_or_fetch()
            case Phase.accepting | Phase.chosen:
                # Slow replicas also get differences, not whole values.
                return self._send_accepts((sender,))
            case Phase.fetching:
                return _NO_SENDS

    def _propose_or_fetch(self) -> Sends:
        """Once a majority promised, propose, or fetch the accepted value."""
        if len(self._promises) < self._quorum:
            return _NO_SENDS
        current = self._known.find(self._promises.newest.stamp)
        if current is None:
            self._phase = Phase.fetching
            return self._send_fetches()
        return self._propose(current)

    def _send_fetches(self) -> Sends:
        newest = self._promises.newest
        request = Fetch(newest.stamp, self._known.fetch_base.stamp)
        holders = self._promises.holders
        return tuple(Send(replica, request) for replica in holders)

    def _propose(self, current: Value) -> Sends:
        """Decide on the value, and have it accepted unless it is chosen."""
        self._current = current
        self._resolution = self._decide(current)
        if self._resolution.value is current and self._is_already_chosen:
            self._phase = Phase.chosen
            return _NO_SENDS
        self._phase = Phase.accepting
        return self._send_accepts(self._promises)

    def _send_accepts(self, replicas: Iterable[InstanceId]) -> Sends:
        """Send the value to those that promised and have not answered."""
        answered = self._accepted | self._refused
        effects: list[Send] = []
        for replica in replicas:
            if replica in self._promises and replica not in answered:
                effects.extend(self._send_accept(replica))
        return tuple(effects)

    def _send_accept(
        self, replica: InstanceId, *, whole: bool = False
    ) -> Sends:
        """Send the value to a replica, as a difference unless `whole`."""
        resolution = self._resolution
        promise = self._promises.of(replica)
        if resolution is None or self._already_holds_value(promise):
            return _NO_SENDS
        if resolution.value is not self._current:
            self._possible_acceptors.add(replica)
        fits = promise.stamp == self._current.stamp and not whole
        base = self._current if fits else EMPTY_VALUE
        request = Accept(
            ballot=self.ballot,
            replica_set=self._set_digest,
            transfer=self._transfer(base, resolution.value),
        )
        return (Send(replica, request),)

    def _transfer(self, base: Value, value: Value) -> Transfer:
        """Return the value as a difference; cached by its base."""
        transfer = self._transfers.get(base.stamp)
        if transfer is None:
            transfer = make_transfer(base, value)
            self._transfers[base.stamp] = transfer
        return transfer

    def _already_holds_value(self, promise: Promise) -> bool:
        """Return whether a replica has the chosen, unchanged value."""
        unchanged = self._resolution is not None and (
            self._resolution.value is self._current
        )
        settled = self._phase is Phase.chosen and not self._accepted
        return unchanged and settled and promise.stamp == self._current.stamp

    def _handle_refusal(self, sender: InstanceId, refused: Refused) -> Sends:
        is_unknown = refused.refusal is Refusal.unknown_base
        if is_unknown and sender not in self._sent_whole:
            self._sent_whole.add(sender)
            return self._send_accept(sender, whole=True)
        self._refused.add(sender)
        if refused.accepting and refused.refusal is Refusal.promised:
            # Promises only increase, so it never accepts this ballot.
            self._possible_acceptors.discard(sender)
        return _NO_SENDS
