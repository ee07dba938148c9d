"""Founding of the register, and recovery of replicas that lost their disk.

A replica that finds no file is either founding the register, together with
all other replicas, or has lost its disk.  In the latter case it recovers: it
gets promises to a ballot of its own from so many others that each quorum it
may have been part of has a member among them.  That voids the promises that
it may have made, and reports the values that it may have accepted.
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
    Prepare,
    Promise,
    Refusal,
    Refused,
    ReplicaReply,
    Standing,
    StandingReply,
    StandingRequest,
    digest_replica_set,
)
from cuminstack.register._outcomes import Effects
from cuminstack.register._promises import Promises
from cuminstack.register._state import AcceptorState
from cuminstack.register._values import Value

#: Interval between requests to the other replicas.
_ROUND_INTERVAL_SECONDS: Final = 0.5


class Recovery:
    """Founds the register or recovers a replica, until the replica votes."""

    def __init__(
        self,
        own: InstanceId,
        acceptor: Acceptor,
        *,
        ballots: BallotSource,
        known: KnownValues,
    ) -> None:
        """Start without replies of other replicas.

        Args:
            own: This instance.
            acceptor: The replica of this instance.
            ballots: Allocates the ballots of this process.
            known: Cache of values.
        """
        self._own = own
        self._acceptor = acceptor
        self._ballots = ballots
        self._known = known
        state = acceptor.state
        self._set_digest = digest_replica_set(state.replicas)
        self._others = tuple(each for each in state.replicas if each != own)
        self._required_promises = recovery_quorum(state.replicas)
        self._standings: dict[InstanceId, StandingReply] = {}
        self._promises = Promises()
        self._ballot: Ballot | None = None
        self._next_round_at: float = 0

    @property
    def is_needed(self) -> bool:
        """Whether the replica may not vote yet."""
        return self._state.standing is not Standing.voting

    def tick(self, *, now: float) -> Effects:
        """Send the requests to the other replicas, if that is due."""
        if not self.is_needed or now < self._next_round_at:
            return ()
        self._next_round_at = now + _ROUND_INTERVAL_SECONDS
        if self._state.standing is Standing.blank and not self._others:
            return self._found_register()
        request = StandingRequest(self._state.birth, self._set_digest)
        requests = (Send(other, request) for other in self._others)
        return (*requests, *self._send_prepares())

    def receive(
        self,
        sender: InstanceId,
        reply: ReplicaReply,
        *,
        now: float,
    ) -> Effects:
        """Handle a reply of another replica."""
        if not self.is_needed:
            return ()
        match reply:
            case StandingReply():
                return self._record_standing(sender, reply)
            case Promise() if reply.ballot == self._ballot:
                self._promises.add(sender, reply)
                return self._recover_or_fetch()
            case Refused() if reply.ballot == self._ballot:
                if reply.refusal is Refusal.promised:
                    self._ballot = None
            case Fetched():
                return self._receive_value(reply)
        return ()

    @property
    def _state(self) -> AcceptorState:
        return self._acceptor.state

    @property
    def _as_founder(self) -> Founder:
        return Founder(self._own, self._state.birth)

    def _send_prepares(self) -> Effects:
        """Ask for promises to a ballot of its own, if any replica votes."""
        standings = self._standings.values()
        if all(each.standing is not Standing.voting for each in standings):
            return ()
        if self._ballot is None:
            self._ballot = self._ballots.next_ballot()
            self._promises = Promises()
        request = Prepare(self._ballot, self._set_digest, recovers=True)
        return tuple(
            Send(other, request)
            for other in self._others
            if other not in self._promises
        )

    def _recover_or_fetch(self) -> Effects:
        """Once enough promised, recover, or fetch the accepted value."""
        if len(self._promises) < self._required_promises:
            return ()
        newest = self._promises.newest
        value = self._known.find(newest.stamp)
        if value is not None:
            return self._recover(newest, value)
        request = Fetch(newest.stamp, self._known.fetch_base.stamp)
        holders = self._promises.holders
        return tuple(Send(replica, request) for replica in holders)

    def _receive_value(self, reply: Fetched) -> Effects:
        """Recover with a fetched value, if it is the newest one."""
        if len(self._promises) < self._required_promises:
            return ()
        value = self._known.decode(reply.transfer)
        if value is None or value.stamp != self._promises.newest.stamp:
            return ()
        return self._recover(self._promises.newest, value)

    def _recover(self, newest: Promise, value: Value) -> Effects:
        """Start voting, with a value that other replicas accepted."""
        state = replace(
            self._state,
            standing=Standing.voting,
            promised=newest.ballot,
            accepted=newest.accepted,
            value=value,
            life=newest.ballot,
            fences=self._promises.fences,
        )
        return self._acceptor.replace_state(state)

    def _record_standing(
        self, sender: InstanceId, reply: StandingReply
    ) -> Effects:
        """Record a standing; a blank replica founds or joins the register.

        It joins if another replica lists it as a founder, and founds the
        register if all replicas are blank.
        """
        if reply.asked != self._state.birth or sender not in self._others:
            return ()
        self._standings[sender] = reply
        if self._state.standing is not Standing.blank:
            return ()
        if self._as_founder in reply.founders:
            return self._start_voting(reply.founders)
        all_blank = len(self._standings) == len(self._others) and all(
            each.standing is Standing.blank for each in self._standings.values()
        )
        return self._found_register() if all_blank else ()

    def _found_register(self) -> Effects:
        others = (
            Founder(other, reply.birth)
            for other, reply in self._standings.items()
        )
        return self._start_voting((self._as_founder, *others))

    def _start_voting(self, founders: tuple[Founder, ...]) -> Effects:
        state = replace(
            self._state,
            standing=Standing.voting,
            founders=founders,
        )
        return self._acceptor.replace_state(state)
