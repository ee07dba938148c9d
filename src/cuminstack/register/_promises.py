"""Promises that replicas made to one ballot."""

from collections.abc import Iterator

from cuminstack.core import InstanceId
from cuminstack.register._ballots import Ballot
from cuminstack.register._messages import Fence, Promise


class Promises:
    """Promises made to one ballot, at most one by each replica.

    A replica that lost its disk may vote in lower ballots again, so promises
    that it made before its recovery are void.  The replicas that it recovered
    from report the recovery in their own promises, and a promise from before
    the reported recovery is discarded.
    """

    def __init__(self) -> None:
        """Start without promises."""
        self._promises: dict[InstanceId, Promise] = {}
        self._fences: dict[InstanceId, Ballot] = {}

    def __len__(self) -> int:
        return len(self._promises)

    def __contains__(self, replica: object) -> bool:
        return replica in self._promises

    def __iter__(self) -> Iterator[InstanceId]:
        return iter(self._promises)

    @property
    def newest(self) -> Promise:
        """The promise that reports the highest accepted ballot."""
        return max(self._promises.values(), key=_accepted)

    @property
    def fences(self) -> tuple[Fence, ...]:
        """The latest recovery of each replica that a promise reports."""
        return tuple(
            Fence(replica, life)
            for replica, life in sorted(self._fences.items())
        )

    @property
    def holders(self) -> tuple[InstanceId, ...]:
        """The replicas that accepted the highest reported ballot."""
        newest = self.newest.accepted
        return tuple(
            replica
            for replica, promise in self._promises.items()
            if promise.accepted == newest
        )

    def of(self, replica: InstanceId) -> Promise:
        """Return the promise of a replica."""
        return self._promises[replica]

    def add(self, replica: InstanceId, promise: Promise) -> None:
        """Add a promise, and discard those that a known recovery voids."""
        self._promises.setdefault(replica, promise)
        for fence in promise.fences:
            known = self._fences.get(fence.replica, fence.life)
            self._fences[fence.replica] = max(known, fence.life)
        self._drop_fenced()

    def _drop_fenced(self) -> None:
        for replica, life in self._fences.items():
            promise = self._promises.get(replica)
            if promise is not None and promise.life < life:
                self._promises.pop(replica)


def _accepted(promise: Promise) -> Ballot:
    return promise.accepted
