"""How a replica that doesn't vote comes to vote.

A replica without a file never voted in its present life.  Either the
register is being founded, and every replica is in that state; or the replica
lost its disk.  Then it recovers: it has a ballot of its own promised by so
many others that each quorum it may have been in has one of them.  That
fences off what it may have promised, and tells what it may have accepted.
"""

from dataclasses import replace
from typing import Final

from cuminstack.core import InstanceId, Send
from cuminstack.register._acceptor import Acceptor
from cuminstack.register._ballots import Ballot, BallotSource, recovery_quorum
from cuminstack.register._known import KnownValues
from cuminstack.register._messages import (
    Fetch,
    Fetched,
    Founder,
    Greet,
    Greeting,
    Prepare,
    Promise,
    Refusal,
    Refused,
    ReplicaReply,
    Standing,
    set_stamp,
)
from cuminstack.register._outcomes import Effects
from cuminstack.register._promises import Promises
from cuminstack.register._state import AcceptorState
from cuminstack.register._values import Value

#: Pause between rounds of questions to the other replicas.
_ROUND_SECONDS: Final = 0.5


class Recovery:
    """Brings one replica to vote."""

    def __init__(
        self,
        own: InstanceId,
        acceptor: Acceptor,
        *,
        ballots: BallotSource,
        known: KnownValues,
    ) -> None:
        """Take the replica, and the ballots of its process."""
        self._own = own
        self._acceptor = acceptor
        self._ballots = ballots
        self._known = known
        state = acceptor.state
        self._set_stamp = set_stamp(state.replicas)
        self._others = tuple(each for each in state.replicas if each != own)
        self._needed = recovery_quorum(state.replicas)
        self._greetings: dict[InstanceId, Greeting] = {}
        self._promises = Promises()
        self._ballot: Ballot | None = None
        self._again_at: float = 0

    @property
    def is_due(self) -> bool:
        """Whether the replica doesn't vote yet."""
        return self._state.standing is not Standing.voting

    def tick(self, *, now: float) -> Effects:
        """Ask the other replicas, at first or again."""
        if not self.is_due or now < self._again_at:
            return ()
        self._again_at = now + _ROUND_SECONDS
        if self._state.standing is Standing.blank and not self._others:
            return self._found()
        greet = Greet(self._state.birth, self._set_stamp)
        greets = (Send(other, greet) for other in self._others)
        return (*greets, *self._prepare())

    def receive(
        self,
        sender: InstanceId,
        reply: ReplicaReply,
        *,
        now: float,
    ) -> Effects:
        """Take a reply of another replica."""
        if not self.is_due:
            return ()
        match reply:
            case Greeting():
                return self._greeted(sender, reply)
            case Promise() if reply.ballot == self._ballot:
                self._promises.add(sender, reply)
                return self._read()
            case Refused() if reply.ballot == self._ballot:
                if reply.refusal is Refusal.promised:
                    self._ballot = None
            case Fetched():
                return self._fetched(reply)
        return ()

    @property
    def _state(self) -> AcceptorState:
        return self._acceptor.state

    @property
    def _as_founder(self) -> Founder:
        return Founder(self._own, self._state.birth)

    def _prepare(self) -> Effects:
        """Have a ballot above all seen promised, if anyone votes."""
        greetings = self._greetings.values()
        if all(each.standing is not Standing.voting for each in greetings):
            return ()
        if self._ballot is None:
            self._ballot = self._ballots.take()
            self._promises = Promises()
        request = Prepare(self._ballot, self._set_stamp, recovers=True)
        return tuple(
            Send(other, request)
            for other in self._others
            if other not in self._promises
        )

    def _read(self) -> Effects:
        if len(self._promises) < self._needed:
            return ()
        newest = self._promises.newest
        value = self._known.find(newest.stamp)
        if value is not None:
            return self._recover(newest, value)
        request = Fetch(newest.stamp, self._known.fetch_base.stamp)
        holders = self._promises.holders
        return tuple(Send(replica, request) for replica in holders)

    def _fetched(self, reply: Fetched) -> Effects:
        if len(self._promises) < self._needed:
            return ()
        value = self._known.read(reply.transfer)
        if value is None or value.stamp != self._promises.newest.stamp:
            return ()
        return self._recover(self._promises.newest, value)

    def _recover(self, newest: Promise, value: Value) -> Effects:
        state = replace(
            self._state,
            standing=Standing.voting,
            promised=newest.ballot,
            accepted=newest.accepted,
            value=value,
            life=newest.ballot,
            fences=self._promises.fences,
        )
        return self._acceptor.change(state)

    def _greeted(self, sender: InstanceId, greeting: Greeting) -> Effects:
        if greeting.asked != self._state.birth or sender not in self._others:
            return ()
        self._greetings[sender] = greeting
        if self._state.standing is not Standing.blank:
            return ()
        if self._as_founder in greeting.founders:
            return self._vote(greeting.founders)
        all_blank = len(self._greetings) == len(self._others) and all(
            each.standing is Standing.blank for each in self._greetings.values()
        )
        return self._found() if all_blank else ()

    def _found(self) -> Effects:
        others = (
            Founder(other, greeting.birth)
            for other, greeting in self._greetings.items()
        )
        return self._vote((self._as_founder, *others))

    def _vote(self, founders: tuple[Founder, ...]) -> Effects:
        state = replace(
            self._state,
            standing=Standing.voting,
            founders=founders,
        )
        return self._acceptor.change(state)
