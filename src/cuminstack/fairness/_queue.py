"""Start-time fair queueing of slots over members."""

from collections.abc import Callable, Mapping
from typing import Any, Final, Generic

from cuminstack.fairness._member import Account, Entry, reduce_demand
from cuminstack.fairness._orders import JobOrder, least_expected
from cuminstack.fairness._records import Demand, Key, Share, Turn

#: Credit of a member that returns from idleness, in slot-seconds before the
#: division by its weight.
_IDLE_CREDIT_SECONDS: Final = 64
#: Largest change of a score for which a job is not pushed to the heap anew.
_SCORE_TOLERANCE: Final = 0.05


def _any_lane(lane: Any) -> bool:
    return True


class FairQueue(Generic[Key]):
    """Allocates slots to members by weighted share and to jobs by an order.

    A turn is charged in advance with the member's mean run time and corrected
    by the actual run time at its end.  The member with the lowest virtual
    time, its use divided by its weight, is served next.  A member that
    returns from idleness starts at the current virtual time less a small
    credit, so that it can't save up unused turns.  If the slot fits none of a
    member's lanes, or the member is at its cap, the next member is served.

    Args:
        order: The order of the jobs of one member.
    """

    def __init__(self, *, order: JobOrder = least_expected) -> None:
        self._order = order
        self._accounts: dict[str, Account] = {}
        self._waiting: dict[str, Account] = {}
        self._entries: dict[Key, Entry[Key]] = {}
        self._current_virtual_time: float = 0
        self._serial = 0

    def __len__(self) -> int:
        return sum(account.waiting for account in self._waiting.values())

    def apply_shares(self, shares: Mapping[str, Share]) -> None:
        """Replace the shares of all members; others get the default share."""
        members = set(self._accounts).union(shares)
        for member in members:
            self._account(member).share = shares.get(member, Share())

    def put(self, demand: Demand[Key]) -> None:
        """Queue the demand of a job, replacing one with the same key."""
        self.drop(demand.key)
        if demand.waiting <= 0:
            return
        account = self._account(demand.member)
        if not account.is_active:
            floor = (
                self._current_virtual_time
                - _IDLE_CREDIT_SECONDS / account.share.weight
            )
            account.virtual_time = max(account.virtual_time, floor)
        account.waiting += demand.waiting
        entry = Entry(demand)
        self._entries[demand.key] = entry
        self._waiting[demand.member] = account
        account.entries[demand.key] = entry
        self._push_rescored(entry, account)

    def demand(self, key: Key) -> Demand[Key] | None:
        """Return the demand queued under a key, if any."""
        entry = self._entries.get(key)
        return None if entry is None else entry.demand

    def demands(self) -> tuple[Demand[Key], ...]:
        """Return all queued demands."""
        return tuple(entry.demand for entry in self._entries.values())

    def drop(self, key: Key, count: int | None = None) -> None:
        """Remove waiting tasks of a job.

        Args:
            key: The key of the job.
            count: The number of tasks; all by default.
        """
        entry = self._entries.get(key)
        if entry is None:
            return
        dropped = entry.demand.waiting
        if count is not None:
            dropped = min(count, dropped)
        self._remove_tasks(entry, dropped)

    def take(
        self,
        *,
        fits: Callable[[Any], bool] = _any_lane,
    ) -> Turn[Key] | None:
        """Allocate a slot to the next task.

        Args:
            fits: Selects the lanes that the slot fits.

        Returns:
            The turn; None if no task may use the slot.
        """
        ready = [each for each in self._waiting.values() if not each.is_capped]
        for account in sorted(ready, key=_virtual_time):
            entry = account.first_fitting(fits)
            if entry is not None:
                return self._begin_turn(entry, account)
        return None

    def first_demands(
        self,
        member: str,
        count: int,
        *,
        only: Callable[[Key], bool],
    ) -> tuple[Demand[Key], ...]:
        """Return the first demands of a member in the job order.

        Args:
            member: The member.
            count: The largest number of demands to return.
            only: Selects the keys to consider.

        Returns:
            The demands, the first to be served first.
        """
        account = self._waiting.get(member, Account())
        return account.first_demands(count, only)

    def settle(self, turn: Turn[Key], seconds: float) -> None:
        """End a turn of a task that ran for `seconds`.

        The run time corrects the charge and enters the member's mean.
        """
        self.release(turn, seconds)
        account = self._account(turn.member)
        account.add_run_time(seconds)
        entry = self._entries.get(turn.key)
        if entry is not None:
            entry.demand = reduce_demand(entry.demand, 0, seconds - turn.charge)
            self._update_score(entry, account)

    def release(self, turn: Turn[Key], seconds: float = 0) -> None:
        """End a turn without adding to the mean run time.

        The charge in advance is replaced by `seconds`.
        """
        account = self._account(turn.member)
        account.running -= 1
        account.charge(seconds - turn.charge)

    def charge(self, member: str, seconds: float) -> None:
        """Charge a member slot-seconds that were granted elsewhere."""
        self._account(member).charge(seconds)

    def set_running_elsewhere(self, member: str, running: int) -> None:
        """Set the number of slots that a member holds elsewhere.

        They count towards its cap.
        """
        self._account(member).running_elsewhere = running

    def mean_run_seconds(self, member: str) -> float:
        """Return the mean run time of a member's tasks, in seconds."""
        return self._account(member).mean_seconds

    def running(self, member: str) -> int:
        """Return how many slots a member holds by turns of this queue."""
        return self._account(member).running

    def _begin_turn(self, entry: Entry[Key], account: Account) -> Turn[Key]:
        demand = entry.demand
        turn = Turn(demand.key, demand.member, account.mean_seconds)
        self._current_virtual_time = max(
            self._current_virtual_time, account.virtual_time
        )
        account.charge(turn.charge)
        account.running += 1
        entry.demand = reduce_demand(demand, 0, turn.charge)
        self._remove_tasks(entry, 1)
        self._update_score(entry, account)
        return turn

    def _remove_tasks(self, entry: Entry[Key], count: int) -> None:
        account = self._account(entry.demand.member)
        account.waiting -= count
        entry.demand = reduce_demand(entry.demand, count)
        if not entry.demand.waiting:
            self._entries.pop(entry.demand.key)
            account.entries.pop(entry.demand.key)
        if not account.waiting:
            self._waiting.pop(entry.demand.member)

    def _update_score(self, entry: Entry[Key], account: Account) -> None:
        score = self._order(entry.demand, account.mean_seconds)
        has_changed = abs(score - entry.score) > _SCORE_TOLERANCE
        if entry.demand.waiting and has_changed:
            self._push_rescored(entry, account)

    def _push_rescored(self, entry: Entry[Key], account: Account) -> None:
        self._serial += 1
        entry.score = self._order(entry.demand, account.mean_seconds)
        account.push(entry, self._serial)

    def _account(self, member: str) -> Account:
        return self._accounts.setdefault(member, Account())


def _virtual_time(account: Account) -> float:
    return account.virtual_time
