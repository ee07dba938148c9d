"""One ballot: who promised, who accepted, who refused."""

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
    set_stamp,
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

_NOTHING: Final[Sends] = ()


class Phase(enum.Enum):
    """How far a ballot has come."""

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
        """Take the ballot, and what decides on the value that is found."""
        self.ballot = ballot
        self._replicas = replicas
        self._quorum = majority(replicas)
        self._set_stamp = set_stamp(replicas)
        self._known = known
        self._decide = decide
        self._phase = Phase.preparing
        self._promises = Promises()
        self._accepted: set[InstanceId] = set()
        self._refused: set[InstanceId] = set()
        self._exposed: set[InstanceId] = set()
        self._got_whole: set[InstanceId] = set()
        self._current = EMPTY_VALUE
        self._resolution: Resolution | None = None
        self._transfers: dict[bytes, Transfer] = {}

    @property
    def phase(self) -> Phase:
        """How far it has come."""
        return self._phase

    @property
    def resolution(self) -> Resolution | None:
        """What was decided, once a majority promised."""
        return self._resolution

    @property
    def is_lost(self) -> bool:
        """Whether too many replicas refused."""
        return len(self._replicas) - len(self._refused) < self._quorum

    @property
    def may_be_accepted(self) -> bool:
        """Whether a replica has accepted a new value, or may yet."""
        return bool(self._exposed)

    def remind(self) -> Sends:
        """Ask those that haven't answered, at first or again."""
        match self._phase:
            case Phase.preparing:
                return self._prepare()
            case Phase.fetching:
                return self._fetch()
            case Phase.accepting:
                return (*self._prepare(), *self._accept(self._promises))
            case Phase.chosen:
                return _NOTHING

    def receive(self, sender: InstanceId, reply: Reply) -> Sends:
        """Take a reply to this ballot."""
        match reply:
            case Promise():
                return self._take_promise(sender, reply)
            case Refused():
                return self._take_refusal(sender, reply)
            case Accepted():
                self._accepted.add(sender)
                if len(self._accepted) >= self._quorum:
                    self._phase = Phase.chosen
                return _NOTHING

    def take_value(self, reply: Fetched) -> Sends:
        """Take the value that was asked for."""
        if self._phase is not Phase.fetching:
            return _NOTHING
        value = self._known.read(reply.transfer)
        if value is None or value.stamp != self._promises.newest.stamp:
            return _NOTHING
        return self._propose(value)

    @property
    def _is_settled(self) -> bool:
        return len(self._promises.holders) >= self._quorum

    def _prepare(self) -> Sends:
        request = Prepare(self.ballot, self._set_stamp)
        return tuple(
            Send(replica, request)
            for replica in self._replicas
            if replica not in self._promises
        )

    def _take_promise(self, sender: InstanceId, promise: Promise) -> Sends:
        if sender in self._promises:
            return _NOTHING
        self._promises.add(sender, promise)
        self._refused.discard(sender)
        match self._phase:
            case Phase.preparing:
                return self._read()
            case Phase.accepting | Phase.chosen:
                # A slow replica is kept up to date by differences too.
                return self._accept((sender,))
            case Phase.fetching:
                return _NOTHING

    def _read(self) -> Sends:
        if len(self._promises) < self._quorum:
            return _NOTHING
        current = self._known.find(self._promises.newest.stamp)
        if current is None:
            self._phase = Phase.fetching
            return self._fetch()
        return self._propose(current)

    def _fetch(self) -> Sends:
        newest = self._promises.newest
        request = Fetch(newest.stamp, self._known.fetch_base.stamp)
        holders = self._promises.holders
        return tuple(Send(replica, request) for replica in holders)

    def _propose(self, current: Value) -> Sends:
        self._current = current
        self._resolution = self._decide(current)
        if self._resolution.value is current and self._is_settled:
            self._phase = Phase.chosen
            return _NOTHING
        self._phase = Phase.accepting
        return self._accept(self._promises)

    def _accept(self, replicas: Iterable[InstanceId]) -> Sends:
        answered = self._accepted | self._refused
        effects: list[Send] = []
        for replica in replicas:
            if replica in self._promises and replica not in answered:
                effects.extend(self._accept_at(replica))
        return tuple(effects)

    def _accept_at(self, replica: InstanceId, *, whole: bool = False) -> Sends:
        resolution = self._resolution
        promise = self._promises.of(replica)
        if resolution is None or self._holds_already(promise):
            return _NOTHING
        if resolution.value is not self._current:
            self._exposed.add(replica)
        fits = promise.stamp == self._current.stamp and not whole
        base = self._current if fits else EMPTY_VALUE
        request = Accept(
            ballot=self.ballot,
            replica_set=self._set_stamp,
            transfer=self._transfer(base, resolution.value),
        )
        return (Send(replica, request),)

    def _transfer(self, base: Value, value: Value) -> Transfer:
        transfer = self._transfers.get(base.stamp)
        if transfer is None:
            transfer = make_transfer(base, value)
            self._transfers[base.stamp] = transfer
        return transfer

    def _holds_already(self, promise: Promise) -> bool:
        """Tell whether a settled, unchanged value is at a replica."""
        unchanged = self._resolution is not None and (
            self._resolution.value is self._current
        )
        settled = self._phase is Phase.chosen and not self._accepted
        return unchanged and settled and promise.stamp == self._current.stamp

    def _take_refusal(self, sender: InstanceId, refused: Refused) -> Sends:
        is_unknown = refused.refusal is Refusal.unknown_base
        if is_unknown and sender not in self._got_whole:
            self._got_whole.add(sender)
            return self._accept_at(sender, whole=True)
        self._refused.add(sender)
        if refused.accepting and refused.refusal is Refusal.promised:
            # Promises only grow: this ballot is never accepted there.
            self._exposed.discard(sender)
        return _NOTHING
