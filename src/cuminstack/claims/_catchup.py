"""How a restarted replica regains the claims that it lost.

A replica keeps its votes in memory.  After a start it votes on a job only if
every other replica of the job has handed over what it holds, having itself
been fit to vote, or if a claim's lifetime has passed since the start, or if
the deployment is known to have run no job before.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.claims._messages import Handover, Pull
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, Send

#: Seconds between two requests to one instance.
_RETRY_SECONDS: Final = 1


@dataclass(frozen=True, slots=True)
class _Fitness:
    """Which jobs another replica was fit to vote on as it handed over."""

    whole: bool
    caught_up: frozenset[InstanceId]

    def covers(self, others: frozenset[InstanceId]) -> bool:
        return self.whole or others <= self.caught_up


@dataclass(slots=True)
class _Request:
    """What was asked of one instance last."""

    serial: int
    page: int
    asked_at: float


class CatchUp:
    """Tracks which replicas have handed over their claims.

    Args:
        own: This instance, with its live incarnation.
        view: The configured instances.
        lifetime: Of a claim, in seconds.
        now: The time of the start, in seconds.
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
        self._others = view.members - {own.instance}
        self._handed: dict[InstanceId, _Fitness] = {}
        self._requests: dict[InstanceId, _Request] = {}
        self._whole = False

    @property
    def is_whole(self) -> bool:
        """Whether this replica may vote on every job."""
        return self._whole

    @property
    def caught_up(self) -> tuple[InstanceId, ...]:
        """Instances that handed over all claims while they were whole."""
        whole = (name for name, fit in self._handed.items() if fit.whole)
        return tuple(sorted(whole))

    def age(self, *, now: float) -> float:
        """Give the seconds since the start."""
        return now - self._started_at

    def assume_fresh(self) -> None:
        """Vote on every job: no job can have been claimed before."""
        self._whole = True

    def may_vote(self, voters: Iterable[InstanceId]) -> bool:
        """Tell whether this replica is fit to vote among these.

        Nobody can hand over to a lone replica, so that one must wait.
        """
        if self._whole:
            return True
        group = frozenset(voters)
        others = group - {self._own.instance}
        return bool(others) and all(
            name in self._handed and self._handed[name].covers(group - {name})
            for name in others
        )

    def tick(self, *, now: float) -> tuple[Send, ...]:
        """Ask those that have yet to hand over."""
        if self.age(now=now) >= self._lifetime:
            self._whole = True
        if self._whole:
            return ()
        due = [name for name in sorted(self._others) if self._is_due(name, now)]
        return tuple(self._ask_anew(name, now) for name in due)

    def expects(self, sender: InstanceId, page: Handover) -> bool:
        """Tell whether a page is the one that was asked for last.

        Once a view change ends, a peer of the view before it is heard only
        if it ran there for a claim's lifetime: claims that were made without
        this view's replicas may be alive until then.
        """
        request = self._requests.get(sender)
        if request is None or page.incarnation != self._own.incarnation:
            return False
        if (page.serial, page.page) != (request.serial, request.page):
            return False
        if page.number >= self._view.number:
            return True
        joint = bool(self._view.former)
        lived = joint or page.age >= self._lifetime
        return lived and page.number == self._view.number - 1

    def take(
        self,
        sender: InstanceId,
        page: Handover,
        *,
        now: float,
    ) -> tuple[Send, ...]:
        """Note a page whose claims were adopted, and ask for the next."""
        request = self._requests[sender]
        request.page += 1
        request.asked_at = now
        if not page.last:
            return (self._ask(sender, request),)
        fitness = _Fitness(page.whole, frozenset(page.caught_up))
        self._handed[sender] = fitness
        self._whole = self._whole or self._others <= set(self.caught_up)
        return ()

    def _is_due(self, name: InstanceId, now: float) -> bool:
        handed = self._handed.get(name)
        if handed is not None and handed.whole:
            return False
        request = self._requests.get(name)
        return request is None or now - request.asked_at >= _RETRY_SECONDS

    def _ask_anew(self, name: InstanceId, now: float) -> Send:
        last = self._requests.get(name)
        serial = 1 if last is None else last.serial + 1
        request = _Request(serial, 0, now)
        self._requests[name] = request
        return self._ask(name, request)

    def _ask(self, name: InstanceId, request: _Request) -> Send:
        pull = Pull(
            incarnation=self._own.incarnation,
            number=self._view.number,
            serial=request.serial,
            page=request.page,
        )
        return Send(name, pull)
