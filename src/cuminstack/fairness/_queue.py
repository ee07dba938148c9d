"""Start-time fair queueing of slots over members."""

from collections.abc import Callable, Mapping
from typing import Any, Final, Generic

from cuminstack.fairness._member import Account, Entry, shrunk
from cuminstack.fairness._orders import JobOrder, least_expected
from cuminstack.fairness._records import Demand, Key, Share, Turn

#: Slot-seconds, over the weight, that a member keeps in hand while it idles.
_CREDIT_SECONDS: Final = 64
#: Change of a score that isn't worth filing a job anew.
_SCORE_TOLERANCE: Final = 0.05


def _any_lane(lane: Any) -> bool:
    return True


class FairQueue(Generic[Key]):
    """Gives freed slots to members by share, and to jobs by an order.

    A turn is charged in advance by the member's mean run time and settled by
    the true one.  The member with the least use over its weight is next; one
    that comes back from idling starts at the present of the others, less a
    small credit, so that unused turns aren't saved up.  A lane that a slot
    doesn't fit, or a cap, passes the turn to the next member at once.

    Args:
        order: Between the jobs of one member.
    """

    def __init__(self, *, order: JobOrder = least_expected) -> None:
        self._order = order
        self._accounts: dict[str, Account] = {}
        self._waiting: dict[str, Account] = {}
        self._entries: dict[Key, Entry[Key]] = {}
        self._present: float = 0
        self._serial = 0

    def __len__(self) -> int:
        return sum(account.waiting for account in self._waiting.values())

    def apply_shares(self, shares: Mapping[str, Share]) -> None:
        """Take the shares of all members; the others go by the default."""
        members = set(self._accounts).union(shares)
        for member in members:
            self._account(member).share = shares.get(member, Share())

    def put(self, demand: Demand[Key]) -> None:
        """Queue a job's demand, in place of any under the same key."""
        self.drop(demand.key)
        if demand.waiting <= 0:
            return
        account = self._account(demand.member)
        if not account.active:
            floor = self._present - _CREDIT_SECONDS / account.share.weight
            account.virtual = max(account.virtual, floor)
        account.waiting += demand.waiting
        entry = Entry(demand)
        self._entries[demand.key] = entry
        self._waiting[demand.member] = account
        account.entries[demand.key] = entry
        self._file(entry, account)

    def demand(self, key: Key) -> Demand[Key] | None:
        """Give what is queued under a key."""
        entry = self._entries.get(key)
        return None if entry is None else entry.demand

    def demands(self) -> tuple[Demand[Key], ...]:
        """Give all that is queued."""
        return tuple(entry.demand for entry in self._entries.values())

    def drop(self, key: Key, count: int | None = None) -> None:
        """Take tasks of a job back; all of them by default."""
        entry = self._entries.get(key)
        if entry is None:
            return
        dropped = entry.demand.waiting
        if count is not None:
            dropped = min(count, dropped)
        self._shrink(entry, dropped)

    def take(
        self,
        *,
        fits: Callable[[Any], bool] = _any_lane,
    ) -> Turn[Key] | None:
        """Give a slot to the next task, of the lanes that fit it."""
        ready = [each for each in self._waiting.values() if not each.capped]
        for account in sorted(ready, key=_virtual):
            entry = account.best(fits)
            if entry is not None:
                return self._begin(entry, account)
        return None

    def leaders(
        self,
        member: str,
        count: int,
        *,
        only: Callable[[Key], bool],
    ) -> tuple[Demand[Key], ...]:
        """Give the first demands of a member, of the keys wanted."""
        account = self._waiting.get(member, Account())
        return account.leaders(count, only)

    def settle(self, turn: Turn[Key], seconds: float) -> None:
        """End a turn; `seconds` is what the task has used."""
        self.release(turn, seconds)
        account = self._account(turn.member)
        account.learn(seconds)
        entry = self._entries.get(turn.key)
        if entry is not None:
            entry.demand = shrunk(entry.demand, 0, seconds - turn.charge)
            self._rescore(entry, account)

    def release(self, turn: Turn[Key], seconds: float = 0) -> None:
        """End a turn that tells nothing of run times."""
        account = self._account(turn.member)
        account.running -= 1
        account.charge(seconds - turn.charge)

    def charge(self, member: str, seconds: float) -> None:
        """Add use that was granted elsewhere."""
        self._account(member).charge(seconds)

    def observe_elsewhere(self, running: Mapping[str, int]) -> None:
        """Take the slots that members hold elsewhere; they count for caps."""
        for name, account in self._accounts.items():
            account.elsewhere = running.get(name, 0)

    def mean(self, member: str) -> float:
        """Give the mean run time of a member's tasks, in seconds."""
        return self._account(member).mean

    def running(self, member: str) -> int:
        """Tell how many slots a member holds by turns of this queue."""
        return self._account(member).running

    def _begin(self, entry: Entry[Key], account: Account) -> Turn[Key]:
        demand = entry.demand
        turn = Turn(demand.key, demand.member, account.mean)
        self._present = max(self._present, account.virtual)
        account.charge(turn.charge)
        account.running += 1
        entry.demand = shrunk(demand, 0, turn.charge)
        self._shrink(entry, 1)
        self._rescore(entry, account)
        return turn

    def _shrink(self, entry: Entry[Key], count: int) -> None:
        account = self._account(entry.demand.member)
        account.waiting -= count
        entry.demand = shrunk(entry.demand, count)
        if not entry.demand.waiting:
            self._entries.pop(entry.demand.key)
            account.entries.pop(entry.demand.key)
        if not account.waiting:
            self._waiting.pop(entry.demand.member)

    def _rescore(self, entry: Entry[Key], account: Account) -> None:
        score = self._order(entry.demand, account.mean)
        moved = abs(score - entry.score) > _SCORE_TOLERANCE
        if entry.demand.waiting and moved:
            self._file(entry, account)

    def _file(self, entry: Entry[Key], account: Account) -> None:
        self._serial += 1
        entry.score = self._order(entry.demand, account.mean)
        account.push(entry, self._serial)

    def _account(self, member: str) -> Account:
        return self._accounts.setdefault(member, Account())


def _virtual(account: Account) -> float:
    return account.virtual
