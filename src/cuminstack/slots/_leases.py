"""The policy of slot leases."""

from collections.abc import Sequence
from typing import Any, Final

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    Send,
    StartTask,
    TaskId,
)
from cuminstack.slots._borrowing import Borrowing
from cuminstack.slots._demand import DemandBook
from cuminstack.slots._holdings import Holdings
from cuminstack.slots._leased import SlotLease, pack, unpack
from cuminstack.slots._ledger import GRACE_SECONDS
from cuminstack.slots._messages import Ask, Claim, Claimed, Grant, Hint
from cuminstack.slots._policy import Effects, MemberTerms, QueuedTask, policy
from cuminstack.slots._queue import TaskClass
from cuminstack.slots._renewal import Renewal

#: Until leases that nobody here needs go back to the owner, in seconds.
_IDLE_SECONDS: Final = 10


@policy('leases')
class LeasePolicy:
    """Starts tasks in slots whose leases this instance holds.

    An owner makes one lease for each slot of its endpoints.  A lease stays
    with the instance that last used it, which uses it again with no message,
    until another instance asks for it.  Where nobody has a free slot the
    asks stand, and each slot that is freed goes to whoever is next by
    fairness, here or elsewhere.
    """

    def __init__(self, own: Instance, seed: int) -> None:
        self._own = own.instance
        self._holdings = Holdings()
        self._demand = DemandBook(own.instance)
        self._borrowing = Borrowing()
        self._renewal = Renewal(own, self._holdings)
        self._limits: dict[EndpointId, int] = {}
        self._fits: dict[TaskClass, frozenset[EndpointId]] = {}
        self._granted: dict[InstanceId, list[SlotLease]] = {}
        self._tasks: dict[TaskId, EndpointId] = {}
        self._seen: float | None = None
        self._used_at: float = 0
        self._leaving = False

    @property
    def free_slots(self) -> int:
        """Free slots held, for the hints on heartbeats."""
        return self._holdings.free

    @property
    def unused_leases(self) -> int:
        """Leases got from other instances that went without use."""
        return self._holdings.unused

    def connection_limit(self, endpoint: EndpointId) -> int:
        """Tell how many connections to an endpoint may be open from here.

        Connections are leased with the slots, in even parts.
        """
        record = self._renewal.records.get(endpoint)
        if record is None or not record.slots:
            return 0
        held = self._holdings.held_at(endpoint)
        return held * record.connections // record.slots

    def observe_hint(
        self,
        instance: InstanceId,
        free_slots: int,
        *,
        now: float,
    ) -> None:
        """Take the count of free slots that a heartbeat carried."""
        if instance != self._own:
            self._borrowing.hints.observe(instance, free_slots, at=now)

    def limit_endpoint(
        self,
        endpoint: EndpointId,
        limit: int | None,
        *,
        now: float,
    ) -> Effects:
        """Bound the tasks that this instance runs at an endpoint.

        Args:
            endpoint: The endpoint.
            limit: Tasks at once; 0 to start none; none to lift the bound.
            now: The present time, in seconds.
        """
        if limit is None:
            self._limits.pop(endpoint, None)
        else:
            self._limits[endpoint] = limit
        return self._advance(now)

    def leaving(self, *, now: float) -> Effects:
        """Hand free slots over, and from now on each that is freed."""
        self._leaving = True
        return self._advance(now)

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> Effects:
        """Take the instances now thought alive, this one included."""
        self._renewal.observe_instances(alive, now=now)
        self._borrowing.keep(self._renewal.owners.alive)
        return self._advance(now)

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> Effects:
        """Take a new or changed record of an endpoint."""
        self._renewal.observe_endpoint(record, now=now)
        self._fits.clear()
        return self._advance(now)

    def forget_endpoint(
        self,
        endpoint: EndpointId,
        *,
        now: float,
    ) -> Effects:
        """Drop an endpoint that is gone."""
        self._renewal.forget_endpoint(endpoint)
        self._limits.pop(endpoint, None)
        self._fits.clear()
        return self._advance(now)

    def apply_terms(
        self,
        terms: dict[str, MemberTerms],
        *,
        now: float,
    ) -> Effects:
        """Take the terms of all members, by name."""
        self._demand.apply_terms(terms)
        return self._advance(now)

    def submit(
        self,
        tasks: Sequence[QueuedTask],
        *,
        now: float,
    ) -> Effects:
        """Queue tasks."""
        self._demand.submit(tasks, now=now)
        return self._advance(now)

    def withdraw(
        self,
        tasks: Sequence[TaskId],
        *,
        now: float,
    ) -> Effects:
        """Take queued tasks back; those already started are unaffected."""
        self._demand.withdraw(tasks)
        return self._advance(now)

    def finished(
        self,
        task: TaskId,
        endpoint: EndpointId,
        *,
        started: bool,
        now: float,
    ) -> Effects:
        """Free the slot of an attempt."""
        if self._tasks.pop(task, None) is None:
            return ()
        self._demand.end(task, started=started, now=now)
        if started:
            self._holdings.end(task)
        else:
            self._holdings.refuse(task, now=now)
        return self._advance(now)

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Take a message of the policy of another instance."""
        if isinstance(message, Ask):
            return self._answer(sender, message, now)
        if isinstance(message, Grant):
            return self._accept(sender, message, now)
        if isinstance(message, Claim):
            reply = self._renewal.answer(sender, message, now=now)
            return reply + self._advance(now)
        if isinstance(message, Claimed):
            self._renewal.claimed(sender, message)
        return ()

    def tick(self, *, now: float) -> Effects:
        """Do what is due."""
        self._holdings.wake(now=now)
        self._demand.expire(self._renewal.owners.alive, now=now)
        effects = self._advance(now) + self._renewal.tick(now=now)
        return effects + self._return_idle(now)

    def _answer(self, sender: InstanceId, ask: Ask, now: float) -> Effects:
        self._borrowing.hints.observe(sender, 0, at=now)
        self._demand.want(sender, ask, now=now)
        starts = self._start(now)
        given = self._granted.pop(sender, [])
        reply: Effects = ()
        if ask.wanted:
            message = Grant(pack(given), self._hints(now), reply=True)
            reply = (Send(sender, message),)
        return starts + reply + self._flush(now) + self._ask(now)

    def _accept(self, sender: InstanceId, grant: Grant, now: float) -> Effects:
        self._borrowing.hints.merge(grant.hints, self._own, now=now)
        self._borrowing.replied(sender, grant, now=now)
        self._renewal.accept(unpack(grant.slots), now=now)
        return self._advance(now)

    def _advance(self, now: float) -> Effects:
        starts = self._start(now)
        return starts + self._flush(now) + self._ask(now)

    def _start(self, now: float) -> Effects:
        """Give out all free slots, here and elsewhere."""
        self._check_pause(now)
        self._renewal.check(now=now)
        starts: list[StartTask] = []
        while self._holdings.free:
            turn = self._demand.take(self._has_open)
            if turn is None:
                break
            endpoint = self._pick(turn.key.lane)
            self._used_at = now
            if turn.key.instance == self._own:
                task = self._demand.begin(turn, now=now)
                self._holdings.use(endpoint, task)
                self._tasks[task] = endpoint
                starts.append(StartTask(task, endpoint))
            else:
                self._demand.lend(turn)
                self._grant(turn.key.instance, endpoint)
        return tuple(starts)

    def _grant(self, peer: InstanceId, endpoint: EndpointId) -> None:
        lease = self._holdings.hand_on(endpoint)
        self._granted.setdefault(peer, []).append(lease)

    def _flush(self, now: float) -> Effects:
        granted = self._granted
        self._granted = {}
        return tuple(
            Send(peer, Grant(pack(leases), self._hints(now)))
            for peer, leases in granted.items()
        )

    def _ask(self, now: float) -> Effects:
        missing = sum(
            count for lane, count in self._demand.lanes if self._fitting(lane)
        )
        if missing:
            peers = self._borrowing.choose(
                self._renewal.owners.peers,
                missing,
                now=now,
            )
            ask = self._demand.ask(now=now) if peers else Ask(())
        else:
            peers = self._borrowing.cancel(now=now)
            ask = Ask(())
        return tuple(Send(peer, ask) for peer in peers)

    def _hints(self, now: float) -> tuple[Hint, ...]:
        own = Hint(self._own, self._holdings.free, 0)
        return (own, *self._borrowing.hints.give(now=now))

    def _pick(self, lane: TaskClass) -> EndpointId:
        fitting = self._fitting(lane)
        candidates = (
            endpoint
            for endpoint in self._holdings.open_endpoints
            if endpoint in fitting and self._is_open(endpoint)
        )
        return max(candidates, key=self._holdings.free_at)

    def _has_open(self, lane: TaskClass) -> bool:
        fitting = self._fitting(lane)
        return any(
            endpoint in fitting and self._is_open(endpoint)
            for endpoint in self._holdings.open_endpoints
        )

    def _is_open(self, endpoint: EndpointId) -> bool:
        limit = self._limits.get(endpoint)
        if limit is None:
            return True
        return sum(each == endpoint for each in self._tasks.values()) < limit

    def _fitting(self, lane: TaskClass) -> frozenset[EndpointId]:
        if lane not in self._fits:
            self._fits[lane] = frozenset(
                endpoint
                for endpoint, record in self._renewal.records.items()
                if lane.fits(record)
            )
        return self._fits[lane]

    def _check_pause(self, now: float) -> None:
        """Trust nothing that is held over a pause of the process."""
        paused = self._seen is not None and now - self._seen > GRACE_SECONDS
        self._seen = now
        if paused:
            self._renewal.restart(now=now)

    def _return_idle(self, now: float) -> Effects:
        busy = self._tasks or not self._demand.empty
        rested = now - self._used_at >= _IDLE_SECONDS and not busy
        if self._leaving or rested:
            return self._renewal.give_back(heirs=self._leaving)
        return ()
