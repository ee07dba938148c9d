"""Handover of claims to replicas that restarted."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from cuminstack.claims._catchup import CatchUp
from cuminstack.claims._messages import Fence, Handover, Pull
from cuminstack.claims._store import Store
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, JobId, Send

#: Maximum number of claims in one page of a handover.
_MAX_PAGE_CLAIMS: Final = 500


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """Handover in progress, by incarnation and serial of its request."""

    request_id: tuple[int, int]
    whole: bool
    caught_up: tuple[InstanceId, ...]
    jobs: tuple[JobId, ...]


class Handovers:
    """Hands over claims, and tracks the known incarnations of instances.

    Args:
        own: This instance, with its current incarnation.
        view: The configured instances.
        store: The claims.
        catch_up: Determines which jobs this replica may vote on.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        store: Store,
        catch_up: CatchUp,
    ) -> None:
        self._view = view
        self._store = store
        self._catch_up = catch_up
        self._fences = {own.instance: own.incarnation}
        self._snapshots: dict[InstanceId, _Snapshot] = {}

    def incarnation_vector(
        self,
        voters: Sequence[InstanceId],
    ) -> tuple[int, ...]:
        """Return the latest known incarnation of each voter; 0 if unknown."""
        return tuple(self._fences.get(name, 0) for name in voters)

    def merge_fences(self, fences: Iterable[Fence]) -> None:
        """Merge incarnations known to another replica, keeping the latest."""
        for fence in fences:
            known = self._fences.get(fence.instance, 0)
            self._fences[fence.instance] = max(known, fence.incarnation)

    def make_page(
        self,
        sender: InstanceId,
        pull: Pull,
        *,
        now: float,
    ) -> tuple[Send, ...]:
        """Send the page that a restarted replica requests.

        An outdated request gets no answer.
        """
        if pull.incarnation < self._fences.get(sender, 0):
            return ()
        self._fences[sender] = pull.incarnation
        snapshot = self._snapshot_for(sender, pull)
        if snapshot is None:
            return ()
        begin = pull.page * _MAX_PAGE_CLAIMS
        end = begin + _MAX_PAGE_CLAIMS
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

    def _snapshot_for(
        self,
        sender: InstanceId,
        pull: Pull,
    ) -> _Snapshot | None:
        """Return the handover for a request, or None for an outdated one.

        The jobs are fixed with the first page.
        """
        held = self._snapshots.get(sender)
        request_id = (pull.incarnation, pull.serial)
        if held is not None and held.request_id == request_id:
            return held
        if pull.page or (held is not None and held.request_id > request_id):
            return None
        snapshot = _Snapshot(
            request_id=request_id,
            whole=self._catch_up.votes_on_all_jobs,
            caught_up=self._catch_up.caught_up,
            jobs=self._store.shared_with(sender),
        )
        self._snapshots[sender] = snapshot
        return snapshot
