"""Leases between holders and owners: making, claiming, renewing, voiding."""

from collections.abc import Iterable, Sequence
from typing import Final

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    Send,
)
from cuminstack.slots._holdings import Holdings
from cuminstack.slots._leased import SlotLease, pack, unpack
from cuminstack.slots._ledger import GRACE_SECONDS, LEASE_SECONDS, Ledger
from cuminstack.slots._messages import Claim, Claimed, Grant
from cuminstack.slots._owners import Owners
from cuminstack.slots._policy import Effects

#: Between two claims, in seconds.
_RENEW_SECONDS: Final = 4
#: The same, while a new view is fresh, in seconds.
_HURRY_SECONDS: Final = GRACE_SECONDS / 4
#: Claims whose replies are waited for.
_MAX_PENDING: Final = 8


class Renewal:
    """Keeps the leases of one instance in step with the owners' ledgers.

    Args:
        own: The instance.
        holdings: Its leases.
    """

    def __init__(self, own: Instance, holdings: Holdings) -> None:
        self.owners = Owners(own)
        self.records: dict[EndpointId, EndpointRecord] = {}
        self._own = own.instance
        self._holdings = holdings
        self._ledger = Ledger(own.instance)
        self._serial = 0
        self._sent: dict[int, float] = {}
        self._renewed: dict[InstanceId, float] = {}
        self._claim_at: float = 0
        self._hurry_until: float = 0

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> None:
        """Take a new view: endpoints change owners, holders are lost."""
        before = self._owner_map()
        lost = set(self.owners.alive)
        self.owners.observe(alive)
        lost.difference_update(self.owners.alive)
        for record in self.records.values():
            self._settle_ownership(record, fresh=False, now=now)
        if lost:
            self._claim_own(now)
            self._ledger.lose(self.owners.alive, now=now)
        after = self._owner_map()
        if lost or before != after:
            self._claim_at = now
            self._hurry_until = now + GRACE_SECONDS
            for owner in set(after.values()) - set(before.values()):
                self._renewed[owner] = now

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> None:
        """Take a record: slots may be new, or fewer than before."""
        known = record.endpoint in self.records
        self.records[record.endpoint] = record
        fresh = not known and not record.busy
        self._settle_ownership(record, fresh=fresh, now=now)
        self._holdings.drop_where(
            lambda lease: (
                lease.endpoint == record.endpoint and lease.slot >= record.slots
            ),
        )

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Drop all leases of an endpoint."""
        self.records.pop(endpoint, None)
        self._ledger.close(endpoint)
        self._holdings.drop_where(lambda lease: lease.endpoint == endpoint)

    def accept(self, leases: Iterable[SlotLease], *, now: float) -> None:
        """Take leases that another instance has handed over."""
        for lease in leases:
            record = self.records.get(lease.endpoint)
            if record is not None and lease.slot < record.slots:
                self._accept(lease, record, now)

    def check(self, *, now: float) -> None:
        """Drop leases that were not renewed in time."""
        late = {
            owner
            for owner, renewed in self._renewed.items()
            if now - renewed >= LEASE_SECONDS and owner != self._own
        }
        if late:
            self._holdings.drop_where(
                lambda lease: self._owner_of(lease) in late,
            )
            for owner in late:
                self._renewed.pop(owner)

    def restart(self, *, now: float) -> None:
        """Drop all leases, and wait for the claims on owned endpoints."""
        self._holdings.drop_where(lambda lease: True)
        self._renewed.clear()
        self._ledger.reset(now=now)

    def tick(self, *, now: float) -> Effects:
        """Make lost leases anew, and claim the held ones when due."""
        self._make(now)
        if now < self._claim_at:
            return ()
        hurry = now < self._hurry_until
        pause = _HURRY_SECONDS if hurry else _RENEW_SECONDS
        self._claim_at = now + pause
        self._claim_own(now)
        held = self._by_owner()
        held.pop(self._own, None)
        for idle in set(self._renewed) - set(held):
            self._renewed.pop(idle)
        return tuple(
            self._claim(owner, leases, now) for owner, leases in held.items()
        )

    def answer(
        self,
        sender: InstanceId,
        claim: Claim,
        *,
        now: float,
    ) -> Effects:
        """Enter the claim of a holder, and renew what is valid of it."""
        leases = unpack(claim.slots)
        void = self._ledger.claim(sender, leases, now=now)
        for lease in set(leases) - set(void):
            known = self._holdings.stamp_of(lease.place)
            if known is not None and known <= lease.stamp:
                self._holdings.drop(lease.place)
        return (Send(sender, Claimed(claim.serial, pack(void))),)

    def claimed(self, owner: InstanceId, claimed: Claimed) -> None:
        """Take an owner's reply: leases run on from when they were claimed."""
        sent = self._sent.pop(claimed.serial, None)
        if sent is not None:
            self._renewed[owner] = max(self._renewed.get(owner, sent), sent)
        for lease in unpack(claimed.dropped):
            if self._holdings.stamp_of(lease.place) == lease.stamp:
                self._holdings.drop(lease.place)

    def give_back(self, *, heirs: bool) -> Effects:
        """Send free leases of others' endpoints to their owners.

        Args:
            heirs: Send those of owned endpoints too, to the next owners.
        """
        given: dict[InstanceId, list[SlotLease]] = {}
        for endpoint in self._holdings.open_endpoints:
            record = self.records[endpoint]
            owner: InstanceId | None = self.owners.owner(record)
            if heirs and owner == self._own:
                owner = self.owners.heir(record)
            if owner is not None and owner != self._own:
                given.setdefault(owner, []).extend(self._take_all(endpoint))
        return tuple(
            Send(owner, Grant(None, pack(leases)))
            for owner, leases in given.items()
        )

    def _accept(
        self,
        lease: SlotLease,
        record: EndpointRecord,
        now: float,
    ) -> None:
        self._renewed.setdefault(self.owners.owner(record), now)
        self._holdings.receive(lease)

    def _settle_ownership(
        self,
        record: EndpointRecord,
        *,
        fresh: bool,
        now: float,
    ) -> None:
        if self.owners.owner(record) == self._own:
            self._ledger.open(record, fresh=fresh, now=now)
            self._make(now)
        else:
            self._ledger.close(record.endpoint)

    def _make(self, now: float) -> None:
        for lease in self._ledger.renew(now=now):
            self._holdings.add(lease)

    def _claim_own(self, now: float) -> None:
        leases = self._by_owner().get(self._own, ())
        self._ledger.claim(self._own, leases, now=now)

    def _claim(
        self,
        owner: InstanceId,
        leases: Sequence[SlotLease],
        now: float,
    ) -> Send:
        self._serial += 1
        self._sent[self._serial] = now
        self._sent.pop(self._serial - _MAX_PENDING, None)
        return Send(owner, Claim(self._serial, pack(leases)))

    def _by_owner(self) -> dict[InstanceId, list[SlotLease]]:
        held: dict[InstanceId, list[SlotLease]] = {}
        for lease in self._holdings.leases:
            held.setdefault(self._owner_of(lease), []).append(lease)
        return held

    def _owner_of(self, lease: SlotLease) -> InstanceId:
        return self.owners.owner(self.records[lease.endpoint])

    def _owner_map(self) -> dict[EndpointId, InstanceId]:
        return {
            endpoint: self.owners.owner(record)
            for endpoint, record in self.records.items()
        }

    def _take_all(self, endpoint: EndpointId) -> list[SlotLease]:
        count = self._holdings.free_at(endpoint)
        return [self._holdings.hand_on(endpoint) for _ in range(count)]
