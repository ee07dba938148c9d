"""Assignment of free slots to local tasks and to other instances."""

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
from cuminstack.slots._borrowing import BorrowRequest, SlotBorrower
from cuminstack.slots._demand import DemandQueue, WaitingJob
from cuminstack.slots._hints import Hints
from cuminstack.slots._holdings import Holdings
from cuminstack.slots._ledger import GRACE_SECONDS
from cuminstack.slots._messages import Grant, Hint, SlotRequest
from cuminstack.slots._placement import Placement
from cuminstack.slots._policy import Effects, MemberTerms
from cuminstack.slots._queue import TaskClass
from cuminstack.slots._renewal import LeaseRenewal
from cuminstack.slots._slot_lease import SlotLease, pack, unpack


@dataclass(frozen=True, slots=True)
class _Grantee:
    """An instance that is granted slots for a member."""

    peer: InstanceId
    member: MemberName


def _grantee(job: WaitingJob) -> _Grantee:
    return _Grantee(job.instance, job.job.member)


class Dispatcher:
    """Assigns free slots to waiting tasks, and requests missing slots.

    Args:
        own: The local instance.
    """

    def __init__(self, own: Instance) -> None:
        self.holdings = Holdings()
        self.demand = DemandQueue(own.instance)
        self.hints = Hints()
        self.renewal = LeaseRenewal(own, self.holdings)
        self.placement = Placement(self.holdings, self.renewal.records)
        self._own = own.instance
        self._terms: dict[str, MemberTerms] = {}
        self._borrowers: dict[MemberName, SlotBorrower] = {}
        self._granted: dict[_Grantee, list[SlotLease]] = {}
        self._tasks: dict[TaskId, EndpointId] = {}
        self._last_seen_at: float | None = None
        self._last_used_at: float = 0

    def idle_since(self, now: float) -> float:
        """Return the last time at which a slot was needed, in seconds."""
        return (
            now if self._tasks or not self.demand.empty else self._last_used_at
        )

    def apply_terms(self, terms: dict[str, MemberTerms]) -> None:
        """Replace the terms of all members, keyed by name."""
        self._terms = dict(terms)
        self.demand.apply_terms(terms)

    def observe_view(self) -> None:
        """Drop the state of instances that have left the membership view."""
        alive = self.renewal.owners.alive
        self.hints.retain(alive)
        for borrower in self._borrowers.values():
            borrower.retain(alive)

    def advance(self, now: float) -> Effects:
        """Assign all free slots, and request those that are missing."""
        starts = self._start(now)
        return starts + self._send_grants(now) + self._request_missing(now)

    def end(self, task: TaskId, *, started: bool, now: float) -> None:
        """Free the slot of an attempt; repeated calls have no effect."""
        endpoint = self._tasks.pop(task, None)
        if endpoint is None:
            return
        self.placement.adjust_running(endpoint, -1)
        self.demand.end(task, started=started, now=now)
        if started:
            self.holdings.end(task)
        else:
            self.holdings.back_off(task, now=now)

    def answer(
        self, sender: InstanceId, ask: SlotRequest, now: float
    ) -> Effects:
        """Handle a request for slots.

        A standing request is kept and granted as slots are freed; any other
        is answered at once with the slots that are free.
        """
        self.hints.observe(sender, 0, ask.busy, at=now)
        self.demand.replace_remote(sender, ask, now=now)
        starts = self._start(now)
        reply: Effects = ()
        if not ask.stands:
            self.demand.drop_remote(sender, ask.member)
            granted = self._granted.pop(_Grantee(sender, ask.member), [])
            granted.extend(self._take_spare(ask))
            hints = self._collect_hints(now)
            message = Grant(ask.member, pack(granted), hints, reply=True)
            reply = (Send(sender, message),)
        return (
            starts + reply + self._send_grants(now) + self._request_missing(now)
        )

    def accept(self, sender: InstanceId, grant: Grant, now: float) -> Effects:
        """Add the leases that another instance has granted."""
        self.hints.merge(grant.hints, self._own, now=now)
        leases = unpack(grant.slots)
        borrower = grant.member and self._borrowers.get(grant.member)
        if borrower:
            got = len(leases)
            borrower.record_grant(sender, got, reply=grant.reply, now=now)
        self.renewal.accept(leases, now=now)
        # The sender chose this instance, so its tasks come first; otherwise
        # a slot would be forwarded repeatedly to wherever the oldest job is.
        starts = self._start(now, only_own=True)
        return starts + self.advance(now)

    def _start(self, now: float, *, only_own: bool = False) -> Effects:
        self._handle_pause(now)
        self.renewal.drop_unrenewed(now=now)
        starts: list[StartTask] = []
        while self.holdings.free:
            turn = self.demand.take(self.placement.has_open, only_own=only_own)
            if turn is None:
                break
            endpoint = self.placement.pick(turn.key.task_class)
            self._last_used_at = now
            if turn.key.instance == self._own:
                task = self.demand.begin(turn, now=now)
                starts.append(self._start_in_slot(endpoint, task))
            else:
                self.demand.grant(turn)
                lease = self.holdings.transfer(endpoint)
                self._granted.setdefault(_grantee(turn.key), []).append(lease)
        return tuple(starts)

    def _take_spare(self, ask: SlotRequest) -> Iterator[SlotLease]:
        """Yield spare free slots, at most half of those held."""
        spare = min(ask.spare, self.holdings.free // 2)
        for demand in ask.wanted[:spare]:
            task_class = TaskClass(demand.service, demand.needs)
            if self.placement.has_open(task_class):
                yield self.holdings.transfer(self.placement.pick(task_class))

    def _start_in_slot(self, endpoint: EndpointId, task: TaskId) -> StartTask:
        self.holdings.use(endpoint, task)
        self.placement.adjust_running(endpoint, 1)
        self._tasks[task] = endpoint
        return StartTask(task, endpoint)

    def _send_grants(self, now: float) -> Effects:
        granted = self._granted
        self._granted = {}
        return tuple(
            Send(
                to.peer,
                Grant(to.member, pack(leases), self._collect_hints(now)),
            )
            for to, leases in granted.items()
        )

    def _request_missing(self, now: float) -> Effects:
        missing: Counter[MemberName] = Counter()
        for task_class, count in self.demand.waiting_by_class:
            if self.placement.fitting(task_class):
                missing[task_class.service.member] += count
        requests = {
            member: self._plan_requests(member, missing[member], now)
            for member in missing
        }
        for idle in self._borrowers.keys() - missing.keys():
            requests[idle] = self._borrowers[idle].cancel_standing(now=now)
        return tuple(
            self._build_request(member, request, now)
            for member in sorted(requests)
            for request in requests[member]
        )

    def _plan_requests(
        self,
        member: MemberName,
        count: int,
        now: float,
    ) -> tuple[BorrowRequest, ...]:
        if member not in self._borrowers:
            self._borrowers[member] = SlotBorrower(self.hints)
        terms = self._terms.get(member, MemberTerms())
        self._borrowers[member].set_preference(terms.preference)
        return self._borrowers[member].plan_requests(
            self.renewal.owners.peers,
            count,
            running=self.demand.usage.running,
            now=now,
        )

    def _build_request(
        self,
        member: MemberName,
        request: BorrowRequest,
        now: float,
    ) -> Send:
        ask = self.demand.build_request(
            member,
            request.count,
            stands=request.stands,
            now=now,
        )
        return Send(request.peer, replace(ask, spare=request.spare))

    def _collect_hints(self, now: float) -> tuple[Hint, ...]:
        own = Hint(self._own, self.holdings.free, self.demand.usage.running, 0)
        return (own, *self.hints.freshest(now=now))

    def _handle_pause(self, now: float) -> None:
        """Drop all leases if the process was paused for too long.

        Leases may have expired at their owners during the pause.
        """
        paused = (
            self._last_seen_at is not None
            and now - self._last_seen_at > GRACE_SECONDS
        )
        self._last_seen_at = now
        if paused:
            self.renewal.reset(now=now)
