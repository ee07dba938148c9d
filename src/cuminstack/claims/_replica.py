"""A claim replica: votes, hands over to restarted ones, and catches up."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Final

from cuminstack.claims._catchup import CatchUp
from cuminstack.claims._messages import (
    Answer,
    Fence,
    Handover,
    Outcomes,
    Prepare,
    Propose,
    Pull,
    Recorded,
    Vote,
)
from cuminstack.claims._store import Limits, Store
from cuminstack.claims._values import VoteState
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, JobId, Send

#: Claims in one page of a handover.
_PAGE_CLAIMS: Final = 500


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """What is being handed over, by incarnation and serial of the request."""

    asked: tuple[int, int]
    whole: bool
    caught_up: tuple[InstanceId, ...]
    jobs: tuple[JobId, ...]


class ClaimReplica:
    """Votes on claims, in memory.

    Args:
        own: This instance, with its live incarnation.
        view: The configured instances.
        limits: Lifetime and bounds of what is held.
        now: The time of the start, in seconds.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        limits: Limits | None = None,
        now: float,
    ) -> None:
        limits = Limits() if limits is None else limits
        self._own = own
        self._view = view
        self._floor = view.number
        self._store = Store(limits)
        self._catch_up = CatchUp(
            own,
            view,
            lifetime=limits.lifetime,
            now=now,
        )
        self._fences = {own.instance: own.incarnation}
        self._snapshots: dict[InstanceId, _Snapshot] = {}

    def __len__(self) -> int:
        return len(self._store)

    @property
    def is_whole(self) -> bool:
        """Whether this replica votes on every job."""
        return self._catch_up.is_whole

    def assume_fresh(self) -> None:
        """Vote at once; only for a deployment that never ran a job.

        The caller must know from a quorum of the sheet's replicas, asked
        after this process started, that no sheet was ever in force.
        """
        self._catch_up.assume_fresh()

    def tick(self, *, now: float) -> tuple[Send, ...]:
        """Do what is due; call it at least once a second."""
        self._store.expire(now=now)
        return self._catch_up.tick(now=now)

    def receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> tuple[Send, ...]:
        """Take a message of an instance, this one included."""
        return self._take(message, sender, now)

    @singledispatchmethod
    def _take(
        self,
        message: object,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        """Ignore what is no message for a replica."""
        return ()

    @_take.register
    def _take_propose(
        self,
        request: Propose,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        problem = self._problem_with(request)
        if problem is not None:
            return (self._vote(sender, request, problem),)
        register = self._store.open(request.job, now=now)
        register.involve(request.voters)
        if register.propose(request.ballot, request.claim):
            return (self._vote(sender, request, Answer.granted),)
        answer = Answer.refused
        return (self._vote(sender, request, answer, register.state),)

    @_take.register
    def _take_prepare(
        self,
        request: Prepare,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        problem = self._problem_with(request)
        if problem is not None:
            return (self._vote(sender, request, problem),)
        register = self._store.open(request.job, now=now)
        register.involve(request.voters)
        granted = register.prepare(request.ballot)
        answer = Answer.granted if granted else Answer.refused
        return (self._vote(sender, request, answer, register.state),)

    @_take.register
    def _take_outcomes(
        self,
        message: Outcomes,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        for settled in message.settled:
            self._store.settle(
                settled.job,
                settled.claim,
                settled.outcome,
                now=now,
            )
            register = self._store.open(settled.job, now=now)
            register.involve(settled.voters)
        return (Send(sender, Recorded(message.serial)),)

    @_take.register
    def _take_pull(
        self,
        pull: Pull,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        if pull.incarnation < self._fences.get(sender, 0):
            return ()
        self._fences[sender] = pull.incarnation
        snapshot = self._snapshot_for(sender, pull)
        if snapshot is None:
            return ()
        begin = pull.page * _PAGE_CLAIMS
        end = begin + _PAGE_CLAIMS
        page = Handover(
            incarnation=pull.incarnation,
            number=self._view.number,
            age=self._catch_up.age(now=now),
            serial=pull.serial,
            page=pull.page,
            last=end >= len(snapshot.jobs),
            whole=snapshot.whole,
            caught_up=snapshot.caught_up,
            fences=tuple(
                Fence(name, incarnation)
                for name, incarnation in sorted(self._fences.items())
            ),
            entries=self._store.entries(snapshot.jobs[begin:end], now=now),
        )
        return (Send(sender, page),)

    @_take.register
    def _take_handover(
        self,
        page: Handover,
        sender: InstanceId,
        now: float,
    ) -> tuple[Send, ...]:
        if not self._catch_up.expects(sender, page):
            return ()
        for fence in page.fences:
            known = self._fences.get(fence.instance, 0)
            self._fences[fence.instance] = max(known, fence.incarnation)
        for entry in page.entries:
            self._store.adopt(entry, now=now)
        return self._catch_up.take(sender, page, now=now)

    def _problem_with(self, request: Propose | Prepare) -> Answer | None:
        """Tell why a request can't be voted on, if it can't.

        A claimant one view behind is served, as its majorities meet those
        of this view; one further behind is not.
        """
        self._floor = max(self._floor, request.number)
        if request.number < self._floor - 1:
            return Answer.stale_view
        if not self._catch_up.may_vote(request.voters):
            return Answer.not_ready
        if self._store.is_full and self._store.get(request.job) is None:
            return Answer.full
        return None

    def _vote(
        self,
        to: InstanceId,
        request: Propose | Prepare,
        answer: Answer,
        state: VoteState | None = None,
    ) -> Send:
        vote = Vote(
            job=request.job,
            serial=request.serial,
            answer=answer,
            vector=self._vector(request.voters),
            state=state,
        )
        return Send(to, vote)

    def _vector(self, voters: Sequence[InstanceId]) -> tuple[int, ...]:
        return tuple(self._fences.get(name, 0) for name in voters)

    def _snapshot_for(
        self,
        sender: InstanceId,
        pull: Pull,
    ) -> _Snapshot | None:
        """Give the jobs that a request runs through, fixed at its start."""
        held = self._snapshots.get(sender)
        asked = (pull.incarnation, pull.serial)
        if held is not None and held.asked == asked:
            return held
        if pull.page or (held is not None and held.asked > asked):
            return None
        snapshot = _Snapshot(
            asked=asked,
            whole=self._catch_up.is_whole,
            caught_up=self._catch_up.caught_up,
            jobs=self._store.shared_with(sender),
        )
        self._snapshots[sender] = snapshot
        return snapshot
