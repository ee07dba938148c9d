"""Giving out free slots: to own tasks, to other instances, on request."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace

from cuminstack.core import (
    EndpointId,
    Instance,
    InstanceId,
    MemberName,
    Send,
    StartTask,
    TaskId,
)
from cuminstack.slots._borrowing import Borrowing, Request
from cuminstack.slots._demand import DemandBook, WaitingJob
from cuminstack.slots._hints import Hints
from cuminstack.slots._holdings import Holdings
from cuminstack.slots._leased import SlotLease, pack, unpack
from cuminstack.slots._ledger import GRACE_SECONDS
from cuminstack.slots._messages import Ask, Grant, Hint
from cuminstack.slots._placement import Placement
from cuminstack.slots._policy import Effects, MemberTerms
from cuminstack.slots._queue import TaskClass
from cuminstack.slots._renewal import Renewal


@dataclass(frozen=True, slots=True)
class _Grantee:
    """An instance that gets slots for a member."""

    peer: InstanceId
    member: MemberName


def _grantee(job: WaitingJob) -> _Grantee:
    return _Grantee(job.instance, job.job.member)


class Dispatcher:
    """Brings free slots and waiting tasks together.

    Args:
        own: The instance.
    """

    def __init__(self, own: Instance) -> None:
        self.holdings = Holdings()
        self.demand = DemandBook(own.instance)
        self.hints = Hints()
        self.renewal = Renewal(own, self.holdings)
        self.placement = Placement(self.holdings, self.renewal.records)
        self._own = own.instance
        self._terms: dict[str, MemberTerms] = {}
        self._borrowing: dict[MemberName, Borrowing] = {}
        self._granted: dict[_Grantee, list[SlotLease]] = {}
        self._tasks: dict[TaskId, EndpointId] = {}
        self._seen: float | None = None
        self._used_at: float = 0

    def idle_since(self, now: float) -> float:
        """Give when a slot was last needed here, in seconds."""
        return now if self._tasks or not self.demand.empty else self._used_at

    def apply_terms(self, terms: dict[str, MemberTerms]) -> None:
        """Take the terms of all members."""
        self._terms = dict(terms)
        self.demand.apply_terms(terms)

    def observe_view(self) -> None:
        """Forget the instances that have left the view."""
        alive = self.renewal.owners.alive
        self.hints.keep(alive)
        for borrowing in self._borrowing.values():
            borrowing.keep(alive)

    def advance(self, now: float) -> Effects:
        """Give out all free slots, and ask for those that are missing."""
        starts = self._start(now)
        return starts + self._flush(now) + self._ask(now)

    def end(self, task: TaskId, *, started: bool, now: float) -> None:
        """Free the slot of an attempt; a second time is ignored."""
        endpoint = self._tasks.pop(task, None)
        if endpoint is None:
            return
        self.placement.count(endpoint, -1)
        self.demand.end(task, started=started, now=now)
        if started:
            self.holdings.end(task)
        else:
            self.holdings.refuse(task, now=now)

    def answer(self, sender: InstanceId, ask: Ask, now: float) -> Effects:
        """Give another instance what is free, or let its wants stand."""
        self.hints.observe(sender, 0, ask.busy, at=now)
        self.demand.want(sender, ask, now=now)
        starts = self._start(now)
        reply: Effects = ()
        if not ask.stands:
            self.demand.forget(sender, ask.member)
            given = self._granted.pop(_Grantee(sender, ask.member), [])
            given.extend(self._spare(ask))
            hints = self._tell(now)
            message = Grant(ask.member, pack(given), hints, reply=True)
            reply = (Send(sender, message),)
        return starts + reply + self._flush(now) + self._ask(now)

    def accept(self, sender: InstanceId, grant: Grant, now: float) -> Effects:
        """Take leases from another instance."""
        self.hints.merge(grant.hints, self._own, now=now)
        leases = unpack(grant.slots)
        borrowing = grant.member and self._borrowing.get(grant.member)
        if borrowing:
            got = len(leases)
            borrowing.granted(sender, got, reply=grant.reply, now=now)
        self.renewal.accept(leases, now=now)
        # The sender chose this instance, so its own tasks come first; else
        # a slot would be passed from hand to hand after the oldest job.
        starts = self._start(now, only_own=True)
        return starts + self.advance(now)

    def _start(self, now: float, *, only_own: bool = False) -> Effects:
        self._check_pause(now)
        self.renewal.check(now=now)
        starts: list[StartTask] = []
        while self.holdings.free:
            turn = self.demand.take(self.placement.has_open, only_own=only_own)
            if turn is None:
                break
            endpoint = self.placement.pick(turn.key.lane)
            self._used_at = now
            if turn.key.instance == self._own:
                task = self.demand.begin(turn, now=now)
                starts.append(self._use(endpoint, task))
            else:
                self.demand.lend(turn)
                lease = self.holdings.hand_on(endpoint)
                self._granted.setdefault(_grantee(turn.key), []).append(lease)
        return tuple(starts)

    def _spare(self, ask: Ask) -> Iterator[SlotLease]:
        """Give free slots in advance, but not more than half of them."""
        plenty = min(ask.spare, self.holdings.free // 2)
        for want in ask.wanted[:plenty]:
            lane = TaskClass(want.service, want.needs)
            if self.placement.has_open(lane):
                yield self.holdings.hand_on(self.placement.pick(lane))

    def _use(self, endpoint: EndpointId, task: TaskId) -> StartTask:
        self.holdings.use(endpoint, task)
        self.placement.count(endpoint, 1)
        self._tasks[task] = endpoint
        return StartTask(task, endpoint)

    def _flush(self, now: float) -> Effects:
        granted = self._granted
        self._granted = {}
        return tuple(
            Send(to.peer, Grant(to.member, pack(leases), self._tell(now)))
            for to, leases in granted.items()
        )

    def _ask(self, now: float) -> Effects:
        missing: Counter[MemberName] = Counter()
        for lane, count in self.demand.lanes:
            if self.placement.fitting(lane):
                missing[lane.service.member] += count
        requests = {
            member: self._choose(member, missing[member], now)
            for member in missing
        }
        for idle in self._borrowing.keys() - missing.keys():
            requests[idle] = self._borrowing[idle].cancel(now=now)
        return tuple(
            self._request(member, request, now)
            for member in sorted(requests)
            for request in requests[member]
        )

    def _choose(
        self,
        member: MemberName,
        count: int,
        now: float,
    ) -> tuple[Request, ...]:
        if member not in self._borrowing:
            self._borrowing[member] = Borrowing(self.hints)
        terms = self._terms.get(member, MemberTerms())
        self._borrowing[member].prefer(terms.preference)
        return self._borrowing[member].choose(
            self.renewal.owners.peers,
            count,
            running=self.demand.usage.running,
            now=now,
        )

    def _request(
        self,
        member: MemberName,
        request: Request,
        now: float,
    ) -> Send:
        ask = self.demand.ask(
            member,
            request.count,
            stands=request.stands,
            now=now,
        )
        return Send(request.peer, replace(ask, spare=request.spare))

    def _tell(self, now: float) -> tuple[Hint, ...]:
        own = Hint(self._own, self.holdings.free, self.demand.usage.running, 0)
        return (own, *self.hints.give(now=now))

    def _check_pause(self, now: float) -> None:
        """Trust nothing that is held over a pause of the process."""
        paused = self._seen is not None and now - self._seen > GRACE_SECONDS
        self._seen = now
        if paused:
            self.renewal.restart(now=now)
