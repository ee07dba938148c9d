"""Requests for slots that are leased by other instances."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from types import MappingProxyType
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.slots._demand import REQUEST_LIFETIME_SECONDS
from cuminstack.slots._hints import Hints
from cuminstack.slots._policy import Preference

#: Time after which a request without a reply counts as lost, in seconds.
_REPLY_TIMEOUT_SECONDS: Final = 0.1
#: Time after which a standing request expires at its receiver, in seconds.
_STANDING_TIMEOUT_SECONDS: Final = REQUEST_LIFETIME_SECONDS
#: Delay before an instance that granted too little gets another request, in
#: seconds.
_EMPTY_BACKOFF_SECONDS: Final = 0.05
#: Slots requested in addition to those that are missing.
_SPARE_SLOTS: Final = 1


@dataclass(frozen=True, slots=True)
class _RequestProfile:
    """How aggressively to request slots.

    Args:
        standing_ratio: Slots in standing requests per missing slot.
        min_standing: Minimum number of instances with a standing request.
        min_free: Estimated free slots an instance must hold to be asked.
    """

    standing_ratio: float
    min_standing: int
    min_free: float


_LOW_LATENCY: Final = _RequestProfile(
    standing_ratio=3 / 2, min_standing=2, min_free=1
)
_LOW_TRAFFIC: Final = _RequestProfile(
    standing_ratio=1, min_standing=1, min_free=5 / 2
)
_PROFILES: Final = MappingProxyType(
    {Preference.response: _LOW_LATENCY, Preference.waste: _LOW_TRAFFIC},
)


@dataclass(frozen=True, slots=True)
class BorrowRequest:
    """A request for slots that is to be sent to another instance."""

    peer: InstanceId
    count: int
    stands: bool
    spare: int = 0


@dataclass(slots=True)
class _PendingRequest:
    """A request that was sent, with the number of slots still open."""

    sent_at: float
    count: int
    stands: bool

    def is_pending(self, now: float) -> bool:
        """Return whether slots may still be granted."""
        limit = (
            _STANDING_TIMEOUT_SECONDS if self.stands else _REPLY_TIMEOUT_SECONDS
        )
        return self.count > 0 and now - self.sent_at < limit


class SlotBorrower:
    """Plans the slot requests for one member.

    Instances with the most free slots come first.  When no instance is likely
    to have free slots, standing requests are sent to several instances, which
    grant slots as they are freed.

    Args:
        hints: Estimates of the free and busy slots of other instances.
    """

    def __init__(self, hints: Hints) -> None:
        self._hints = hints
        self._profile = _PROFILES[Preference.response]
        self._pending: dict[InstanceId, _PendingRequest] = {}
        self._empty_until: dict[InstanceId, float] = {}

    def retain(self, alive: Iterable[InstanceId]) -> None:
        """Drop the state of instances that have left the membership view."""
        living = tuple(alive)
        self._empty_until = {
            peer: until
            for peer, until in self._empty_until.items()
            if peer in living
        }
        self._pending = {
            peer: pending
            for peer, pending in self._pending.items()
            if peer in living
        }

    def set_preference(self, preference: Preference) -> None:
        """Select the request profile for a preference of the member."""
        self._profile = _PROFILES[preference]

    def plan_requests(
        self,
        peers: Iterable[InstanceId],
        count: int,
        *,
        running: int,
        now: float,
    ) -> tuple[BorrowRequest, ...]:
        """Plan the requests to send now, and record them as pending.

        Args:
            peers: The other instances in the membership view.
            count: Waiting tasks of the member at this instance.
            running: All running tasks of this instance; their slots will be
                freed here.
            now: The current time, in seconds.
        """
        self._pending = {
            peer: pending
            for peer, pending in self._pending.items()
            if pending.is_pending(now)
        }
        ready = [peer for peer in peers if peer not in self._pending]
        outstanding = self._outstanding(stands=False)
        requests = self._plan_immediate(ready, count - outstanding, now)
        if not requests and not outstanding:
            requests = self._plan_standing(
                ready, self._profile.standing_ratio * count, running, now
            )
        for request in requests:
            pending = _PendingRequest(now, request.count, request.stands)
            self._pending[request.peer] = pending
        return requests

    def record_grant(
        self,
        peer: InstanceId,
        count: int,
        *,
        reply: bool,
        now: float,
    ) -> None:
        """Record a grant of slots from an instance.

        An instance that granted less than requested has no more free slots
        that fit, even if its hints report some.
        """
        pending = self._pending.get(peer)
        if pending is None:
            return
        pending.count -= count
        is_final = reply and not pending.stands
        if is_final and pending.count > 0:
            self._empty_until[peer] = now + _EMPTY_BACKOFF_SECONDS
        if pending.count <= 0 or is_final:
            self._pending.pop(peer)

    def cancel_standing(self, *, now: float) -> tuple[BorrowRequest, ...]:
        """Cancel all standing requests, once no task is waiting."""
        standing = tuple(
            peer
            for peer, pending in self._pending.items()
            if pending.stands and pending.is_pending(now)
        )
        for peer in standing:
            self._pending.pop(peer)
        return tuple(BorrowRequest(each, 0, stands=True) for each in standing)

    def _outstanding(self, *, stands: bool) -> int:
        return sum(
            pending.count
            for pending in self._pending.values()
            if pending.stands is stands
        )

    def _plan_immediate(
        self,
        ready: Iterable[InstanceId],
        count: int,
        now: float,
    ) -> tuple[BorrowRequest, ...]:
        """Request the slots from as few instances as possible."""
        free_estimates = {
            peer: self._hints.estimate_free(peer, now=now)
            for peer in ready
            if self._empty_until.get(peer, now) <= now
        }
        requests: list[BorrowRequest] = []
        most_free_first = sorted(
            free_estimates, key=lambda each: (-free_estimates[each], each)
        )
        for peer in most_free_first:
            if count <= 0 or free_estimates[peer] < self._profile.min_free:
                break
            requested = min(count, ceil(free_estimates[peer]))
            is_single = count == 1 and free_estimates[peer] > 2
            spare = _SPARE_SLOTS if is_single else 0
            requests.append(
                BorrowRequest(peer, requested, stands=False, spare=spare)
            )
            count -= requested
        return tuple(requests)

    def _plan_standing(
        self,
        ready: Iterable[InstanceId],
        count: float,
        running: int,
        now: float,
    ) -> tuple[BorrowRequest, ...]:
        """Send standing requests in proportion to the busy slots."""
        busy = {
            peer: self._hints.estimate_busy(peer, now=now) for peer in ready
        }
        elsewhere = sum(
            self._hints.estimate_busy(peer, now=now) for peer in self._pending
        )
        total = sum(busy.values()) + elsewhere + running
        missing = count - self._outstanding(stands=True)
        missing -= count * running / max(1, total)
        requests: list[BorrowRequest] = []
        busiest_first = sorted(busy, key=lambda each: (-busy[each], each))
        for peer in busiest_first:
            below_minimum = (
                len(requests) + len(self._pending) < self._profile.min_standing
            )
            if missing <= 0 and not below_minimum:
                break
            requested = ceil(count * busy[peer] / max(1, total))
            requests.append(BorrowRequest(peer, max(1, requested), stands=True))
            missing -= requested
        return tuple(requests)
