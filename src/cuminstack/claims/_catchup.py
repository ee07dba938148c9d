"""Recovery of a replica's claims after a restart.

A replica keeps its votes in memory only.  After a restart it votes on a job
only if one of these conditions holds: every other replica of the job, itself
eligible to vote at the time, has handed over its claims; the lifetime of a
claim has passed since the start; or the deployment is known never to have run
a job.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.claims._messages import Handover, Pull
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, Send

#: Interval between two requests to one instance.
_RETRY_SECONDS: Final = 1


@dataclass(frozen=True, slots=True)
class _VotingScope:
    """Jobs that another replica could vote on when it handed over."""

    whole: bool
    caught_up: frozenset[InstanceId]

    def covers(self, others: frozenset[InstanceId]) -> bool:
        return self.whole or others <= self.caught_up


@dataclass(slots=True)
class _PullRequest:
    """Last request that was sent to one instance."""

    serial: int
    page: int
    requested_at: float


class CatchUp:
    """Tracks which replicas have handed over their claims.

    Args:
        own: This instance, with its current incarnation.
        view: The configured instances.
        lifetime: Lifetime of a claim, in seconds.
        now: Time of the start, in seconds.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        lifetime: float,
        now: float,
    ) -> None:
        self._own = own
        self._view = view
        self._lifetime = lifetime
        self._started_at = now
        self._peers = view.members - {own.instance}
        self._scopes: dict[InstanceId, _VotingScope] = {}
        self._requests: dict[InstanceId, _PullRequest] = {}
        self._votes_on_all_jobs = False

    @property
    def votes_on_all_jobs(self) -> bool:
        """Whether this replica may vote on every job."""
        return self._votes_on_all_jobs

    @property
    def caught_up(self) -> tuple[InstanceId, ...]:
        """Instances that handed over while they voted on every job."""
        whole = (name for name, scope in self._scopes.items() if scope.whole)
        return tuple(sorted(whole))

    def age(self, *, now: float) -> float:
        """Return the seconds since the start."""
        return now - self._started_at

    def assume_fresh(self) -> None:
        """Vote on every job, since no job can have been claimed before."""
        self._votes_on_all_jobs = True

    def may_vote(self, voters: Iterable[InstanceId]) -> bool:
        """Return whether this replica may vote on a job with these voters.

        A replica that is alone in its group can't recover its claims, so it
        waits until the lifetime of a claim has passed.
        """
        if self._votes_on_all_jobs:
            return True
        group = frozenset(voters)
        others = group - {self._own.instance}
        return bool(others) and all(
            name in self._scopes and self._scopes[name].covers(group - {name})
            for name in others
        )

    def tick(self, *, now: float) -> tuple[Send, ...]:
        """Request claims from the replicas that have not handed over."""
        if self.age(now=now) >= self._lifetime:
            self._votes_on_all_jobs = True
        if self._votes_on_all_jobs:
            return ()
        due = [name for name in sorted(self._peers) if self._is_due(name, now)]
        return tuple(self._start_pull(name, now) for name in due)

    def expects(self, sender: InstanceId, page: Handover) -> bool:
        """Return whether a page answers the last request to its sender.

        Once a view change has ended, a page from the preceding view counts only
        if its sender ran there for the lifetime of a claim: claims that were
        made without the replicas of this view may be valid until then.
        """
        request = self._requests.get(sender)
        if request is None or page.incarnation != self._own.incarnation:
            return False
        if (page.serial, page.page) != (request.serial, request.page):
            return False
        if page.number >= self._view.number:
            return True
        is_joint = bool(self._view.former)
        is_old_enough = is_joint or page.age >= self._lifetime
        return is_old_enough and page.number == self._view.number - 1

    def record_page(
        self,
        sender: InstanceId,
        page: Handover,
        *,
        now: float,
    ) -> tuple[Send, ...]:
        """Record a page whose claims were adopted, and request the next."""
        request = self._requests[sender]
        request.page += 1
        request.requested_at = now
        if not page.last:
            return (self._request_page(sender, request),)
        scope = _VotingScope(page.whole, frozenset(page.caught_up))
        self._scopes[sender] = scope
        self._votes_on_all_jobs = self._votes_on_all_jobs or self._peers <= set(
            self.caught_up
        )
        return ()

    def _is_due(self, name: InstanceId, now: float) -> bool:
        scope = self._scopes.get(name)
        if scope is not None and scope.whole:
            return False
        request = self._requests.get(name)
        return request is None or now - request.requested_at >= _RETRY_SECONDS

    def _start_pull(self, name: InstanceId, now: float) -> Send:
        last = self._requests.get(name)
        serial = 1 if last is None else last.serial + 1
        request = _PullRequest(serial, 0, now)
        self._requests[name] = request
        return self._request_page(name, request)

    def _request_page(self, name: InstanceId, request: _PullRequest) -> Send:
        pull = Pull(
            incarnation=self._own.incarnation,
            number=self._view.number,
            serial=request.serial,
            page=request.page,
        )
        return Send(name, pull)
